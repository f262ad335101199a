package schedlink

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
)

// tracked is a generation of the random run, with its entry.
type tracked struct {
	*gen
	at      *proc
	attempt uint32
	ended   bool
}

// Owners die, leave, stall and come back, and links break, while entries submit and end generations. No attempt may start
// twice and none may be refused. After the faults every attempt must be started, and the owner's records must contain
// exactly those that run. SEED and SECONDS select another run.
func TestRandomFaultsStartEachAttemptOnce(t *testing.T) {
	seed, seconds := envInt("SEED", 1), envInt("SECONDS", 3)
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	r := newRig(t, 4, siteOf(4, 50, 32))
	run := &randomRun{rig: r, rng: rng, faults: make(map[string]int)}
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
		run.step()
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
	run.heal()
	run.check()
	t.Logf("seed=%d generations=%d faults=%v violations=0", seed, len(run.gens), run.faults)
}

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

type randomRun struct {
	*rig
	rng      *rand.Rand
	gens     []*tracked
	faults   map[string]int
	replaced int
}

func (r *randomRun) step() {
	p := r.procs[r.rng.IntN(len(r.procs))]
	switch n := r.rng.IntN(100); {
	case n < 50:
		r.submit(p)
	case n < 85:
		r.end()
	case n < 90:
		r.fault("stall", func() { p.stalled.Store(true) })
	case n < 95:
		r.fault("unstall", func() { p.stalled.Store(false) })
	case n < 98:
		r.fault("retire", func() { p.node.Retire(r.procs[0].self.MeshAddr) })
	default:
		r.fault("replace", func() { r.replace(p) })
	}
}

func (r *randomRun) fault(kind string, f func()) {
	r.faults[kind]++
	f()
}

func (r *randomRun) submit(p *proc) {
	g := &tracked{gen: &gen{id: ids.From(7, uint64(len(r.gens)))}, at: p, attempt: 1}
	r.gens = append(r.gens, g)
	p.Submit(svc, sched.Request{Gen: g.id, Attempt: 1}, g.notify)
}

// end finishes a running generation, or withdraws a queued one.
func (r *randomRun) end() {
	if len(r.gens) == 0 {
		return
	}
	g := r.gens[r.rng.IntN(len(r.gens))]
	if g.ended {
		return
	}
	g.ended = true
	g.at.Progress(svc, g.id, g.attempt, 5)
	g.at.End(svc, g.id, g.attempt, 5, sched.EndCompleted)
}

// replace kills a process together with its generations and starts a new one under a new name.
func (r *randomRun) replace(p *proc) {
	p.stop()
	r.mu.Lock()
	r.procs = slices.DeleteFunc(slices.Clone(r.procs), func(o *proc) bool { return o == p })
	r.mu.Unlock()
	for _, g := range r.gens {
		if g.at == p {
			g.ended = true
		}
	}
	r.replaced++
	n := r.start(fmt.Sprintf("r%02d", r.replaced))
	r.syncInstances()
	n.Apply(siteOf(4, 50, 32))
}

// syncInstances sends the current list of instances to all processes, as the platform does.
func (r *randomRun) syncInstances() {
	for _, p := range r.procs {
		p.members.SetInstances(listOf(r.procs))
	}
}

func (r *randomRun) heal() {
	for _, p := range r.procs {
		p.stalled.Store(false)
	}
	r.syncInstances()
}

func (r *randomRun) check() {
	r.until("every generation started", func() bool {
		for _, g := range r.gens {
			if !g.ended && !g.started() {
				return false
			}
		}
		return true
	})
	running := 0
	for _, g := range r.gens {
		g.mu.Lock()
		must.LessEq(r.t, 1, g.starts)
		must.EqOp(r.t, 0, g.refused)
		g.mu.Unlock()
		if !g.ended {
			running++
		}
	}
	r.until("one owner whose records match what runs", func() bool { return r.consistent(running) })
}

func (r *randomRun) consistent(running int) bool {
	owners, counted := 0, 0
	for _, p := range r.procs {
		if len(p.host.Digests()) == 0 {
			continue
		}
		owners++
		q, run := p.counts()
		counted += q*10000 + run
	}
	return owners == 1 && counted == running
}
