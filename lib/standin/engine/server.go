// Package engine is a stand-in model engine: it serves lib/engineapi over HTTP and runs lib/enginemodel in real time.
//
// Its answers are synthetic text that identifies prompt, generation and index (TokenText). Faults are injected by flags, or
// by POST /standin/fault, which has no authentication: use the stand-in on loopback only.
package engine

import (
	"net"
	"os"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/standin/serving"
)

// Config configures a Server.
type Config struct {
	Addr         string // IP:port; port 0 picks a free one
	Engine       enginemodel.Config
	Model        string // model loaded at start; requests for another are rejected
	ModelVersion string
	Software     string // version of its software, which each token names; empty: none
	Role         string
	Fencing      bool // reject orders with an old fencing number
	NoResume     bool // reject requests that start beyond token 0
	Poison       bool // die while running a prompt that contains "[poison]"
	Incarnation  uint64
	Die          func() // called after connections are cut when a fault ends the process; nil: os.Exit(1)
}

// Server is a running stand-in.
type Server struct {
	serving.Server
	cfg   Config
	start time.Time
	wake  chan struct{}

	mu      sync.Mutex
	model   *enginemodel.Engine
	streams map[streamKey]*stream
	fences  fences
	orders  orderState
	faults  faultState
}

type streamKey struct {
	gen     ids.Generation
	attempt uint32
}

// Start listens and serves until Close or Kill.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, err
	}
	s := newServer(cfg)
	s.Open(ln, s.routes(), s.run)
	return s, nil
}

func newServer(cfg Config) *Server {
	if cfg.Role == "" {
		cfg.Role = "mixed"
	}
	if cfg.Die == nil {
		cfg.Die = func() { os.Exit(1) }
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	s := &Server{
		cfg:     cfg,
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		model:   enginemodel.New(cfg.Engine),
		streams: make(map[streamKey]*stream),
		fences:  newFences(),
		orders:  newOrderState(cfg),
	}
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// run steps the model whenever a step is due.
func (s *Server) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.runDueSteps())
		select {
		case <-s.Stopped():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// runDueSteps runs the steps that are due and returns the time until the next one.
func (s *Server) runDueSteps() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		at, busy := s.model.Next()
		if !busy {
			return time.Hour
		}
		now := s.now()
		if now < at {
			return at - now
		}
		for _, ev := range s.model.Step(now, nil) {
			s.deliver(ev)
		}
	}
}

// deliver passes an event to its stream. It never blocks: a stream's queue can hold every event of its answer.
func (s *Server) deliver(ev enginemodel.Event) {
	key := streamKey{ev.Gen, ev.Attempt}
	st := s.streams[key]
	if st == nil {
		return
	}
	switch ev.Kind {
	case enginemodel.EvPreempted:
		return
	case enginemodel.EvToken:
		s.fences.recordTokens(ev.Gen, ev.Index+1)
	case enginemodel.EvFinished, enginemodel.EvDropped:
		delete(s.streams, key)
	}
	st.push(ev)
}

// wakeRun makes run recompute when the next step is due.
func (s *Server) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
