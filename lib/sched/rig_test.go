package sched

import (
	"testing"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
)

// rig drives an Owner with simulated engines that produce one token for each sequence every 20 ms.
type rig struct {
	t      *testing.T
	o      *Owner
	now    Time
	runs   map[ids.Generation]*rigRun
	order  []ids.Generation
	acts   []Action
	muted  map[string]bool // targets whose tokens do not arrive
	policy map[string]ClassPolicy
}

type rigRun struct {
	target  string
	attempt uint32
	tokens  int
	length  int
}

const rigStep = 20 * time.Millisecond

func newRig(t *testing.T, opt Options, specs ...TargetSpec) *rig {
	r := &rig{
		t:     t,
		o:     NewOwner("svc", opt),
		now:   Time(time.Second),
		runs:  make(map[ids.Generation]*rigRun),
		muted: make(map[string]bool),
		policy: map[string]ClassPolicy{
			"urgent": {Priority: 10, Urgent: true, MaxWait: 5 * time.Second},
			"batch":  {Priority: 1, MaxWait: time.Minute},
			"night":  {Priority: 0, MaxWait: time.Hour},
		},
	}
	r.o.SetPolicy(func(_, class string) ClassPolicy { return r.policy[class] })
	r.o.SetTargets(r.now, specs)
	return r
}

func spec(name string, kv, batch int) TargetSpec {
	return TargetSpec{Name: name, KVTotal: kv, MaxBatch: batch, Resumes: true}
}

func gid(n int) ids.Generation { return ids.From(0, uint64(n)) }

func (r *rig) submit(n int, class string, edit func(*Request)) {
	q := Request{Gen: gid(n), Workspace: "w", Class: class, Attempt: 1, PromptTokens: 10}
	if edit != nil {
		edit(&q)
	}
	r.o.Submit(r.now, q)
}

// tick runs one step: it produces tokens, calls Tick, starts what was granted and returns the actions.
func (r *rig) tick() []Action {
	r.now = r.now.Add(rigStep)
	for _, id := range append([]ids.Generation(nil), r.order...) {
		r.token(id)
	}
	r.acts = r.o.Tick(r.now, nil)
	for _, a := range r.acts {
		if a.Kind == ActGrant {
			r.order = append(r.order, a.Gen)
			r.runs[a.Gen] = &rigRun{target: a.Target, attempt: a.Attempt, length: 1 << 30}
		}
	}
	return r.acts
}

func (r *rig) token(id ids.Generation) {
	run, ok := r.runs[id]
	if !ok || r.muted[run.target] {
		return
	}
	run.tokens++
	if run.tokens < run.length {
		r.o.Progress(r.now, id, run.attempt, run.tokens)
		return
	}
	delete(r.runs, id)
	r.o.End(r.now, id, run.attempt, run.tokens, EndCompleted)
}

// until ticks until an action of a kind for generation n, for at most d.
func (r *rig) until(kind ActionKind, n int, d time.Duration) Action {
	r.t.Helper()
	for end := r.now.Add(d); r.now < end; {
		for _, a := range r.tick() {
			if a.Kind == kind && a.Gen == gid(n) {
				return a
			}
		}
	}
	r.t.Fatalf("no action %d for generation %d within %v", kind, n, d)
	return Action{}
}

// never ticks for d and fails on an action of a kind for generation n.
func (r *rig) never(kind ActionKind, n int, d time.Duration) {
	r.t.Helper()
	for end := r.now.Add(d); r.now < end; {
		for _, a := range r.tick() {
			if a.Kind == kind && a.Gen == gid(n) {
				r.t.Fatalf("action %d for generation %d", kind, n)
			}
		}
	}
}
