package gateway

import (
	"sync"

	"anvilwick.example/anvilwick/lib/fleet"
)

// openConns holds the connections with open requests, by target. A target that restarts behind a broken link resets none of
// them: its streams would stay silent until their timeout, although the target has lost them.
type openConns struct {
	mu   sync.Mutex
	byID map[string]map[*openConn]bool
}

type openConn struct {
	incarnation int64 // of the target when the connection was opened
	close       func()
}

func newOpenConns() openConns { return openConns{byID: make(map[string]map[*openConn]bool)} }

// add registers a connection until the returned function is called.
func (o *openConns) add(to fleet.Info, closeConn func()) (remove func()) {
	s := &openConn{incarnation: to.Born, close: closeConn}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byID[to.ID] == nil {
		o.byID[to.ID] = make(map[*openConn]bool)
	}
	o.byID[to.ID][s] = true
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.byID[to.ID], s)
		if len(o.byID[to.ID]) == 0 {
			delete(o.byID, to.ID)
		}
	}
}

// ofEarlierIncarnations lists the connections to earlier incarnations of a target.
func (o *openConns) ofEarlierIncarnations(target fleet.Info) []*openConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*openConn
	for s := range o.byID[target.ID] {
		if s.incarnation < target.Born {
			out = append(out, s)
		}
	}
	return out
}

// TargetRestarted closes the connections to earlier incarnations of a target and forgets the copies that these held.
func (g *Gateway) TargetRestarted(t fleet.Info) {
	for _, runs := range g.runs.all() {
		for _, r := range runs {
			r.forgetCopiesAt(t.ID)
		}
	}
	g.Pool.CloseIdle(t.Addr)
	for _, s := range g.conns.ofEarlierIncarnations(t) {
		s.close()
	}
}

// forgetCopiesAt forgets the run's copies on a target that has lost them.
func (r *run) forgetCopiesAt(target string) {
	if r.backupTarget().ID == target {
		r.dropBackup()
	}
	r.mu.Lock()
	from, dest := r.partial.source, r.partial.placement.target.ID
	r.mu.Unlock()
	if dest == target {
		r.g.releasePartialCopy(r, from)
	}
}
