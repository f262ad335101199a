// Package gateway passes callers' requests through to targets unchanged and answers with what the targets said.
//
// A request is matched to a route, its key to a workspace; a target is chosen; the answer goes back with the target's
// headers. What may be repeated follows from the route's kind alone. A request that was given up on is answered at
// once: 503 with Retry-After when it is sure that no target ran it, 502 or 504 when one may have.
//
// The names of headers and the calls to engines belong to the site and are passed in (Names, Engines).
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/retry"
	"anvilwick.example/anvilwick/lib/routes"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// Names are the site's names of the headers that the gateway reads and sets.
type Names struct {
	RequestID string // of one attempt of a caller; answers repeat it
	Deadline  string // milliseconds that the caller, or the target, has
	Key       string // the caller's key
	Workspace string // name of the key's workspace, for targets
	Expect    string // id of the one target that may run the request
	NotRun    string // in an answer: the target did not run the request
	Seal      string // in an answer: the target's mark on it
	Load      string // in an answer: requests running, waiting and slots, separated by commas
	Limit     string // in an answer: the requests a second that the target takes from all instances together
	Leaving   string // in an answer: the target takes nothing new
	LastEvent string // id of the last event that the caller has
	Tokens    string // tokens of the prompt and largest number of output tokens
	Hint      string // the caller's guess of the output's tokens
	Urgency   string // rank in an engine's queue
	Backup    string // address of an engine that is sent the run's memory as it grows
	CopyFrom  string // address and handle of a copy of a run to go on from

	Reserved []string // headers that only the gateway may set; a caller's are dropped
}

// CopyResult is the answer to a copy of a run.
type CopyResult struct {
	Handle string // names the copy
}

// Report is what an engine tells of itself.
type Report struct {
	Leaving bool  // it was told to end, or is about to
	Born    int64 // of the life that answers, as in fleet.Info
}

// Engines makes calls to model engines beside the requests themselves.
type Engines interface {
	// Copy copies the memory of the run that serves request id from one engine to another, or what is new of it. last
	// ends the run at its source before the rest is copied.
	Copy(ctx context.Context, from, to fleet.Info, id string, last bool) (CopyResult, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, at fleet.Info) (Report, error)
	// ReleaseCopy gives up a copy at both ends.
	ReleaseCopy(ctx context.Context, from fleet.Info, handle string) error
}

// Config is what a Gateway is made of.
type Config struct {
	Names   Names
	Engines Engines
	Fleet   *fleet.Fleet
	Pool    *wirehttp.Pool
	Budget  *retry.Share
	Log     Log
	// OnLeaving is told of a target that says in an answer that it leaves; nil: nobody is.
	OnLeaving func(t fleet.Info)
	// Owners decides with others where streams go; nil: this instance decides alone.
	Owners Owners
}

// Owners are the instances that decide where streams go on engines which many instances send to. An error says that none
// of them answers: then this instance decides alone.
type Owners interface {
	// Place finds an engine for a run, or says when its caller should come back.
	Place(ctx context.Context, a owner.PlaceRequest) (owner.Answer, error)
	// RequestMoves says where this instance's runs go that are on engines which leave.
	RequestMoves(ctx context.Context, engines []fleet.Info) ([]moveplan.Step, error)
	// LastContact returns when any instance last heard an engine.
	LastContact(ctx context.Context, engine string) (time.Time, error)
	// ScheduleReport says that what runs here has changed.
	ScheduleReport()
	// RecordOutcome tells how a run ended at an engine.
	RecordOutcome(engine string, o fleet.Outcome)
	// RecordPlainOutcome tells how a request ended at a target of a plain service.
	RecordPlainOutcome(service, target string, o fleet.Outcome)
	// RequestPermit asks for leave to send a request to a target that has named a limit. One that must be sent is only counted.
	RequestPermit(ctx context.Context, t fleet.Info, must bool) (fleet.Permit, error)
	// ReportLimit tells of the limit that an answer of a target named, or no longer named; changed says that it is news here.
	ReportLimit(t fleet.Info, changed bool)
	// RecordPrefill tells how long a first event took.
	RecordPrefill(r owner.PrefillSample)
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	Config
	table  atomic.Pointer[routes.Table]
	stopBy atomic.Pointer[time.Time] // when open answers will be cut; nil: the instance is not stopping
	open   context.Context           // ends when open answers are to be broken off
	cut    context.CancelFunc
	known  chan struct{} // closed when settings are first in force
	runs   runTable
	placer admit.Placer // decides when streams go to engines
	sends  openSends
	paces  paces
	poison *poison.Table
}

// defaultHold bounds how long a request waits for the first settings; holdPart is the part of the caller's time that it
// waits at most.
const (
	defaultHold = 500 * time.Millisecond
	holdPart    = 5
)

// New returns a Gateway that knows no settings yet.
func New(cfg Config) *Gateway {
	open, cut := context.WithCancel(context.Background())
	g := &Gateway{
		Config: cfg, open: open, cut: cut, known: make(chan struct{}), runs: newRunTable(), sends: newOpenSends(),
		placer: admit.Placer{Fleet: cfg.Fleet, Prefill: new(admit.PrefillRates)}, poison: poison.New(poisonConfig),
	}
	if cfg.Fleet != nil {
		cfg.Fleet.SetSizes(g.sizesOn)
	}
	return g
}

// Apply puts a table of routes in force. An older one than that in force is left out: a request handled by a state that
// operators have replaced would undo what a caller has already seen.
func (g *Gateway) Apply(t *routes.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			if old == nil {
				close(g.known)
			}
			return true
		}
	}
}

// PrefillRates returns what is learnt of how fast prompts are read.
func (g *Gateway) PrefillRates() *admit.PrefillRates { return g.placer.Prefill }

// Table returns the table in force, nil before the first.
func (g *Gateway) Table() *routes.Table { return g.table.Load() }

// Stop makes answers ask callers to close their connections. What is still open at by will be broken off.
func (g *Gateway) Stop(by time.Time) { g.stopBy.Store(&by) }

func (g *Gateway) stopping() bool { return g.stopBy.Load() != nil }

// AbortOpen breaks off what is still open. Call it after Stop.
func (g *Gateway) AbortOpen() { g.cut() }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	g.awaitSettings(r)
	c, ref := g.accept(w, r)
	if ref != nil {
		g.refuse(w, c, *ref)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.limit)
	defer cancel()
	stop := context.AfterFunc(g.open, cancel)
	defer stop()
	g.Budget.Request(c.arrived, c.service)
	if c.route.Kind == routes.Stream {
		g.serveStream(ctx, w, c)
		return
	}
	g.servePlain(ctx, w, c)
}

// awaitSettings holds a request that came before the first settings. An instance that was just started knows them within
// some tens of milliseconds, and a refusal would use up the caller's only repeat.
func (g *Gateway) awaitSettings(r *http.Request) {
	if g.table.Load() != nil {
		return
	}
	hold := defaultHold
	if ms, err := strconv.Atoi(r.Header.Get(g.Names.Deadline)); err == nil {
		hold = min(hold, time.Duration(ms)*time.Millisecond/holdPart)
	}
	t := time.NewTimer(hold)
	defer t.Stop()
	select {
	case <-g.known:
	case <-t.C:
	case <-r.Context().Done():
	}
}
