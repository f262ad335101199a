package entryproc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/entrymetrics"
	"anvilwick.example/anvilwick/lib/guardlink"
	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/listen"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/stopping"
	"anvilwick.example/anvilwick/lib/target"
)

const (
	closeTimeout = 10 * time.Second // for connections, after all requests have ended
	// closeMargin is how long after a stop's limit the process still writes outcomes and waits for connections. A service manager that leaves it a
	// second more than the limit kills it no earlier.
	closeMargin = 700 * time.Millisecond
	// cutTimeout is the least time for that, where requests were still in progress at the limit.
	cutTimeout = 100 * time.Millisecond
)

// Process is one entry process.
type Process struct {
	cfg      Config
	server   *entry.Server
	metrics  *entrymetrics.Set
	clients  *target.Clients
	limits   *limit.Service
	poison   *poison.Table
	prefixes *poison.SegmentTable // of prompts
	guard    *guardlink.Link      // nil without links
	claims   *claims              // nil without a platform
	links    *links               // nil without a mesh address
	tunnels  *tunnels

	hashes    []opsapi.Hash
	callers   net.Listener
	ops       net.Listener
	callerSrv *http.Server
	opsSrv    *http.Server
	failed    chan error
	cancel    context.CancelFunc
	running   stopping.Beats
}

// Start checks cfg, loads the settings, listens and serves. If it returns an error, nothing is left running.
func Start(cfg Config) (*Process, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	snap, err := loadSettings(cfg.SettingsFile)
	if err != nil {
		return nil, err
	}
	membudget.LimitCollector(cfg.memoryLimit())
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{cfg: cfg, metrics: entrymetrics.New(), failed: make(chan error, 2), cancel: cancel}
	p.tunnels = newTunnels(cfg)
	if err := p.listen(); err != nil {
		cancel()
		return nil, err
	}
	p.clients = p.tunnels.clients(p.links != nil)
	p.assemble(ctx)
	if snap != nil {
		p.server.Apply(snap)
	}
	go p.running.Run(ctx)
	go p.server.Run(ctx)
	go p.limits.Run(ctx)
	if p.claims != nil {
		go p.claims.limitBudget(ctx, p.view, p.server.Snapshot)
		go p.claims.rewriteLost(ctx)
	}
	if p.links != nil {
		p.links.run(ctx)
		go p.tunnels.run(ctx, p.view)
	}
	p.serve()
	return p, nil
}

// loadSettings reads the settings file; without a file the settings come from the control process.
func loadSettings(file string) (*settings.Snapshot, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("-settings: %w", err)
	}
	tree, err := settings.Parse(text, file)
	if err != nil {
		return nil, err
	}
	return tree.Resolve(1)
}

// listen opens all ports; if one fails, it closes the others.
func (p *Process) listen() (err error) {
	defer func() {
		if err != nil {
			p.closeListeners()
		}
	}()
	if p.hashes, err = p.cfg.Operators.Hashes(); err != nil {
		return err
	}
	if p.callers, err = listen.TCP(p.cfg.Listen); err != nil {
		return fmt.Errorf("-listen: %w", err)
	}
	if p.ops, err = listen.TCP(p.cfg.OpsAddr); err != nil {
		return fmt.Errorf("-ops-addr: %w", err)
	}
	if p.cfg.MeshAddr == "" {
		return nil
	}
	p.links, err = newLinks(p.cfg)
	return err
}

func (p *Process) closeListeners() {
	for _, ln := range []net.Listener{p.callers, p.ops} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (p *Process) serve() {
	p.callerSrv = p.server.HTTPServer()
	p.opsSrv = opsapi.Server(p.opsHandler(p.hashes))
	for _, s := range []struct {
		srv *http.Server
		ln  net.Listener
	}{{p.callerSrv, p.server.Listener(p.callers)}, {p.opsSrv, p.ops}} {
		go func() {
			if err := s.srv.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
				p.failed <- err
			}
		}()
	}
	log.Info().Str("event", "listening").Str("instance", p.cfg.Instance).Str("failure_domain", p.cfg.Domain).
		Str("callers", p.Addr()).Str("ops", p.OpsAddr()).Int("pid", os.Getpid()).Msg("")
}

// Addr returns the address of the callers' port.
func (p *Process) Addr() string { return p.callers.Addr().String() }

// OpsAddr returns the address of the operators' port.
func (p *Process) OpsAddr() string { return p.ops.Addr().String() }

// Failed receives the error of a listener that failed.
func (p *Process) Failed() <-chan error { return p.failed }

// Stop ends the process gracefully. First readiness ends, and balancers take the instance out of rotation while it still serves;
// then new requests are rejected without being run; then requests in progress finish, without a time limit unless StopLimit is
// set; then it closes, whatever connections are left.
func (p *Process) Stop() error {
	requests, generations := p.server.Counts()
	log.Info().Str("event", "stopping").Int("requests", requests).Int("generations", generations).Int64("notice_ms", p.cfg.StopNotice.Milliseconds()).
		Int64("limit_ms", p.cfg.StopLimit.Milliseconds()).Msg("")
	start := p.running.StopBegan(time.Now(), p.cfg.StopNotice+p.cfg.StopLimit)
	schedule := stopSchedule(start, p.cfg)
	p.server.BeginShutdown(schedule)
	if p.links != nil {
		p.links.members.Leave()
		p.tunnels.carrier.Stop()
	}
	time.Sleep(time.Until(start.Add(p.cfg.StopNotice)))
	ctx, cancel := stopContext(schedule)
	defer cancel()
	err := p.server.Stop(ctx)
	closing, ccancel := closeContext(schedule)
	defer ccancel()
	err = errors.Join(err, p.claims.flush(closing), p.closeConnections(closing))
	p.cancel()
	if p.links != nil {
		p.links.close()
	}
	p.clients.Close()
	logline.Send(log.Info().Str("event", "stopped"), err)
	return err
}

// closeConnections waits for connections that are still in use, and then closes them: by now all requests have ended or are cut.
func (p *Process) closeConnections(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if p.links != nil {
		p.tunnels.carrier.Drain(ctx) // what other entries have open through this one
	}
	return errors.Join(closeServer(ctx, p.callerSrv), closeServer(ctx, p.opsSrv))
}

// closeServer shuts a server down, and closes the connections that are left when ctx is done.
func closeServer(ctx context.Context, srv *http.Server) error {
	err := srv.Shutdown(ctx)
	if ctx.Err() != nil {
		err = nil // what waits there has sent no whole request, or is cut and reported already
	}
	return errors.Join(err, srv.Close())
}

// stopSchedule returns the course of a stop that began at start; nil: it has no end.
func stopSchedule(start time.Time, cfg Config) *stopping.Schedule {
	if cfg.StopLimit == 0 {
		return nil
	}
	s := &stopping.Schedule{InRotation: start.Add(cfg.StopNotice)}
	s.By = s.InRotation.Add(cfg.StopLimit)
	return s
}

func stopContext(s *stopping.Schedule) (context.Context, context.CancelFunc) {
	if s == nil {
		return context.WithCancel(context.Background())
	}
	return context.WithDeadline(context.Background(), s.By)
}

// closeContext bounds what a stop waits for once requests have ended, or have been cut.
func closeContext(s *stopping.Schedule) (context.Context, context.CancelFunc) {
	if s == nil {
		return context.WithCancel(context.Background())
	}
	end := s.By.Add(closeMargin)
	if least := time.Now().Add(cutTimeout); end.Before(least) {
		end = least
	}
	return context.WithDeadline(context.Background(), end)
}
