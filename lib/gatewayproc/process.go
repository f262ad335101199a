// Package gatewayproc assembles the gateway process: callers' listener, readiness, and the feeds of settings and
// targets.
package gatewayproc

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/gateway"
	"anvilwick.example/anvilwick/lib/listen"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerlink"
	"anvilwick.example/anvilwick/lib/resume"
	"anvilwick.example/anvilwick/lib/retry"
	"anvilwick.example/anvilwick/lib/routes"
	"anvilwick.example/anvilwick/lib/stopping"
	"anvilwick.example/anvilwick/lib/targetdial"
	"anvilwick.example/anvilwick/lib/tunnel"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// Config is the configuration of an instance at its start.
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
	Seeds      []string          // link addresses of some instances, which may be stale
	FirstStart bool              // the site starts for the first time
	MemoryMB   int               // limit at which the process is killed
	LinkMbps   float64
	CPUShare   float64 // of a core

	Grace time.Duration // from SIGTERM to the kill

	FlushLog func(time.Duration) // writes the log's remaining lines before the process ends, for at most so long; nil: the log needs none

	TargetTTL time.Duration // after which the platform removes the entry of a target that writes nothing

	Network Network // connects to other instances

	// All instances together may retry RetryRatio of a service's requests, plus RetryFloor, in each RetryWindow.
	RetryRatio  float64
	RetryFloor  float64
	RetryWindow time.Duration
}

// Network opens the connections between instances. Nil functions stand for the network of the machine.
type Network struct {
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Packet func(addr string) (ownerlink.PacketConn, error)
}

// Site adapts the gateway to the platform that it runs on: tables, engines and encodings.
type Site struct {
	Names   gateway.Names
	Pool    *wirehttp.Pool
	Engines gateway.Engines
	// SetResponseHook sets the hook that is called with each response to a call of Engines.
	SetResponseHook func(gateway.ResponseHook)

	Settings       feed.Source
	DecodeSettings func([]feed.Row) (*routes.Revision, error)
	// SettingsWriteSeq and TargetWriteSeq return the writer's own sequence number of a row, which continues when the store is restored from
	// a backup.
	SettingsWriteSeq, TargetWriteSeq func(feed.Row) (feed.WriteSeq, bool)
	// Evacuated returns the failure domain that a row of the settings table evacuates as long as it exists.
	Evacuated    func(feed.Row) (domain string, ok bool)
	Targets      feed.Source
	DecodeTarget func(feed.Row) (fleet.Info, error)

	// Instances is the table of the instances and the addresses at which others reach them.
	Instances      feed.Source
	DecodeInstance func(feed.Row) (owner.Instance, error)
	EncodeInstance func(owner.Instance) (feed.Row, error)
	// Register writes rows of instances, at most 100.
	Register func(context.Context, []feed.Row) error
	// Unregister removes an instance's row: at any version, or only if it is still at the given one.
	Unregister func(ctx context.Context, instance string, version int64) error

	// ReadRanks and WriteRanks access a small row per failure domain that names its readers and relays.
	ReadRanks  func(ctx context.Context, domain string) ([]byte, error)
	WriteRanks func(ctx context.Context, rows map[string][]byte) error

	// SoftwareRows are the rows of the services' software versions, StreamRows those of records of streams.
	SoftwareRows SoftwareRows
	StreamRows   resume.Rows

	// Refusals is the table of prompt segments that crash targets, and RefusalRows writes its rows.
	Refusals    feed.Source
	RefusalRows ConditionalRows

	// Reload reads the instance's settings again, after SIGHUP.
	Reload func() (Config, error)
}

const (
	// tickInterval is the housekeeping period while entries of targets are missing; tickIdleInterval the period otherwise.
	tickInterval     = 200 * time.Millisecond
	tickIdleInterval = time.Second
)

// Process is a running instance.
type Process struct {
	cfg         Config
	site        Site
	fleet       *fleet.Fleet
	gate        *gateway.Gateway
	retryBudget *retry.InstanceBudget
	link        *ownerlink.Link

	shards      *shards
	incarnation uint64 // incarnation
	node        *mesh.Node
	dialer      *targetdial.Dialer // opens connections to targets
	tunnels     *tunnel.Client     // opens them by way of peers
	carrier     *tunnel.Server     // opens them for peers
	feeds       struct{ settings, targets, instances, refusals *feed.Replica }
	syncer      *feedlink.Syncer
	software    *software
	refusals    *storedRefusals  // of prompt segments
	recorder    *resume.Recorder // of streams and their versions
	keeper      *resume.Keeper

	front, ready *http.Server
	metrics      http.Server
	callerConns  atomic.Int64 // open connections of callers
	cancel       context.CancelFunc
	work         sync.WaitGroup

	era            atomic.Int64              // era of the store in which the settings were last read
	listFailed     atomic.Pointer[time.Time] // when a call for the list of targets last failed
	assigned       atomic.Pointer[feedlink.Assignment]
	lastForwarding atomic.Pointer[time.Time] // when this instance last read or relayed
	subsetsInUse   atomic.Bool               // most instances hold a subset of the targets

	mu          sync.Mutex
	instances   map[string]owner.Instance // as listed
	targetsRead bool                      // the list of targets was read
	refused     refusedEntries
	stopped     bool
}

