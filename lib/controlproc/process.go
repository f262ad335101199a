package controlproc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/control"
	"anvilwick.example/anvilwick/lib/listen"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/platform"
)

const closeTimeout = 2 * time.Second // for operators' connections at shutdown

// Process is one control process with its operators' port.
type Process struct {
	cfg     Config
	control *control.Process
	ops     net.Listener
	srv     *http.Server
}

// Start checks cfg and listens. Nothing is left running when it returns an error.
func Start(cfg Config) (*Process, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	hashes, err := cfg.Operators.Hashes()
	if err != nil {
		return nil, err
	}
	links, err := cfg.Links.Options()
	if err != nil {
		return nil, err
	}
	ops, err := listen.TCP(cfg.OpsAddr)
	if err != nil {
		return nil, fmt.Errorf("-ops-addr: %w", err)
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	c, err := control.New(control.Options{
		Instance:      cfg.Instance,
		Incarnation:   cfg.Incarnation,
		FailureDomain: cfg.Domain,
		Version:       cfg.Version,
		EntryAddr:     cfg.EntryAddr,
		Links:         links,
		Platform:      platform.Config{Addr: cfg.Platform},
		LeaseTTL:      cfg.LeaseTTL,
	})
	if err != nil {
		_ = ops.Close()
		return nil, err
	}
	return &Process{cfg: cfg, control: c, ops: ops, srv: opsapi.Server(opsapi.Handler(hashes, c.Source()))}, nil
}

// Run works until ctx is done, then releases leases and closes. It returns early if the operators' port fails.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var serving sync.WaitGroup
	var serveErr error
	serving.Go(func() {
		if err := p.srv.Serve(p.ops); !errors.Is(err, http.ErrServerClosed) {
			serveErr = err
			cancel()
		}
	})
	log.Info().Str("event", "listening").Str("instance", p.cfg.Instance).Str("failure_domain", p.cfg.Domain).
		Str("ops", p.ops.Addr().String()).Int("pid", os.Getpid()).Msg("")
	p.control.Run(ctx)
	cctx, ccancel := context.WithTimeout(context.Background(), closeTimeout)
	defer ccancel()
	err := p.srv.Shutdown(cctx)
	serving.Wait()
	log.Info().Str("event", "stopped").Msg("")
	return errors.Join(serveErr, err)
}
