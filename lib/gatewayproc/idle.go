package gatewayproc

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/callerconn"
)

var (
	connectionsRefused = metrics.NewCounter(`anvilwick_gateway_connections_refused_total`)
	headsRefused       = metrics.NewCounter(`anvilwick_gateway_heads_refused_total`)
)

// idleGuard closes callers' connections that have been idle for the time set in the current settings. net/http's own limit
// is fixed when its server is created, before settings are known and before they change.
type idleGuard struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleGuard(limit func() time.Duration) *idleGuard {
	return &idleGuard{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// onConnState returns the callers' server's ConnState hook, which also counts their connections.
func (p *Process) onConnState(guard *idleGuard) func(net.Conn, http.ConnState) {
	return func(c net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			p.callerConns.Add(1)
		case http.StateClosed, http.StateHijacked:
			p.callerConns.Add(-1)
		}
		callerconn.OnState(c, s)
		guard.state(c, s)
	}
}

// state is an http.Server's ConnState hook.
func (g *idleGuard) state(c net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.timers[c]; t != nil {
		t.Stop()
		delete(g.timers, c)
	}
	if s == http.StateIdle {
		// A request that crosses the close was not read yet, and the caller may send it again.
		g.timers[c] = time.AfterFunc(g.limit(), func() { _ = c.Close() })
	}
}
