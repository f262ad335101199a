// Package gateway is the HTTP proxy between callers and targets. It forwards requests and responses unchanged.
//
// Each request is matched to a route and its key to a workspace; a target is chosen and its response, headers included, is
// returned. Whether a request may be repeated follows from the route's kind alone. A request that can't be served is
// answered at once: 503 with Retry-After when it is certain that no target executed it, 502 or 504 when one may have.
//
// The names of headers and the calls to engines are specific to a site and are passed in (Names, Engines).
package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/retry"
	"anvilwick.example/anvilwick/lib/routes"
	"anvilwick.example/anvilwick/lib/stopping"
	"anvilwick.example/anvilwick/lib/targetdial"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// Names are the header names, specific to the site, that the gateway reads and sets.
type Names struct {
	RequestID string // id of one request attempt; responses repeat it
	Deadline  string // milliseconds that the caller, or the target, has left
	Key       string // the caller's API key
	Workspace string // name of the key's workspace, for targets
	Expect    string // id of the only target that may execute the request
	NotRun    string // in a response: the target did not execute the request
	Seal      string // in a response: set by the target on its own responses
	Load      string // in a response: running requests, waiting requests and slots, separated by commas
	Limit     string // in a response: requests a second that the target accepts from all instances together
	Brittle   string // in a response: requests a second that the target may reject for want of room, from all instances, before it falls over
	Leaving   string // in a response: the target accepts nothing new
	LastEvent string // id of the last event that the caller has
	Resumes   string // id of the request attempt that brought the first event of the stream that the caller resumes
	Tokens    string // prompt tokens and maximum output tokens
	Hint      string // the caller's estimate of the output tokens
	Model     string // the model that the caller asks for
	Segments  string // the segments of the prompt in order, as id:tokens separated by commas
	Urgency   string // rank in an engine's queue
	Backup    string // address of an engine that receives the run's memory as it grows
	CopyFrom  string // address and handle of a run's copy to continue from

	Reserved []string // headers that only the gateway may set; those of callers are dropped
}

// CopyResult is an engine's reply to a copy request.
type CopyResult struct {
	Handle string // identifies the copy
}

// Report is the state that an engine reports.
type Report struct {
	Leaving bool  // it was told to terminate, or is about to
	Born    int64 // incarnation of the responding engine, as in fleet.Info
}

// Engines makes control calls to model engines, beside the requests themselves.
type Engines interface {
	// Copy copies the memory of the run that serves request id from one engine to another; a repeated call copies only what
	// was added since. last stops the run at its source before the rest is copied.
	Copy(ctx context.Context, from, to fleet.Info, id string, last bool) (CopyResult, error)
	// Incarnation requests, on a connection to an engine that can carry a request after it, which incarnation the engine at its other end is; 0:
	// unknown. An error may come with an incarnation, if the connection can't carry a request.
	Incarnation(ctx context.Context, conn *wirehttp.Conn, at fleet.Info) (int64, error)
	// Report requests an engine's state.
	Report(ctx context.Context, at fleet.Info) (Report, error)
	// ReleaseCopy frees a copy at both ends.
	ReleaseCopy(ctx context.Context, from fleet.Info, handle string) error
}

// Config holds the dependencies of a Gateway.
type Config struct {
	Names   Names
	Engines Engines
	Fleet   *fleet.Fleet
	Pool    *wirehttp.Pool
	Budget  *retry.InstanceBudget
	// Memory grants the buffers for bodies and events; nil: there is no limit.
	Memory *membudget.Budget
	Log    Log
	// OnLeaving is called for a target whose response says that it is leaving; may be nil.
	OnLeaving func(t fleet.Info)
	// OnRestarted is called for a target that responds as a later incarnation than the listed one; may be nil.
	OnRestarted func(id string, born int64)
	// Links knows which of this instance's own links to targets are lost; nil: none is.
	Links Links
	// Owners coordinates placement with other instances; nil: this instance decides alone.
	Owners Owners
	// Streams knows which software version began a stream; nil: each service has one version.
	Streams Streams
	// Probes permits requests that find out whether convicted prompt segments still crash engines; nil: none is permitted.
	Probes Probes
}

// Streams knows which software version began each resumable stream of any instance.
type Streams interface {
	// RecordStream records the version that begins a stream. It is called before the first event is forwarded, which waits for it.
	RecordStream(s StreamStart)
	// FindStream returns which version began the stream of an attempt.
	FindStream(ctx context.Context, workspace, attempt, service string) StreamOrigin
}

// StreamStart is the record of a stream that begins.
type StreamStart struct {
	Workspace, Attempt, Service string
	Software                    fleet.Software // zero: unknown
	Unproven                    uint64         // fleet.UnprovenRecord, if the target was not queried whether it still runs Software; else 0
	Deadline                    time.Time      // of the caller, which resumes no stream after it
}

// StreamOrigin is what is known of a stream.
type StreamOrigin struct {
	Software uint64 // fleet.Software.ID of the version that began it, or a fleet.UnprovenRecord; 0: unknown
	Settled  bool   // without Software: another query is in vain
	Unlisted bool   // this instance has seen no target of Software
}

