package plainload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// replay plays Poisson calls from many instances to a few targets, each in another failure domain, in virtual time. Each target is slowed
// down in some windows, by chance.
type replay struct {
	instances, targets, slots int
	perSecond                 float64
	work, objective           time.Duration
	slowShare                 float64
	reports, share            bool // choices are by Cost, else by BusyShare; slowdowns are sent to peers

	rng     *rand.Rand
	now     time.Duration
	events  []event // by time
	running []int
	queues  [][]func()
	known   [][]Target // by instance, then target
	own     [][]int
	took    []time.Duration
	notices int
}

type event struct {
	at time.Duration
	do func()
}

const (
	linkDelay  = time.Millisecond // one way, and that of a notice
	slowWindow = 600 * time.Millisecond
	slowBy     = 2.5
)

func (r *replay) clock() time.Time { return time.Unix(1000, 0).Add(r.now) }

func (r *replay) after(d time.Duration, do func()) {
	e := event{r.now + d, do}
	i, _ := slices.BinarySearchFunc(r.events, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	r.events = slices.Insert(r.events, i, e)
}

func (r *replay) slowdown(k int) float64 {
	if rand.New(rand.NewPCG(uint64(r.now/slowWindow), uint64(k))).Float64() < r.slowShare {
		return slowBy
	}
	return 1
}

// call is one arrival. One call in a hundred works five times as long.
func (r *replay) call() {
	r.after(time.Duration(r.rng.ExpFloat64()/r.perSecond*float64(time.Second)), r.call)
	i, started := r.rng.IntN(r.instances), r.now
	k := r.choose(i)
	work := float64(r.work) * math.Exp(0.5*r.rng.NormFloat64()-0.125)
	if r.rng.Float64() < 0.01 {
		work *= 5
	}
	r.own[i][k]++
	run := func() {
		r.running[k]++
		r.after(time.Duration(work*r.slowdown(k)), func() { r.done(i, k, started) })
	}
	r.after(linkDelay, func() {
		if r.running[k] < r.slots {
			run()
		} else {
			r.queues[k] = append(r.queues[k], run)
		}
	})
}

func (r *replay) done(i, k int, started time.Duration) {
	report := Report{Running: r.running[k], Waiting: len(r.queues[k]), Slowdown: r.slowdown(k)}
	r.running[k]--
	if len(r.queues[k]) > 0 {
		next := r.queues[k][0]
		r.queues[k] = r.queues[k][1:]
		next()
	}
	r.after(linkDelay, func() {
		r.took = append(r.took, r.now-started)
		r.known[i][k].Observe(r.clock(), report, r.own[i][k])
		r.own[i][k]--
		if !r.share || !r.known[i][k].NoticeDue(r.clock(), report) {
			return
		}
		r.notices++
		r.after(linkDelay, func() {
			for j := range r.known {
				r.known[j][k].ObservePeer(r.clock(), report.Slowdown)
			}
		})
	})
}

// choose returns the target with the least cost. Another failure domain costs a little, and chance separates equal ones.
func (r *replay) choose(i int) int {
	sized := make([]Sized, r.targets)
	for k := range sized {
		sized[k] = Sized{&r.known[i][k], r.slots}
	}
	o := Survey(r.clock(), sized)
	regard := r.rng.Float64() < o.Shift
	best, least := 0, math.Inf(1)
	for k, t := range sized {
		cost := t.Cost(r.clock(), r.own[i][k], o, regard)
		if !r.reports {
			cost = t.BusyShare(r.clock(), r.own[i][k])
		}
		if cost += 0.02 * r.rng.Float64(); k != i%r.targets {
			cost += 0.04
		}
		if cost < least {
			best, least = k, cost
		}
	}
	return best
}

// play returns the share of calls over the objective, the 99th percentile, and the notices a second, over two minutes.
func (r replay) play(reports, share bool, seed uint64) (late float64, p99 time.Duration, notices float64) {
	r.reports, r.share, r.rng = reports, share, rand.New(rand.NewPCG(seed, 1))
	r.running, r.queues = make([]int, r.targets), make([][]func(), r.targets)
	for range r.instances {
		r.known, r.own = append(r.known, make([]Target, r.targets)), append(r.own, make([]int, r.targets))
	}
	const length = 2 * time.Minute
	for r.call(); r.now < length; {
		e := r.events[0]
		r.events, r.now = r.events[1:], e.at
		e.do()
	}
	slices.Sort(r.took)
	within, _ := slices.BinarySearch(r.took, r.objective+1)
	return 1 - float64(within)/float64(len(r.took)), r.took[len(r.took)*99/100], float64(r.notices) / length.Seconds()
}
