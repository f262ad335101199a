package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/enginemodel"
)

// sendStream writes one server-sent event for each token, then the end frame and [DONE].
func (s *Server) sendStream(w http.ResponseWriter, r *http.Request, j *job, st *stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		select {
		case <-r.Context().Done():
			s.gone(j)
			return
		case <-st.cancel:
			panic(http.ErrAbortHandler)
		case <-st.ready:
		}
		if !s.waitLink(r.Context().Done()) {
			s.gone(j)
			return
		}
		ended, err := s.writeEvents(w, j, st.take())
		if err != nil {
			s.gone(j)
			return
		}
		if err := flusher.Flush(); err != nil || ended {
			return
		}
	}
}

// writeEvents writes events and reports whether the stream has ended.
func (s *Server) writeEvents(w http.ResponseWriter, j *job, evs []enginemodel.Event) (bool, error) {
	for _, ev := range evs {
		s.poison(j)
		for _, f := range s.repeats(j, ev, j.frame(ev)) {
			if err := writeFrame(w, f); err != nil {
				return false, err
			}
		}
		switch ev.Kind {
		case enginemodel.EvFinished:
			_, err := w.Write([]byte("data: " + engineapi.DoneData + "\n\n"))
			return true, err
		case enginemodel.EvDropped:
			return true, nil
		}
	}
	return false, nil
}

func writeFrame(w http.ResponseWriter, f engineapi.Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	buf := make([]byte, 0, len(data)+64)
	buf = append(buf, "id: "...)
	buf = strconv.AppendUint(buf, uint64(f.Ext.Index), 10)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	_, err = w.Write(buf)
	return err
}

// frame builds the wire form of an event.
func (j *job) frame(ev enginemodel.Event) engineapi.Frame {
	f := engineapi.Frame{
		ID:     "gen-" + j.id,
		Object: "text_completion",
		Model:  j.req.Model,
		Ext:    engineapi.FrameExt{Generation: j.id, Attempt: ev.Attempt, Index: uint32(ev.Index)},
	}
	if j.chat {
		f.Object = "chat.completion.chunk"
	}
	switch ev.Kind {
	case enginemodel.EvToken:
		f.Choices = []engineapi.Choice{j.choice(TokenText(j.prompt, j.id, ev.Index))}
	case enginemodel.EvFinished:
		c := j.choice("")
		reason := j.finishReason()
		c.FinishReason = &reason
		f.Choices = []engineapi.Choice{c}
	case enginemodel.EvDropped:
		f.Error = &engineapi.Error{Type: engineapi.ErrPreempted, Message: "the memory was given to another sequence"}
	}
	return f
}

func (j *job) choice(text string) engineapi.Choice {
	if j.chat {
		return engineapi.Choice{Delta: &engineapi.Delta{Content: text}}
	}
	return engineapi.Choice{Text: text}
}

func (j *job) finishReason() string {
	if j.limit {
		return "length"
	}
	return "stop"
}

// whole is the body of an answer that is not streamed.
type whole struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
}

type wholeChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *engineapi.Message `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

// sendWhole waits for the end and answers with the whole text.
func (s *Server) sendWhole(w http.ResponseWriter, r *http.Request, j *job, st *stream) {
	var b strings.Builder
	for {
		select {
		case <-r.Context().Done():
			s.gone(j)
			return
		case <-st.cancel:
			panic(http.ErrAbortHandler)
		case <-st.ready:
		}
		for _, ev := range st.take() {
			s.poison(j)
			switch ev.Kind {
			case enginemodel.EvToken:
				b.WriteString(TokenText(j.prompt, j.id, ev.Index))
			case enginemodel.EvDropped:
				refuse(w, http.StatusServiceUnavailable, engineapi.ErrPreempted, "the memory was given away", false)
				return
			case enginemodel.EvFinished:
				writeJSON(w, http.StatusOK, j.wholeAnswer(b.String()))
				return
			}
		}
	}
}

func (j *job) wholeAnswer(text string) whole {
	c := wholeChoice{FinishReason: j.finishReason()}
	object := "text_completion"
	if j.chat {
		object = "chat.completion"
		c.Message = &engineapi.Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	return whole{ID: "gen-" + j.id, Object: object, Model: j.req.Model, Choices: []wholeChoice{c}}
}

// gone frees the engine's memory when the reader of an attempt has left.
func (s *Server) gone(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Cancel(s.now(), j.seq.Gen, j.seq.Attempt)
	delete(s.streams, streamKey{j.seq.Gen, j.seq.Attempt})
}
