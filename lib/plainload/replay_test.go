package plainload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// site is a load of Poisson calls from instances to targets, each in one of as many failure domains.
type site struct {
	instances, targets, slots int
	perSecond                 float64
	work, objective           time.Duration
	slowShare, slowBy         float64
	slowFor                   time.Duration
}

type policy struct {
	choose func(r *replay, i int) int
	share  bool // notices go to peers
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

type machine struct {
	running int
	queue   []func()
}

// replay plays a site in virtual time.
type replay struct {
	site
	policy
	rng      *rand.Rand
	now      time.Duration
	events   events
	machines []machine
	known    [][]*Target // by instance, then target
	own      [][]int
	slow     []map[int64]bool
	took     []time.Duration
	notices  int
	crossed  int
}

func newReplay(s site, p policy, seed uint64) *replay {
	r := &replay{site: s, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), machines: make([]machine, s.targets)}
	for range s.instances {
		row := make([]*Target, s.targets)
		for k := range row {
			row[k] = new(Target)
		}
		r.known, r.own = append(r.known, row), append(r.own, make([]int, s.targets))
	}
	for range s.targets {
		r.slow = append(r.slow, make(map[int64]bool))
	}
	return r
}

func (r *replay) clock() time.Time                 { return time.Unix(1000, 0).Add(r.now) }
func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.events, event{r.now + d, do}) }
func (r *replay) exp(mean float64) time.Duration   { return time.Duration(r.rng.ExpFloat64() * mean) }

// slowdown returns the slowdown of a target: each of its windows is slow by chance.
func (r *replay) slowdown(k int) float64 {
	w := int64(r.now / r.slowFor)
	slow, ok := r.slow[k][w]
	if !ok {
		slow = rand.New(rand.NewPCG(uint64(w), uint64(k))).Float64() < r.slowShare
		r.slow[k][w] = slow
	}
	if slow {
		return r.slowBy
	}
	return 1
}

const link = time.Millisecond // one way, and that of a notice

func (r *replay) call() {
	r.after(r.exp(float64(time.Second)/r.perSecond), r.call)
	i, started := r.rng.IntN(r.instances), r.now
	k := r.choose(r, i)
	if k != i%r.targets {
		r.crossed++
	}
	work := float64(r.work) * math.Exp(0.5*r.rng.NormFloat64()-0.125)
	if r.rng.Float64() < 0.01 {
		work *= 5
	}
	r.own[i][k]++
	r.after(link, func() { r.arrive(i, k, started, work) })
}

func (r *replay) arrive(i, k int, started time.Duration, work float64) {
	m := &r.machines[k]
	run := func() {
		m.running++
		r.after(time.Duration(work*r.slowdown(k)), func() { r.done(i, k, started) })
	}
	if m.running < r.slots {
		run()
		return
	}
	m.queue = append(m.queue, run)
}

func (r *replay) done(i, k int, started time.Duration) {
	m := &r.machines[k]
	m.running--
	if len(m.queue) > 0 {
		next := m.queue[0]
		m.queue = m.queue[1:]
		next()
	}
	report := Report{Running: m.running, Waiting: len(m.queue), Slowdown: r.slowdown(k)}
	r.after(link, func() {
		r.own[i][k]--
		r.took = append(r.took, r.now-started)
		r.known[i][k].Observe(r.clock(), report, r.own[i][k])
		if r.share && r.known[i][k].NoticeDue(r.clock(), report) {
			r.notices++
			at := r.clock()
			r.after(link, func() {
				for j := range r.known {
					r.known[j][k].ObservePeer(at, report.Slowdown)
				}
			})
		}
	})
}

// run plays a duration and returns the share of calls over the objective, and the 99th percentile.
func (r *replay) run(d time.Duration) (late float64, p99 time.Duration) {
	r.after(0, r.call)
	for r.now < d {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	n := 0
	for _, t := range r.took {
		if t > r.objective {
			n++
		}
	}
	slices.Sort(r.took)
	return float64(n) / float64(len(r.took)), r.took[len(r.took)*99/100]
}

// best returns the target with the least cost; another failure domain costs 0.04, and chance separates equal ones.
func (r *replay) best(i int, cost func(k int) float64) int {
	best, least := 0, math.Inf(1)
	for k := range r.targets {
		c := cost(k) + 0.02*r.rng.Float64()
		if k != i%r.targets {
			c += 0.04
		}
		if c < least {
			best, least = k, c
		}
	}
	return best
}

func byLoad(r *replay, i int) int {
	sized := make([]Sized, r.targets)
	for k := range sized {
		sized[k] = Sized{r.known[i][k], r.slots}
	}
	o := Survey(r.clock(), sized)
	regard := r.rng.Float64() < o.Shift
	return r.best(i, func(k int) float64 { return sized[k].Cost(r.clock(), r.own[i][k], o, regard) })
}

// byOwnCalls uses the own calls, and a report for 400 ms.
func byOwnCalls(r *replay, i int) int {
	return r.best(i, func(k int) float64 {
		busy := float64(r.own[i][k])
		if t := r.known[i][k]; t.Known() && t.Age(r.clock()) < 400*time.Millisecond {
			busy = max(busy, t.others)
		}
		return busy / float64(r.slots)
	})
}

func TestTrial(t *testing.T) {
	few := site{instances: 85, targets: 3, slots: 6, perSecond: 140, work: 15 * time.Millisecond, objective: 100 * time.Millisecond,
		slowShare: 0.15, slowBy: 2.5, slowFor: 600 * time.Millisecond}
	toll := few
	toll.targets, toll.work, toll.objective, toll.instances = 7, 60*time.Millisecond, 300*time.Millisecond, 79
	busy := few
	mid := few
	mid.perSecond = 350
	busy.perSecond = 600
	for name, s := range map[string]site{"few": few, "toll": toll, "busy": busy, "mid": mid} {
		for pname, p := range map[string]policy{"old": {choose: byOwnCalls}, "alone": {choose: byLoad}, "shared": {choose: byLoad, share: true}} {
			r := newReplay(s, p, 7)
			late, p99 := r.run(300 * time.Second)
			t.Logf("%s %s late %.4f p99 %v notices/s %.1f crossed %.3f", name, pname, late, p99, float64(r.notices)/300, float64(r.crossed)/float64(len(r.took)))
		}
	}
	must.True(t, true)
}
