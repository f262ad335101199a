// Package gatewayproc assembles the gateway process: callers' listener, readiness, and the feeds of settings and
// targets.
package gatewayproc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/gateway"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerlink"
	"anvilwick.example/anvilwick/lib/retry"
	"anvilwick.example/anvilwick/lib/routes"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// Config is what the instance is told at its start.
type Config struct {
	Instance   string
	Domain     string            // failure domain
	Regions    map[string]string // region of each failure domain
	Front      string            // address for callers
	Ready      string            // address for the balancer's readiness checks
	Peer       string            // address for other instances' datagrams
	Link       string            // address for other instances' streams
	LinkBind   string            // where to listen for them; empty: at Link
	Metrics    string            // address for metrics, at /metrics; empty: none
	Seeds      []string          // links of some instances, which may be stale
	FirstStart bool              // the site starts for the first time
	MemoryMB   int               // over which the process is killed
	LinkMbps   float64
	CPUShare   float64 // of a core

	Grace time.Duration // from SIGTERM to the kill

	Network Network // by which other instances are reached

	// All instances together may repeat RepeatRatio of a service's requests and RepeatFloor more in each RepeatWindow.
	RetryRatio  float64
	RetryFloor  float64
	RetryWindow time.Duration
}

// Network is what an instance reaches others by. What is nil is the machine's own.
type Network struct {
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Packet func(addr string) (ownerlink.PacketConn, error)
}

// Site is where the instance runs: what is spoken there.
type Site struct {
	Names   gateway.Names
	Pool    *wirehttp.Pool
	Engines gateway.Engines
	// SetResponseHook sets who is told of each answer to the calls of Engines.
	SetResponseHook func(gateway.ResponseHook)

	Settings       feed.Source
	DecodeSettings func([]feed.Row) (*routes.Revision, error)
	// SettingsWriteSeq and CountTarget return the writer's own count of a row, which goes on when the store comes back from a copy.
	SettingsWriteSeq, TargetWriteSeq func(feed.Row) (feed.WriteSeq, bool)
	// Evacuated returns the failure domain that a row of the table of settings evacuates while it is there.
	Evacuated    func(feed.Row) (domain string, ok bool)
	Targets      feed.Source
	DecodeTarget func(feed.Row) (fleet.Info, error)

	// Instances is the table in which each instance stands with the addresses at which others reach it.
	Instances      feed.Source
	DecodeInstance func(feed.Row) (owner.Instance, error)
	EncodeInstance func(owner.Instance) (feed.Row, error)
	// Register writes rows of instances, at most 100.
	Register func(context.Context, []feed.Row) error
	// Unregister takes an instance's row away: of any version, or only as it was written at one.
	Unregister func(ctx context.Context, instance string, version int64) error

	// ReadRanks and WriteRanks keep a small row for each failure domain: who reads and relays there.
	ReadRanks  func(ctx context.Context, domain string) ([]byte, error)
	WriteRanks func(ctx context.Context, rows map[string][]byte) error

	// Reload reads the instance's settings again, after SIGHUP.
	Reload func() (Config, error)
}

const (
	// defaultIdle holds where settings state no limit or are not known yet; maxIdle is net/http's own bound, over any.
	defaultIdle = 20 * time.Second
	maxIdle     = 10 * time.Minute
	// defaultHeader bounds reading the head of a request.
	defaultHeader = 5 * time.Second
	// maxHeader is net/http's bound on a request's head, in bytes.
	maxHeader = 64 << 10
	// tickEvery is the period of housekeeping while entries of targets are missing; tickIdle otherwise.
	tickEvery = 200 * time.Millisecond
	tickIdle  = time.Second
	// outOfRotation is how long after SIGTERM the balancer may still send new connections: it asks once a second and
	// takes an instance out after two misses.
	outOfRotation = 2500 * time.Millisecond
	// cutMargin is how long before the kill open answers are broken off.
	cutMargin = 300 * time.Millisecond
	// memoryShare is the part of the memory limit at which the garbage collector works harder.
	memoryShare = 0.6
)

// Process is a running instance.
type Process struct {
	cfg   Config
	site  Site
	fleet *fleet.Fleet
	gate  *gateway.Gateway
	share *retry.InstanceBudget
	link  *ownerlink.Link

	shards *shards
	born   uint64 // incarnation
	node   *mesh.Node
	feeds  struct{ settings, targets, instances *feed.Replica }
	track  *feedlink.Syncer

	front, ready *http.Server
	cancel       context.CancelFunc
	work         sync.WaitGroup

	era        atomic.Int64              // of the store's history that the settings were last read in
	listFailed atomic.Pointer[time.Time] // when a call for the list of targets last failed
	placed     atomic.Pointer[feedlink.Assignment]
	passedOn   atomic.Pointer[time.Time] // when this instance last read or relayed
	divided    atomic.Bool               // most instances hold a part of the targets

	mu        sync.Mutex
	instances map[string]owner.Instance // as listed
	listed    bool                      // the list of targets was read
	refused   refusedEntries
	stopped   bool
}

