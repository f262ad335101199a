package entry

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/stall"
)

// watches maps the stall monitor's streams to their generations.
type watches struct {
	monitor *stall.Monitor

	mu     sync.Mutex
	last   uint64
	byID   map[uint64]*generation
	stalls []stall.Stall // reused by each check
}

func newWatches(m *stall.Monitor) *watches {
	return &watches{monitor: m, byID: make(map[uint64]*generation)}
}

// start registers the attempt that g runs on a target with the stall monitor.
func (w *watches) start(now time.Time, g *generation, target string) uint64 {
	w.mu.Lock()
	w.last++
	id := w.last
	w.byID[id] = g
	w.mu.Unlock()
	w.monitor.Start(now, id, target)
	return id
}

func (w *watches) end(id uint64) {
	w.monitor.End(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, id)
}

// check marks attempts whose silence exceeds what their target has shown so far. A link can stall without breaking, and
// the caller would wait forever.
func (w *watches) check(now time.Time) {
	w.stalls = w.monitor.Check(now, w.stalls[:0])
	for _, st := range w.stalls {
		w.mu.Lock()
		g := w.byID[st.Stream]
		w.mu.Unlock()
		if g == nil {
			continue
		}
		g.markOverdue()
		g.log(log.Info(), "silent").Str("target", st.Target).Str("kind", st.Kind.String()).Int64("silent_ms", st.Silent.Milliseconds()).Msg("")
	}
}

// markOverdue marks the attempt as overdue. It is cancelled once the policy's stall floor has passed too.
func (g *generation) markOverdue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempt.overdue = true
}

// checkStall cancels an overdue attempt.
func checkStall(g *generation, now time.Time) {
	g.mu.Lock()
	a := g.attempt
	g.mu.Unlock()
	if a.overdue && a.cancel != nil && now.Sub(a.lastActivity) >= g.policy.StallFloor {
		a.cancel(errStalled)
	}
}
