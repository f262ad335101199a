// Package plain is a stand-in for a plain HTTP service behind anvilwick: it answers any method and path, counts
// executions by call id, reports its load and injects faults on request.
//
// The call id is the header X-Call-Id, else Idempotency-Key, else the query parameter id, else the path.
package plain

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/standin/serving"
)

// Paths of the stand-in's own interface; a real service serves only engineapi.PathServiceLoad.
const (
	PathFault      = "/standin/fault"      // POST Fault
	PathExecutions = "/standin/executions" // GET: map of id to count
)

// HeaderCallID carries the id under which an execution is counted.
const HeaderCallID = "X-Call-Id"

const (
	maxBody       = 16 << 20 // bytes
	maxCountedIDs = 1 << 20  // most ids that are counted
)

// Config configures a Server.
type Config struct {
	Addr      string // IP:port; port 0 picks a free one
	Name      string // returned in each answer
	Delay     time.Duration
	Capacity  int           // concurrent calls; more are rejected with 503
	ReportLag time.Duration // maximum age of load reports
	Die       func()        // called after connections are cut when a fault ends the process; nil: os.Exit(1)
}

// Values of Fault.Kind. All but "delay", "leave" and "die" apply to the next Count calls.
const (
	FaultDie       = "die"        // cut all connections and end the process
	FaultDieBefore = "die_before" // end the process on a call before executing it
	FaultDieAfter  = "die_after"  // end the process on a call after executing it, before the answer
	FaultCutBefore = "cut_before" // close the connection before the call is executed
	FaultCutAfter  = "cut_after"  // execute the call, then close the connection without an answer
	FaultCutBody   = "cut_body"   // execute the call, send half of the answer's body, then close
	FaultPartReset = "part_reset" // execute the call without reading its body, send a part of an answer that has no length, then reset
	FaultBadStatus = "bad_status" // execute the call and answer with status 000
	FaultBadField  = "bad_field"  // execute the call and answer with a blank in the name of a field
	FaultHang      = "hang"       // execute the call and never answer
	FaultError     = "error"      // answer 500 without executing
	FaultDelay     = "delay"      // every call takes MS from now on
	FaultLeave     = "leave"      // report leaving; MS > 0: exit after MS
	FaultHealthy   = "healthy"    // end all faults
)

// Fault is a fault to inject, as POST PathFault takes it.
type Fault struct {
	Kind  string `json:"kind"`
	MS    int64  `json:"ms,omitempty"`
	Count int    `json:"count,omitempty"` // calls that it applies to; 0: one
}

// Answer is the body of every answer.
type Answer struct {
	Service    string `json:"service"`
	ID         string `json:"id"`
	Executions int    `json:"executions"` // of this id at this service, this one included
	Method     string `json:"method"`
	Path       string `json:"path"`
	Body       string `json:"body,omitempty"`
}

// Server is a running stand-in.
type Server struct {
	serving.Server
	cfg Config

	mu             sync.Mutex
	counts         map[string]int
	running        int
	delay          time.Duration
	leaving        bool
	fault          string
	faultCallsLeft int // calls that fault still applies to
	report         engineapi.ServiceLoad
	reportedAt     time.Time // when report was taken
}

// Start listens and serves until Close or Kill.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, err
	}
	if cfg.Die == nil {
		cfg.Die = func() { os.Exit(1) }
	}
	if cfg.Capacity == 0 {
		cfg.Capacity = 64
	}
	s := &Server{
		cfg:    cfg,
		counts: make(map[string]int),
		delay:  cfg.Delay,
	}
	s.Open(ln, s.routes(), nil)
	return s, nil
}

// Executions returns how often each id was executed.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.PathServiceLoad, s.load)
	mux.HandleFunc("POST "+PathFault, s.faultHandler)
	mux.HandleFunc("GET "+PathExecutions, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func callID(r *http.Request) string {
	for _, id := range []string{r.Header.Get(HeaderCallID), r.Header.Get("Idempotency-Key"), r.URL.Query().Get("id")} {
		if id != "" {
			return id
		}
	}
	return r.URL.Path
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report.Seq == 0 || time.Since(s.reportedAt) >= s.cfg.ReportLag {
		s.reportedAt = time.Now()
		s.report = engineapi.ServiceLoad{
			Seq:      s.report.Seq + 1,
			Running:  s.running,
			Capacity: s.cfg.Capacity,
			Leaving:  s.leaving,
		}
	}
	rep := s.report
	rep.AgeMS = time.Since(s.reportedAt).Milliseconds()
	writeJSON(w, http.StatusOK, rep)
}

func (s *Server) faultHandler(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&f); err != nil || !s.SetFault(f) {
		http.Error(w, "unknown fault", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
