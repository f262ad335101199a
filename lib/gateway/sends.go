package gateway

import (
	"sync"

	"anvilwick.example/anvilwick/lib/fleet"
)

// openSends finds the connections that requests are open on, by target. A target that starts again behind a cut link
// resets none of them: its streams would stay silent until their time limit, although nothing of them is left.
type openSends struct {
	mu   sync.Mutex
	byID map[string]map[*openSend]bool
}

type openSend struct {
	born  int64 // life of the target that it went to
	close func()
}

func newOpenSends() openSends { return openSends{byID: make(map[string]map[*openSend]bool)} }

// add notes a connection until the returned function is called.
func (o *openSends) add(to fleet.Info, closeConn func()) (remove func()) {
	s := &openSend{born: to.Born, close: closeConn}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byID[to.ID] == nil {
		o.byID[to.ID] = make(map[*openSend]bool)
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

// before lists the connections to earlier lives of a target.
func (o *openSends) before(t fleet.Info) []*openSend {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*openSend
	for s := range o.byID[t.ID] {
		if s.born < t.Born {
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
	for _, s := range g.sends.before(t) {
		s.close()
	}
}

// forgetCopiesAt forgets what a target held of the run: it knows nothing of that any more.
func (r *run) forgetCopiesAt(target string) {
	if r.backupAt().ID == target {
		r.dropBackup()
	}
	r.mu.Lock()
	from, at := r.early.from, r.early.next.target.ID
	r.mu.Unlock()
	if at == target {
		r.g.dropCopy(r, from)
	}
}