// Owners is the client of the instances that decide placement on engines shared by many instances. An error means that none
// of them answered: then this instance decides alone.
type Owners interface {
	// Place finds an engine for a run, or says when its caller should retry.
	Place(ctx context.Context, a owner.PlaceRequest) (owner.Answer, error)
	// RequestMoves returns the destinations of this instance's runs on engines that are leaving.
	RequestMoves(ctx context.Context, engines []fleet.Info) ([]moveplan.Step, error)
	// LastContact returns when any instance last received anything from an engine.
	LastContact(ctx context.Context, engine string) (time.Time, error)
	// ScheduleReport is called after a change of this instance's runs or reservations.
	ScheduleReport()
	// RecordOutcome reports how a run ended on an engine.
	RecordOutcome(engine string, o fleet.Outcome)
	// RecordPlainOutcome reports how a request to a plain service's target ended.
	RecordPlainOutcome(service, target string, o fleet.Outcome)
	// RequestPermit requests a permit for a rate-limited target. With must, the request is sent anyway and is only counted.
	RequestPermit(ctx context.Context, t fleet.Info, must bool) (fleet.Permit, error)
	// ReportLimit reports the limit that a target's response named, or its end; changed says that it is new to this instance.
	ReportLimit(t fleet.Info, changed bool)
	// RecordPrefill reports the time to a first event.
	RecordPrefill(r owner.PrefillSample)
	// RecordPace reports how fast an engine works, as a stream or a response has just shown; unknown fields are zero.
	RecordPace(p owner.Pace)
	// AnnounceSlowdown informs all instances that a plain target has named a slowdown: a factor on its usual service time.
	AnnounceSlowdown(t fleet.Info, factor float64)
}

// Links knows which of this instance's own links to targets are lost, although peers reach the targets.
type Links interface {
	// Lost reports whether the own link to a target is lost.
	Lost(addr string) bool
	// ContactSince reports whether anything has arrived from any target over an own link since a time.
	ContactSince(at time.Time) bool
	// Silent reports whether open connections over the own link to a target carry nothing any more.
	Silent(addr string) bool
	// Probe finds out whether a target accepts connections, unless that was found out at most maxAge ago. It may take half a second.
	Probe(addr string, maxAge time.Duration) targetdial.Reach
	// DialByPeer opens a connection to a target by way of a peer.
	DialByPeer(ctx context.Context, addr string) (net.Conn, error)
}

// Gateway serves callers' requests. It is an http.Handler.
type Gateway struct {
	Config
	omit          map[string]bool // names of headers of callers that are never forwarded
	table         atomic.Pointer[routes.Table]
	stop          atomic.Pointer[stopping.Schedule] // nil: the instance is not stopping
	openCtx       context.Context                   // cancelled to abort open responses
	cancelOpen    context.CancelFunc
	settingsReady chan struct{} // closed when the first settings are in force
	runs          runTable
	placer        admit.Placer // decides when streams are sent to engines
	conns         openConns
	times         stopping.Times
	poison        *poison.Table
	segments      *poison.SegmentTable
	probing       sync.Mutex // held while a permit is requested
	deathChecks   singleflight.Group
	restarts      restartChecks
	loadHeaders   loadHeaders
	openRequests  atomic.Int64
}

// maxSettingsWait bounds how long a request waits for the first settings; the wait is also at most one settingsWaitPart-th of
// the caller's deadline.
const (
	maxSettingsWait  = 500 * time.Millisecond
	settingsWaitPart = 5
)

// New returns a Gateway without settings.
func New(cfg Config) *Gateway {
	open, cut := context.WithCancel(context.Background())
	g := &Gateway{
		Config: cfg, omit: omittedHeaders(cfg.Names), openCtx: open, cancelOpen: cut, settingsReady: make(chan struct{}), runs: newRunTable(), conns: newOpenConns(),
		placer: admit.Placer{Fleet: cfg.Fleet, Prefill: new(admit.PrefillRates)}, poison: poison.New(poisonConfig),
		segments: poison.NewSegmentTable(poison.DefaultSegmentConfig),
	}
	if cfg.Fleet != nil {
		cfg.Fleet.SetSizes(g.sizesOn)
	}
	return g
}

// Apply puts a routing table in force and reports whether it did. It ignores a table that is not newer than the current one:
// serving from settings that operators have replaced would undo what callers have already seen.
func (g *Gateway) Apply(t *routes.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			if old == nil {
				close(g.settingsReady)
			}
			return true
		}
	}
}

// PrefillRates returns the prefill rates learnt from streams.
func (g *Gateway) PrefillRates() *admit.PrefillRates { return g.placer.Prefill }

// Table returns the table in force, or nil before the first.
func (g *Gateway) Table() *routes.Table { return g.table.Load() }

// Stop makes responses close their connections. Calls that can't be answered before s.By are refused from now on.
func (g *Gateway) Stop(s stopping.Schedule) { g.stop.Store(&s) }

func (g *Gateway) stopping() bool { return g.stop.Load() != nil }

// AbortOpen aborts the open responses, and refuses the calls that no target has got yet. Call it after Stop, at stopping.Schedule.By.
func (g *Gateway) AbortOpen() { g.cancelOpen() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	g.awaitSettings(r)
	c, ref := g.accept(w, r)
	defer c.releaseBody()
	if ref != nil {
		g.refuse(w, c, *ref)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.limit)
	defer cancel()
	stop := context.AfterFunc(g.openCtx, cancel)
	defer stop()
	g.Budget.CountRequest(c.arrived, c.service)
	if c.route.Kind == routes.Stream {
		g.serveStream(ctx, w, c)
		return
	}
	g.servePlain(ctx, w, c)
}

// awaitSettings delays a request that arrives before the first settings. A newly started instance has them within tens of
// milliseconds, and a refusal would use up the caller's only retry.
func (g *Gateway) awaitSettings(r *http.Request) {
	if g.table.Load() != nil {
		return
	}
	wait := maxSettingsWait
	if ms, err := strconv.Atoi(r.Header.Get(g.Names.Deadline)); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond/settingsWaitPart)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.settingsReady:
	case <-t.C:
	case <-r.Context().Done():
	}
}
