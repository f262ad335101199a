package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/enginemodel"
)

// Paths of the stand-in's own interface; a real engine has none of them.
const (
	PathFault = "/standin/fault" // POST Fault
	PathStats = "/standin/stats" // GET Stats
)

// Values of Fault.Kind.
const (
	FaultDie     = "die"     // cut all connections and end the process
	FaultStall   = "stall"   // the link carries no data for MS; the engine keeps running
	FaultFreeze  = "freeze"  // load reports stay unchanged, age included; MS 0: until FaultThaw
	FaultThaw    = "thaw"    // load reports are updated again
	FaultSlow    = "slow"    // steps take Factor times as long
	FaultLeave   = "leave"   // reject new work and exit after MS; 0: don't exit
	FaultCut     = "cut"     // cut every stream in progress without an end mark; the engine keeps running
	FaultRepeat  = "repeat"  // streams carry duplicate frames and frames of other attempts among the right ones
	FaultHealthy = "healthy" // end stall, freeze, slow, leave and repeat
)

// Fault is a fault to inject, as POST PathFault takes it.
type Fault struct {
	Kind   string  `json:"kind"`
	MS     int64   `json:"ms,omitempty"`
	Factor float64 `json:"factor,omitempty"`
}

// Stats counts what the stand-in has done, for tests.
type Stats struct {
	Generations   int     `json:"generations"` // known from an attempt or a cancel
	Attempts      int     `json:"attempts"`    // accepted
	OrdersApplied int     `json:"orders_applied"`
	Fence         uint64  `json:"fence"`
	Preemptions   uint64  `json:"preemptions"`
	Streams       int     `json:"streams"`
	Watts         float64 `json:"watts"` // current draw, regardless of the load reports
}

type faultState struct {
	stalledUntil time.Time
	repeat       bool
	frozen       bool
	frozenAge    int64 // age_ms that frozen reports keep reporting
}

// stallPoll is how often a delayed request or writer checks whether the link has recovered.
const stallPoll = 5 * time.Millisecond

func (s *Server) faultHandler(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, engineapi.ErrBad, err.Error(), true)
		return
	}
	if !s.SetFault(f) {
		writeError(w, http.StatusBadRequest, engineapi.ErrBad, "unknown fault "+f.Kind, true)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetFault injects a fault and reports whether its kind is known.
func (s *Server) SetFault(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := time.Duration(f.MS) * time.Millisecond
	switch f.Kind {
	case FaultDie:
		go s.die()
	case FaultStall:
		s.faults.stalledUntil = time.Now().Add(wait)
	case FaultFreeze:
		s.freeze()
		if wait > 0 {
			time.AfterFunc(wait, func() { s.SetFault(Fault{Kind: FaultThaw}) })
		}
	case FaultThaw:
		s.faults.frozen = false
		s.model.FreezeReports(false)
	case FaultSlow:
		s.model.SetStepFactor(max(1, f.Factor))
	case FaultLeave:
		s.model.SetLeaving(true)
		if wait > 0 {
			time.AfterFunc(wait, s.die)
		}
	case FaultCut:
		s.cutStreams()
	case FaultRepeat:
		s.faults.repeat = true
	case FaultHealthy:
		s.faults = faultState{}
		s.model.FreezeReports(false)
		s.model.SetStepFactor(1)
		s.model.SetLeaving(false)
	default:
		return false
	}
	return true
}

// freeze keeps load reports unchanged, their age included: a reader can detect it only by the unchanged sequence number.
func (s *Server) freeze() {
	s.faults.frozen = true
	s.faults.frozenAge = s.reportAge()
	s.model.FreezeReports(true)
}

func (s *Server) reportAge() int64 {
	if s.faults.frozen {
		return s.faults.frozenAge
	}
	now := s.now()
	return (now - s.model.Report(now).At).Milliseconds()
}

func (s *Server) die() {
	s.Kill()
	s.cfg.Die()
}

func (s *Server) cutStreams() {
	for key, st := range s.streams {
		s.model.Cancel(s.now(), key.gen, key.attempt)
		delete(s.streams, key)
		close(st.cancel)
	}
}

// waitForLink blocks while the link is stalled. It returns false if the reader disconnects or the server stops first.
func (s *Server) waitForLink(disconnected <-chan struct{}) bool {
	for {
		s.mu.Lock()
		left := time.Until(s.faults.stalledUntil)
		s.mu.Unlock()
		if left <= 0 {
			return true
		}
		select {
		case <-disconnected:
			return false
		case <-s.Stopped():
			return false
		case <-time.After(min(left, stallPoll)):
		}
	}
}

// dieIfPoisoned ends the process if the prompt contains the poison mark and Config.Poison is set.
func (s *Server) dieIfPoisoned(j *job) {
	if s.cfg.Poison && strings.Contains(j.prompt, markPoison) {
		s.die()
		panic(http.ErrAbortHandler)
	}
}

// withRepeats returns f, together with frames that a reader must drop if FaultRepeat is active: one of an earlier attempt and a
// duplicate.
func (s *Server) withRepeats(j *job, ev enginemodel.Event, f engineapi.Frame) []engineapi.Frame {
	s.mu.Lock()
	repeat := s.faults.repeat
	s.mu.Unlock()
	if !repeat || ev.Kind != enginemodel.EvToken {
		return []engineapi.Frame{f}
	}
	stale := f
	stale.Ext.Attempt--
	stale.Choices = []engineapi.Choice{j.choice(" late-late-late")}
	return []engineapi.Frame{stale, f, f}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, Stats{
		Generations:   len(s.fences.byGen),
		Attempts:      s.fences.accepted,
		OrdersApplied: s.orders.applied,
		Fence:         s.orders.fence,
		Preemptions:   s.model.Preemptions(),
		Streams:       len(s.streams),
		Watts:         s.model.Watts(),
	})
}
