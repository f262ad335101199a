package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/standin/raw"
)

// SetFault injects a fault and reports whether its kind is known.
func (s *Server) SetFault(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := time.Duration(f.MS) * time.Millisecond
	switch f.Kind {
	case FaultDie:
		go s.die()
	case FaultDelay:
		s.delay = wait
	case FaultLeave:
		s.leaving = true
		if wait > 0 {
			time.AfterFunc(wait, s.die)
		}
	case FaultDieBefore, FaultDieAfter, FaultCutBefore, FaultCutAfter, FaultCutBody, FaultPartReset, FaultBadStatus, FaultBadField, FaultHang, FaultError:
		s.fault = f.Kind
		s.faultCallsLeft = max(1, f.Count)
	case FaultHealthy:
		s.fault, s.faultCallsLeft = "", 0
		s.leaving = false
		s.delay = s.cfg.Delay
	default:
		return false
	}
	return true
}

func (s *Server) die() {
	s.Kill()
	s.cfg.Die()
}

// brokenAnswers are answers that net/http's server can't send, by the fault.
var brokenAnswers = map[string]raw.Answer{
	FaultPartReset: {Text: "HTTP/1.1 200 OK\r\n\r\n{\"service\":", Wait: 5 * time.Millisecond, End: raw.Reset},
	FaultBadStatus: {Text: "HTTP/1.1 000 Failed\r\nContent-Length: 2\r\n\r\n{}", ReadBody: true},
	FaultBadField:  {Text: "HTTP/1.1 200 OK\r\nX Y: a\r\nContent-Length: 2\r\n\r\n{}", ReadBody: true},
}

// takeBroken returns the broken answer for the next call, if the active fault has one.
func (s *Server) takeBroken() (raw.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, ok := brokenAnswers[s.fault]
	if !ok || s.faultCallsLeft == 0 {
		return raw.Answer{}, false
	}
	s.faultCallsLeft--
	return answer, true
}

// serveCall executes one call and applies the active fault before and after execution.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	if answer, ok := s.takeBroken(); ok {
		s.execute(r, "")
		answer.Send(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	fault, delay, ok := s.acquireSlot()
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "at capacity", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	s.failBefore(fault)
	if fault == FaultError {
		http.Error(w, "ordered to fail", http.StatusInternalServerError)
		return
	}
	ans := s.execute(r, string(body))
	select {
	case <-time.After(delay):
	case <-s.Stopped():
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, r, fault, ans)
}

// acquireSlot reserves capacity for a call and returns the fault that applies to it; ok is false if no capacity is free.
func (s *Server) acquireSlot() (fault string, delay time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.Capacity {
		return "", 0, false
	}
	s.running++
	if s.faultCallsLeft > 0 {
		s.faultCallsLeft--
		fault = s.fault
	}
	return fault, s.delay, true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) failBefore(fault string) {
	switch fault {
	case FaultDieBefore:
		s.die()
		panic(http.ErrAbortHandler)
	case FaultCutBefore:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) execute(r *http.Request, body string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := callID(r)
	if len(s.counts) < maxCountedIDs || s.counts[id] > 0 {
		s.counts[id]++
	}
	return Answer{
		Service:    s.cfg.Name,
		ID:         id,
		Executions: s.counts[id],
		Method:     r.Method,
		Path:       r.URL.Path,
		Body:       body,
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, fault string, ans Answer) {
	switch fault {
	case FaultDieAfter:
		s.die()
		panic(http.ErrAbortHandler)
	case FaultCutAfter:
		panic(http.ErrAbortHandler)
	case FaultHang:
		select {
		case <-r.Context().Done():
		case <-s.Stopped():
		}
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(ans)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if fault == FaultCutBody {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
