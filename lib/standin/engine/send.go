package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/enginemodel"
)

// sendStream writes one server-sent event per token, then the end frame and [DONE].
func (s *Server) sendStream(w http.ResponseWriter, r *http.Request, j *job, st *stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	if j.software != "" {
		w.Header().Set(engineapi.HeaderSoftware, j.software)
	}
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		select {
		case <-r.Context().Done():
			s.cancelAbandoned(j)
			return
		case <-st.cancel:
			panic(http.ErrAbortHandler)
		case <-st.ready:
		}
		if !s.waitForLink(r.Context().Done()) {
			s.cancelAbandoned(j)
			return
		}
		ended, err := s.writeEvents(w, j, st.takeAll())
		if err != nil {
			s.cancelAbandoned(j)
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
		s.dieIfPoisoned(j)
		for _, f := range s.withRepeats(j, ev, j.frame(ev)) {
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

// frame returns the wire form of an event.
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
		f.Choices = []engineapi.Choice{j.choice(j.token(ev.Index))}
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
	if j.truncated {
		return "length"
	}
	return "stop"
}

// completion is the body of a non-streamed answer.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *engineapi.Message `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

// sendCompletion waits until the answer is complete and writes it as one body.
func (s *Server) sendCompletion(w http.ResponseWriter, r *http.Request, j *job, st *stream) {
	var b strings.Builder
	for {
		select {
		case <-r.Context().Done():
			s.cancelAbandoned(j)
			return
		case <-st.cancel:
			panic(http.ErrAbortHandler)
		case <-st.ready:
		}
		for _, ev := range st.takeAll() {
			s.dieIfPoisoned(j)
			switch ev.Kind {
			case enginemodel.EvToken:
				b.WriteString(j.token(ev.Index))
			case enginemodel.EvDropped:
				writeError(w, http.StatusServiceUnavailable, engineapi.ErrPreempted, "the memory was given away", false)
				return
			case enginemodel.EvFinished:
				writeJSON(w, http.StatusOK, j.completion(b.String()))
				return
			}
		}
	}
}

func (j *job) completion(text string) completion {
	c := completionChoice{FinishReason: j.finishReason()}
	object := "text_completion"
	if j.chat {
		object = "chat.completion"
		c.Message = &engineapi.Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	return completion{ID: "gen-" + j.id, Object: object, Model: j.req.Model, Choices: []completionChoice{c}}
}

// cancelAbandoned cancels an attempt whose reader has disconnected, which frees its memory in the engine.
func (s *Server) cancelAbandoned(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Cancel(s.now(), j.seq.Gen, j.seq.Attempt)
	delete(s.streams, streamKey{j.seq.Gen, j.seq.Attempt})
}