// newProcess returns an instance that listens for others and does nothing yet.
func newProcess(cfg Config, site Site) (*Process, error) {
	p := &Process{
		cfg: cfg, site: site, fleet: fleet.New(cfg.Domain),
		instances: make(map[string]owner.Instance), born: uint64(time.Now().UnixNano()),
	}
	p.fleet.SetRegions(cfg.Regions)
	p.fleet.SetSenders(p.maySendAlone)
	p.newReplicas()
	p.share = retry.NewInstanceBudget(cfg.RetryRatio, cfg.RetryFloor, cfg.RetryWindow)
	p.gate = gateway.New(gateway.Config{
		Names: site.Names, Engines: site.Engines, Fleet: p.fleet, Pool: site.Pool, Budget: p.share,
		Log: gateway.Log{Version: p.version, Era: p.era.Load}, OnLeaving: p.leftByAnswer,
	})
	site.SetResponseHook(p.gate.ReadNotices)
	if err := p.openOwners(); err != nil {
		return nil, fmt.Errorf("gatewayproc: peers: %w", err)
	}
	if err := p.openLinks(); err != nil {
		return nil, err
	}
	p.rankInstances(nil)
	return p, nil
}

// Run serves until ctx is done, then stops gracefully.
func Run(ctx context.Context, cfg Config, site Site) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	p, err := newProcess(cfg, site)
	if err != nil {
		return err
	}
	defer p.node.Close()
	log.Info().Str("event", "start").Str("instance", cfg.Instance).Str("domain", cfg.Domain).Str("front", cfg.Front).Msg("")
	work, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	defer cancel()
	// Callers come as soon as this instance says that it is ready, so it listens for them first.
	ln, err := net.Listen("tcp", cfg.Front)
	if err != nil {
		return fmt.Errorf("gatewayproc: callers: %w", err)
	}
	if err := p.serveReady(); err != nil {
		return err
	}
	if err := p.serveMetrics(); err != nil {
		return err
	}
	p.follow(work)
	p.start(func() { p.reloads(work) })
	failed := make(chan error, 1)
	go func() { failed <- p.serveFront(ln) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return p.stop()
}

func (p *Process) version() int64 {
	if t := p.gate.Table(); t != nil {
		return t.Version
	}
	return 0
}

// serveReady answers the balancer: 200 while this instance can serve and is to go on serving.
func (p *Process) serveReady() error {
	ln, err := net.Listen("tcp", p.cfg.Ready)
	if err != nil {
		return fmt.Errorf("gatewayproc: readiness: %w", err)
	}
	p.ready = &http.Server{Handler: http.HandlerFunc(p.answerReady), ReadHeaderTimeout: defaultHeader}
	go func() {
		if err := p.ready.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			logline.Cause(log.Error().Str("event", "ready_listener_failed"), err)
		}
	}()
	return nil
}

// serveMetrics serves counters and histograms.
func (p *Process) serveMetrics() error {
	if p.cfg.Metrics == "" {
		return nil
	}
	ln, err := net.Listen("tcp", p.cfg.Metrics)
	if err != nil {
		return fmt.Errorf("gatewayproc: metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeader}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			logline.Cause(log.Error().Str("event", "metrics_listener_failed"), err)
		}
	}()
	return nil
}

func (p *Process) answerReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	p.mu.Lock()
	if p.listed && !p.stopped && p.gate.Table() != nil {
		status = http.StatusOK
	}
	p.mu.Unlock()
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// serveFront serves callers.
func (p *Process) serveFront(ln net.Listener) error {
	guard := newIdleGuard(func() time.Duration {
		if t := p.gate.Table(); t != nil {
			return orDefault(t.Limits.IdleTimeout, defaultIdle)
		}
		return defaultIdle
	})
	p.mu.Lock()
	p.front = &http.Server{
		Handler: p.gate, ConnState: guard.state, ReadHeaderTimeout: defaultHeader, IdleTimeout: maxIdle, MaxHeaderBytes: maxHeader,
	}
	front := p.front
	p.mu.Unlock()
	if err := front.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("gatewayproc: callers: %w", err)
	}
	return nil
}

func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// stop takes the instance out of rotation, lets open answers end, and breaks off what is left just before the kill.
func (p *Process) stop() error {
	start := time.Now()
	log.Info().Str("event", "stop").Str("instance", p.cfg.Instance).Msg("")
	p.mu.Lock()
	p.stopped = true
	front := p.front
	p.mu.Unlock()
	p.gate.Stop(start.Add(p.cfg.Grace - cutMargin))
	// Others look for another owner and another reader now, while this one still answers them.
	p.link.Coordinator.Leave()
	p.start(func() { p.unregister(context.Background()) })
	time.Sleep(min(outOfRotation, p.cfg.Grace/2))
	cut := time.AfterFunc(p.cfg.Grace-time.Since(start)-cutMargin, p.gate.AbortOpen)
	defer cut.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Grace-time.Since(start)-cutMargin/2)
	defer cancel()
	var err error
	if front != nil {
		err = front.Shutdown(ctx)
	}
	p.cancel()
	log.Info().Str("event", "stopped").Int64("after_ms", time.Since(start).Milliseconds()).Msg("")
	if err != nil {
		return fmt.Errorf("gatewayproc: answers were cut at the stop limit: %w", err)
	}
	return nil
}

// reloads takes in changed settings after SIGHUP, which would otherwise end the process. Addresses stay: they are the
// listeners' for as long as the process lives.
func (p *Process) reloads(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		cfg, err := p.site.Reload()
		if err != nil {
			logline.Cause(log.Error().Str("event", "reload_refused"), err)
			continue
		}
		p.share.SetBound(cfg.RetryRatio, cfg.RetryFloor)
		p.fleet.SetRegions(cfg.Regions)
		log.Info().Str("event", "reload").Str("instance", cfg.Instance).Msg("")
	}
}
