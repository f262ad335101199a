package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/ids"
)

// maxBody bounds a request body in bytes.
const maxBody = 16 << 20

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, s.delayWhileStalled(s.complete))
	mux.HandleFunc("POST "+engineapi.PathChatCompletions, s.delayWhileStalled(s.complete))
	mux.HandleFunc("DELETE "+engineapi.PathGenerations+"{id}", s.delayWhileStalled(s.cancelHandler))
	mux.HandleFunc("GET "+engineapi.PathLoad, s.delayWhileStalled(s.load))
	mux.HandleFunc("GET "+engineapi.PathCacheEvents, s.delayWhileStalled(s.cacheEvents))
	mux.HandleFunc("POST "+engineapi.PathOrders, s.delayWhileStalled(s.order))
	mux.HandleFunc("POST "+PathFault, s.faultHandler)
	mux.HandleFunc("GET "+PathStats, s.stats)
	return mux
}

// delayWhileStalled delays a request while the link is stalled.
func (s *Server) delayWhileStalled(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.waitForLink(r.Context().Done()) {
			next(w, r)
		}
	}
}

// job is a parsed completion request.
type job struct {
	req       engineapi.Request
	seq       enginemodel.Seq
	prompt    string
	id        string // text form of the generation id
	software  string // of the engine
	truncated bool   // the answer is truncated by max_tokens
	chat      bool
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	j, err := parseJob(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, engineapi.ErrBad, err.Error(), true)
		return
	}
	j.software = s.cfg.Software
	st, ok := s.accept(w, j)
	if !ok {
		return
	}
	if j.req.Stream {
		s.sendStream(w, r, j, st)
		return
	}
	s.sendCompletion(w, r, j, st)
}

func parseJob(r *http.Request) (*job, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBody {
		return nil, errors.New("the body is too large")
	}
	j := &job{chat: r.URL.Path == engineapi.PathChatCompletions}
	if err := json.Unmarshal(body, &j.req); err != nil {
		return nil, err
	}
	j.prompt = engineapi.PromptText(&j.req)
	if j.prompt == "" {
		return nil, errors.New("the prompt is empty")
	}
	return j, j.buildSequence()
}

// buildSequence sets the sequence, the generation id and whether the answer is truncated from the request.
func (j *job) buildSequence() error {
	gen := ids.New()
	if ext := j.req.Ext; ext != nil {
		var err error
		if gen, err = ids.Parse(ext.Generation); err != nil {
			return err
		}
		if len(ext.Resume) > 0 && len(ext.Resume) != int(ext.StartIndex) {
			return errors.New("resume must hold start_index tokens")
		}
		j.seq.Attempt = ext.Attempt
		j.seq.Emitted = int(ext.StartIndex)
		j.seq.Priority = ext.Priority
	}
	j.id = gen.String()
	j.seq.Gen = gen
	j.seq.Attempt = max(1, j.seq.Attempt)
	j.seq.Prompt = engineapi.CountTokens(j.prompt)
	j.seq.Length = AnswerLength(j.prompt)
	if maxTokens := j.req.MaxTokens; maxTokens > 0 && j.seq.Length > maxTokens {
		j.seq.Length = maxTokens
		j.truncated = true
	}
	if j.seq.Emitted > j.seq.Length {
		return errors.New("start_index is beyond the end of the answer")
	}
	for i, h := range engineapi.PrefixHashes(j.prompt) {
		j.seq.Prefixes = append(j.seq.Prefixes, enginemodel.Prefix{Hash: h, Tokens: engineapi.PrefixTokens(i)})
	}
	return nil
}

// token returns token i of the answer, with the version of the software that makes it.
func (j *job) token(i int) string {
	text := TokenText(j.prompt, j.id, i)
	if j.software != "" {
		text += "-" + j.software
	}
	return text
}

// resumeMatches checks that the tokens to resume from are those of this answer. A real engine would continue from any
// tokens; this check detects a token that was dropped, repeated or taken from another stream on the way. Which software made them is not
// checked, as real engines don't.
func (j *job) resumeMatches() bool {
	if j.req.Ext == nil {
		return true
	}
	for i, tok := range j.req.Ext.Resume {
		if want := TokenText(j.prompt, j.id, i); tok != want && !strings.HasPrefix(tok, want+"-") {
			return false
		}
	}
	return true
}

