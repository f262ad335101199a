package gatewayproc

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGuard closes callers' connections that were idle for as long as the settings in force allow. net/http's own limit
// is fixed when its server is made, before settings are known and before they change.
type idleGuard struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleGuard(limit func() time.Duration) *idleGuard {
	return &idleGuard{limit: limit, timers: make(map[net.Conn]*time.Timer)}
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
		// A request that crosses the close finds the connection closed before it was read, and may be sent again.
		g.timers[c] = time.AfterFunc(g.limit(), func() { _ = c.Close() })
	}
}
