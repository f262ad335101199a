package gateway

import (
	"sync"

	"anvilwick.example/anvilwick/lib/fleet"
)

// openConns finds the connections that requests are open on, by target. A target that starts again behind a cut link
// resets none of them: its streams would stay silent until their time limit, although nothing of them is left.
type openConns struct {
	mu   sync.Mutex
	byID map[string]map[*openConn]bool
}

type openConn struct {
	incarnation int64 // life of the target that it went to
	close       func()
}

func newOpenConns() openConns { return openConns{byID: make(map[string]map[*openConn]bool)} }

// add notes a connection until the returned function is called.
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

// ofEarlierIncarnations lists the connections to earlier lives of a target.
func (o *openConns) ofEarlierIncarnations(t fleet.Info) []*openConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*openConn
	for s := range o.byID[t.ID] {
		if s.incarnation < t.Born {
			out = append(out, s)
		}
	}
	return out
}

// TargetRestarted ends what is open on earlier lives of a target, and forgets the copies that these held.
func (g *Gateway) TargetRestarted(t fleet.Info) {
	for _, runs := range g.runs.all() {
		for _, r := range runs {
			r.forgetCopiesAt(t.ID)
		}
	}
	g.Pool.Drop(t.Addr)
	for _, s := range g.conns.ofEarlierIncarnations(t) {
		s.close()
	}
}

// forgetCopiesAt forgets what a target held of the run: it knows nothing of that any more.
func (r *run) forgetCopiesAt(target string) {
	if r.backupTarget().ID == target {
		r.dropBackup()
	}
	r.mu.Lock()
	from, at := r.partial.source, r.partial.placement.target.ID
	r.mu.Unlock()
	if at == target {
		r.g.releasePartialCopy(r, from)
	}
}