// accept starts the attempt or rejects it. A later attempt of the same generation ends the earlier one.
func (s *Server) accept(w http.ResponseWriter, j *job) (*stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case j.req.Model != "" && j.req.Model != s.orders.model:
		writeError(w, http.StatusNotFound, engineapi.ErrNoModel, "this engine serves "+s.orders.model, true)
		return nil, false
	case s.cfg.NoResume && j.seq.Emitted > 0:
		writeError(w, http.StatusConflict, engineapi.ErrNoResume, "this engine starts at token 0 only", true)
		return nil, false
	case !j.resumeMatches():
		writeError(w, http.StatusBadRequest, engineapi.ErrBad, "resume is not the beginning of this answer", true)
		return nil, false
	case !s.fences.admit(j.seq.Gen, j.seq.Attempt):
		notRun := s.fences.getOrCreate(j.seq.Gen).started != j.seq.Attempt
		writeError(w, http.StatusConflict, engineapi.ErrFenced, "the attempt is old", notRun)
		return nil, false
	}
	st := newStream()
	s.cancelAttempts(j.seq.Gen, j.seq.Attempt-1)
	if err := s.startAttempt(j, st); err != nil {
		s.writeAddError(w, err)
		return nil, false
	}
	s.wakeRun()
	return st, true
}

// startAttempt adds the sequence to the model. A resume with nothing left to decode finishes immediately.
func (s *Server) startAttempt(j *job, st *stream) error {
	if j.seq.Emitted == j.seq.Length {
		s.fences.start(j.seq.Gen, j.seq.Attempt)
		st.push(enginemodel.Event{Kind: enginemodel.EvFinished, Gen: j.seq.Gen, Attempt: j.seq.Attempt, Index: j.seq.Length})
		return nil
	}
	if err := s.model.Add(s.now(), j.seq); err != nil {
		return err
	}
	s.fences.start(j.seq.Gen, j.seq.Attempt)
	s.streams[streamKey{j.seq.Gen, j.seq.Attempt}] = st
	return nil
}

func (s *Server) writeAddError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, enginemodel.ErrLeaving):
		writeError(w, http.StatusServiceUnavailable, engineapi.ErrDraining, err.Error(), true)
	case errors.Is(err, enginemodel.ErrTooLarge):
		writeError(w, http.StatusBadRequest, engineapi.ErrBad, err.Error(), true)
	default:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, engineapi.ErrOverloaded, err.Error(), true)
	}
}

// cancelAttempts cancels the streams of a generation up to an attempt.
func (s *Server) cancelAttempts(g ids.Generation, upTo uint32) {
	for key, st := range s.streams {
		if key.gen != g || key.attempt > upTo {
			continue
		}
		s.model.Cancel(s.now(), key.gen, key.attempt)
		delete(s.streams, key)
		close(st.cancel)
	}
}

func (s *Server) cancelHandler(w http.ResponseWriter, r *http.Request) {
	g, err := ids.Parse(r.PathValue("id"))
	attempt, err2 := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 32)
	if err != nil || err2 != nil {
		writeError(w, http.StatusBadRequest, engineapi.ErrBad, "want /v1/generations/{id}?attempt=n", true)
		return
	}
	writeJSON(w, http.StatusOK, s.cancel(g, uint32(attempt)))
}

func (s *Server) cancel(g ids.Generation, attempt uint32) engineapi.CancelResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelAttempts(g, attempt)
	rec := s.fences.fence(g, attempt)
	return engineapi.CancelResult{Known: rec.first > 0 && rec.first <= attempt, Ran: rec.ran, Tokens: uint32(rec.tokens)}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := s.model.Report(s.now())
	writeJSON(w, http.StatusOK, engineapi.LoadReport{
		Seq:          rep.Seq,
		AgeMS:        s.reportAge(),
		Running:      rep.Running,
		Waiting:      rep.Waiting,
		KVUsed:       rep.KVUsed,
		KVTotal:      rep.KVTotal,
		MaxBatch:     rep.MaxBatch,
		Preemptions:  rep.Preemptions,
		Watts:        rep.Watts,
		Leaving:      rep.Leaving,
		Model:        s.orders.model,
		ModelVersion: s.orders.version,
		Adapters:     s.orders.adapters,
		Role:         s.orders.role,
		Incarnation:  s.cfg.Incarnation,
		Fence:        s.orders.fence,
		Cancels:      true,
		Resumes:      !s.cfg.NoResume,
	})
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.TrimSpace(r.URL.Query().Get("snapshot")) == "1" {
		writeJSON(w, http.StatusOK, s.cacheSnapshot())
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	page := engineapi.CacheEvents{Seq: after}
	for _, ev := range s.model.CacheEvents(s.now(), after) {
		page.Seq = ev.Seq
		page.Events = append(page.Events, engineapi.CacheEvent{
			Seq: ev.Seq, Stored: ev.Stored, Prefix: ev.Prefix.Hash, Tokens: ev.Prefix.Tokens,
		})
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Server) cacheSnapshot() engineapi.CacheEvents {
	seq, stored := s.model.CacheSnapshot()
	page := engineapi.CacheEvents{Seq: seq, Snapshot: true}
	for _, p := range stored {
		page.Events = append(page.Events, engineapi.CacheEvent{Seq: seq, Stored: true, Prefix: p.Hash, Tokens: p.Tokens})
	}
	return page
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, kind, message string, notRun bool) {
	writeJSON(w, status, struct {
		Error engineapi.Error `json:"error"`
	}{engineapi.Error{Type: kind, Message: message, NotRun: notRun}})
}
