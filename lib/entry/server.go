// Package entry handles callers' requests from acceptance to completion: it accepts, admits and places each request, runs
// its attempts, resumes a generation on another target when one fails, and finishes it.
//
// The guarantees given to callers are enforced here alone: attempts are numbered and fenced (lib/stream), every request
// ends with a code of lib/result, and "not run" is reported only if nothing was sent or a target proved it. Placement,
// limits, budgets, claims and records are behind the small interfaces of Options.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/breaker"
	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/callerconn"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/entrymetrics"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/retry"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/stall"
	"anvilwick.example/anvilwick/lib/stopping"
	"anvilwick.example/anvilwick/lib/target"
)

// Bounds on callers' connections and requests, and defaults of Options.
const (
	readHeaderTimeout    = 10 * time.Second
	readTimeout          = 60 * time.Second // whole request, including its body
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 32 << 10
	maxBodyBytes         = 16 << 20 // upper bound on any max_body in the settings
	connWriteBuffer      = 128 << 10
	defaultMaxStreams    = 4096
	defaultResumeTimeout = 30 * time.Second
	defaultCallerGrace   = 10 * time.Second
)

// Options configures a Server. Only Placer is required. Without Limiter there are no limits; without Claims, keyed
// non-idempotent requests are refused; without Records, a generation whose entry died can't be resumed.
type Options struct {
	Placer        placer.Placer
	Limiter       Limiter
	Claims        Claims
	Records       Records
	Budgets       *retry.Budgets
	Breakers      *breaker.Set
	Stalls        *stall.Monitor
	Poison        *poison.Table
	Prefixes      *poison.SegmentTable // of prompts that crash engines
	FailureDomain string               // of this instance
	MaxStreams    int                  // requests in progress; 0: 4096
	Memory        *membudget.Budget    // for connections, heads and bodies; nil: there is no limit
	// CallerGrace is how long a keyed generation keeps running without a caller; 0: 10 s.
	CallerGrace time.Duration
	// ResumeTimeout is the minimum time that a generation which may have run waits to be placed again; 0: 30 s.
	ResumeTimeout time.Duration
	Metrics       *entrymetrics.Set
	Clients       *target.Clients
	// OnView is called with each settings revision before it takes effect. clients returns the clients of a service's targets.
	OnView func(snap *settings.Snapshot, clients func(*settings.Service) []*target.Client)
}

// Server serves callers' requests.
type Server struct {
	opts         Options
	metrics      *entrymetrics.Set
	clients      *target.Clients
	table        *table
	watches      *watches
	incarnations *incarnations
	pickTables   *pickTables
	backoffs     *backoffs
	view         atomic.Pointer[view]
	applyMu      sync.Mutex
	shuttingDown atomic.Bool
	schedule     atomic.Pointer[stopping.Schedule] // of a stop with an end
	times        stopping.Times
	stopping     atomic.Bool
	aborted      context.Context // done once a stop has reached its limit
	abort        context.CancelFunc
	background   sync.WaitGroup
}

// New returns a Server without settings. It refuses every request until Apply is called.
func New(opts Options) *Server {
	fillDefaults(&opts)
	s := &Server{
		opts:         opts,
		metrics:      opts.Metrics,
		clients:      opts.Clients,
		table:        newTable(opts.MaxStreams),
		watches:      newWatches(opts.Stalls),
		incarnations: newIncarnations(),
		pickTables:   newPickTables(),
		backoffs:     newBackoffs(),
	}
	s.aborted, s.abort = context.WithCancel(context.Background())
	s.metrics.Gauge("requests_in_progress", func() float64 { n, _ := s.table.counts(); return float64(n) })
	s.metrics.Gauge("generations_in_progress", func() float64 { _, n := s.table.counts(); return float64(n) })
	s.metrics.Gauge("settings_revision", func() float64 { return float64(s.Revision()) })
	return s
}