// newProcess returns an instance that listens for peers; its feeds are not started yet.
func newProcess(cfg Config, site Site) (*Process, error) {
	p := &Process{
		cfg: cfg, site: site, fleet: fleet.New(cfg.Domain),
		software: newSoftware(), refusals: newStoredRefusals(),
		instances: make(map[string]owner.Instance), incarnation: uint64(time.Now().UnixNano()),
	}
	p.fleet.SetRegions(cfg.Regions)
	p.fleet.SetSenders(p.maySendDirectly)
	p.newReplicas()
	p.dialer = newTargetDialer(site.Pool)
	p.retryBudget = retry.NewInstanceBudget(cfg.RetryRatio, cfg.RetryFloor, cfg.RetryWindow)
	p.gate = gateway.New(gateway.Config{
		Names: site.Names, Engines: site.Engines, Fleet: p.fleet, Pool: site.Pool, Budget: p.retryBudget,
		Memory: membudget.New(int64(cfg.MemoryMB) << 20),
		Log:    gateway.Log{Version: p.version, Era: p.era.Load}, OnLeaving: p.onTargetLeaving, OnRestarted: p.noticeRestart, Links: p.dialer,
	})
	p.gate.Memory.OnPressure(p.logPressure)
	p.gate.Memory.Export()
	site.SetResponseHook(p.gate.ReadNotices)
	if err := p.openOwnerLink(); err != nil {
		return nil, fmt.Errorf("gatewayproc: peers: %w", err)
	}
	p.newStreams()
	p.gate.Probes = probes{p}
	if err := p.openLinks(); err != nil {
		return nil, err
	}
	p.rankInstances(nil)
	return p, nil
}

// Run serves until ctx is done, then stops gracefully. The last line that it logs says why the process ends, and it returns once that is written. The
// log of a process that stops is awaited until its time is over: whatever reads it may have stopped reading.
func Run(ctx context.Context, cfg Config, site Site) error {
	var logBy time.Time
	err := run(ctx, cfg, site, &logBy)
	logEnd(cfg.Instance, err)
	cfg.flushLog(logBy)
	return err
}

// run is Run without the last line. After a stop it sets until when the log may be written.
func run(ctx context.Context, cfg Config, site Site, logBy *time.Time) error {
	membudget.LimitCollector(int64(cfg.MemoryMB) << 20)
	// From here to the end of the process no SIGHUP may end it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	p, err := newProcess(cfg, site)
	if err != nil {
		return err
	}
	defer p.node.Close()
	log.Info().Str("event", "start").Str("instance", cfg.Instance).Str("domain", cfg.Domain).Str("front", cfg.Front).
		Int("memory_mb", cfg.MemoryMB).Msg("")
	work, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	defer cancel()
	// Callers connect as soon as this instance reports ready, so their listener is opened first.
	ln, err := listen.TCP(cfg.Front)
	if err != nil {
		return fmt.Errorf("gatewayproc: callers: %w", err)
	}
	defer func() { _ = ln.Close() }()
	if err := p.serveReady(); err != nil {
		return err
	}
	defer func() { _ = p.ready.Close() }()
	if err := p.serveMetrics(); err != nil {
		return err
	}
	defer func() { _ = p.metrics.Close() }()
	p.startFeeds(work)
	p.goWork(func() { p.reloadOnHangup(work, hangups) })
	failed := make(chan error, 1)
	p.front = p.newFront()
	go func() { failed <- p.serveFront(ln) }()
	var running stopping.Beats
	go running.Run(work)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		*logBy = p.stop(running.StopBegan(time.Now(), p.cfg.Grace))
		return nil
	}
}

func (p *Process) version() int64 {
	if t := p.gate.Table(); t != nil {
		return t.Version
	}
	return 0
}

// reloadOnHangup reads the settings again on each SIGHUP, which would otherwise end the process. Changed addresses are ignored: the
// listeners are open for the life of the process.
func (p *Process) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := p.site.Reload()
		if err != nil {
			logline.Send(log.Error().Str("event", "reload_refused"), err)
			continue
		}
		p.retryBudget.SetBound(cfg.RetryRatio, cfg.RetryFloor)
		p.fleet.SetRegions(cfg.Regions)
		p.setTunnelPeers(p.listedInstances())
		log.Info().Str("event", "reload").Str("instance", cfg.Instance).Msg("")
	}
}
