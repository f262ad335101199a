package gatewayproc

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/callerconn"
	"anvilwick.example/anvilwick/lib/listen"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/routes"
)

const (
	// defaultIdle applies where settings state no limit or are not known yet; maxIdle is net/http's own limit, above any setting.
	defaultIdle = 20 * time.Second
	maxIdle     = 10 * time.Minute
	// defaultHeaderTimeout bounds reading the head of a request.
	defaultHeaderTimeout = 5 * time.Second
	// maxHeader is net/http's bound on a request's head, in bytes.
	maxHeader = 64 << 10
	// maxCheckHeader is the same for readiness checks and metrics, and checkIdle bounds how long their connections are idle.
	maxCheckHeader = 4 << 10
	checkIdle      = 30 * time.Second
)

// serveReady serves the balancer's readiness checks: 200 while this instance can serve and is not stopping.
func (p *Process) serveReady() error {
	ln, err := listen.TCP(p.cfg.Ready)
	if err != nil {
		return fmt.Errorf("gatewayproc: readiness: %w", err)
	}
	p.ready = newCheckServer(http.HandlerFunc(p.answerReady))
	go func() {
		if err := p.ready.Serve(p.checkListener(ln)); !errors.Is(err, http.ErrServerClosed) {
			logline.Send(log.Error().Str("event", "ready_listener_failed"), err)
		}
	}()
	return nil
}

// serveMetrics serves counters and histograms, as soon as their address is available. A process without it serves callers all the same.
func (p *Process) serveMetrics() {
	if p.cfg.Metrics == "" {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	p.metrics = newCheckServer(mux)
	go func() {
		ln, err := listen.TCP(p.cfg.Metrics)
		if err == nil {
			err = p.metrics.Serve(p.checkListener(ln))
		}
		if !errors.Is(err, http.ErrServerClosed) {
			logline.Send(log.Error().Str("event", "metrics_listener_failed"), err)
		}
	}()
}

// newCheckServer returns a server for readiness checks or metrics.
func newCheckServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ConnState: callerconn.OnState, ReadTimeout: defaultHeaderTimeout, IdleTimeout: checkIdle, MaxHeaderBytes: maxCheckHeader,
	}
}

// checkListener returns a listener for readiness checks or metrics that accepts what there is memory for: anybody may connect.
func (p *Process) checkListener(ln net.Listener) net.Listener {
	return &callerconn.Listener{Listener: ln, Memory: p.gate.Memory, Few: true, ConnsRefused: connectionsRefused, HeadsRefused: headsRefused}
}

func (p *Process) answerReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	p.mu.Lock()
	if p.targetsRead && !p.stopped && p.gate.Table() != nil {
		status = http.StatusOK
	}
	p.mu.Unlock()
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// newFront returns the server for callers.
func (p *Process) newFront() *http.Server {
	guard := newIdleGuard(func() time.Duration { return orDefault(p.limits().IdleTimeout, defaultIdle) })
	return &http.Server{
		Handler: callerconn.ResetCutHTTP10(p.gate), ConnContext: callerconn.ConnContext, ConnState: p.onConnState(guard),
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: maxIdle, MaxHeaderBytes: maxHeader,
	}
}

// serveFront serves callers.
func (p *Process) serveFront(ln net.Listener) error {
	callers := &callerconn.Listener{
		Listener: ln, Memory: p.gate.Memory, HeadTimeout: p.headTimeout, ConnsRefused: connectionsRefused, HeadsRefused: headsRefused,
	}
	if err := p.front.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("gatewayproc: callers: %w", err)
	}
	return nil
}

// limits returns the limits of the settings in force; zero: there are none yet.
func (p *Process) limits() routes.Limits {
	if t := p.gate.Table(); t != nil {
		return t.Limits
	}
	return routes.Limits{}
}

// headTimeout bounds reading the head of a request.
func (p *Process) headTimeout() time.Duration {
	return min(orDefault(p.limits().HeaderTimeout, defaultHeaderTimeout), defaultHeaderTimeout)
}

func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}