func fillDefaults(o *Options) {
	orDefault[Limiter](&o.Limiter, noLimits{})
	orDefault(&o.Budgets, retry.NewBudgets(retry.DefaultBudgetConfig))
	orDefault(&o.Breakers, breaker.New(breaker.DefaultConfig, rand.Uint64()))
	orDefault(&o.Stalls, stall.New(stall.DefaultConfig))
	orDefault(&o.Poison, poison.New(poison.DefaultConfig))
	orDefault(&o.Prefixes, poison.NewSegmentTable(poison.DefaultSegmentConfig))
	orDefault(&o.Metrics, entrymetrics.New())
	orDefault(&o.Clients, target.NewClients())
	orDefault[Claims](&o.Claims, noStore{})
	orDefault[Records](&o.Records, noRecords{})
	if o.MaxStreams == 0 {
		o.MaxStreams = defaultMaxStreams
	}
	if o.CallerGrace == 0 {
		o.CallerGrace = defaultCallerGrace
	}
	if o.ResumeTimeout == 0 {
		o.ResumeTimeout = defaultResumeTimeout
	}
	if o.OnView == nil {
		o.OnView = func(*settings.Snapshot, func(*settings.Service) []*target.Client) {}
	}
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Run checks stalls, callers, deadlines, progress and records of the generations in progress until ctx is done.
func (s *Server) Run(ctx context.Context) { s.tick(ctx) }

// Apply puts a settings revision into effect for requests accepted from now on. A revision older than the current one is
// ignored.
func (s *Server) Apply(snap *settings.Snapshot) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if old := s.view.Load(); old != nil && old.snapshot.Revision > snap.Revision {
		return
	}
	v := newView(snap, s.clients)
	s.pickTables.apply(snap)
	s.opts.OnView(snap, v.clientsOf)
	s.view.Store(v)
	log.Info().Str("event", "settings_in_force").Uint64("revision", snap.Revision).Msg("")
}

// Revision returns the revision in effect, or 0 if there is none.
func (s *Server) Revision() uint64 {
	if v := s.view.Load(); v != nil {
		return v.snapshot.Revision
	}
	return 0
}

// Snapshot returns the settings in effect, or nil.
func (s *Server) Snapshot() *settings.Snapshot {
	if v := s.view.Load(); v != nil {
		return v.snapshot
	}
	return nil
}

// Client returns the client of a target under the settings in effect, or nil.
func (s *Server) Client(name string) *target.Client {
	if v := s.view.Load(); v != nil {
		return v.clients[name]
	}
	return nil
}

// headTimeout bounds reading the head of a request.
func headTimeout() time.Duration { return readHeaderTimeout }

// Listener returns a listener for HTTPServer that accepts what the process has memory for.
func (s *Server) Listener(ln net.Listener) net.Listener {
	return &callerconn.Listener{Listener: ln, Memory: s.opts.Memory, HeadTimeout: headTimeout, ConnsRefused: connsRefused, HeadsRefused: headsRefused}
}

// OpsListener is like Listener, for the operators' port.
func (s *Server) OpsListener(ln net.Listener) net.Listener {
	return &callerconn.Listener{Listener: ln, Memory: s.opts.Memory, Few: true, ConnsRefused: connsRefused, HeadsRefused: headsRefused}
}

var (
	connsRefused = vm.NewCounter(`anvilwick_entry_connections_refused_total`)
	headsRefused = vm.NewCounter(`anvilwick_entry_heads_refused_total`)
)

// Counts returns the number of requests and of generations in progress.
func (s *Server) Counts() (requests, generations int) { return s.table.counts() }

func (s *Server) now() time.Time { return time.Now() }

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(engineapi.PathCompletions, s.serveCompletion)
	mux.HandleFunc(engineapi.PathChatCompletions, s.serveCompletion)
	mux.HandleFunc("/", s.servePlain)
	return mux
}

// HTTPServer returns a server for Handler with timeouts and bounds on headers and buffers.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       boundConn,
		ConnState:         callerconn.OnState,
	}
}

// boundConn limits the kernel's send buffer for a caller. By default it grows to megabytes for each slow reader, outside the
// bound on the sink.
func boundConn(ctx context.Context, c net.Conn) context.Context {
	if tc, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = tc.SetWriteBuffer(connWriteBuffer)
	}
	return ctx
}

// refuse logs and counts a refused request and writes the error response. rq may lack a workspace.
func (s *Server) refuse(w http.ResponseWriter, rq *request, err *result.Error) {
	if rq.workspace == nil {
		s.metrics.CountEarlyRefusal(err.Code)
	} else {
		s.metrics.Pair(rq.workspace.Name, rq.class).CountResult(err.Code)
	}
	e := log.Info().Str("event", "refused").Str("request", rq.id).Uint16("code", uint16(err.Code))
	e.Str("result", result.Lookup(err.Code).Name).Str("detail", err.Detail).Msg("")
	callerapi.WriteError(w, err, rq.id)
}
