package baseline

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
)

func targetName(i int) string { return fmt.Sprintf("engine-%02d", i) }

// twoEngines configures a policy with two engines of nominally 1000 W that draw 100 W idle and 100 W per sequence, under a
// common power cap.
func twoEngines(p sched.Policy, watts float64) sched.Policy {
	var specs []sched.TargetSpec
	for i := range 2 {
		specs = append(specs, sched.TargetSpec{Name: targetName(i), MaxBatch: 64, IdleWatts: 100, SeqWatts: 100})
	}
	p.SetTargets(0, specs)
	p.SetPolicy(func(_, class string) sched.ClassPolicy {
		c := sched.ClassPolicy{MaxWait: time.Second, QueueBound: 5}
		if class == "urgent" {
			c.Priority = 1
		}
		return c
	})
	p.SetPower(0, watts, 0, watts)
	return p
}

func submit(p sched.Policy, n uint64, class string) {
	p.Submit(0, sched.Request{Gen: ids.From(0, n), Class: class, Attempt: 1})
}

func TestBaselineKeepsEnginesUnderPowerShare(t *testing.T) {
	p := twoEngines(NewRoundRobin(), 600)
	for i := range uint64(9) {
		submit(p, i, "long")
	}
	acts := p.Tick(0, nil)
	grants := map[string]int{}
	for _, a := range acts {
		if a.Kind == sched.ActGrant {
			grants[a.Target]++
		}
	}
	must.Eq(t, map[string]int{"engine-00": 2, "engine-01": 2}, grants)
}

func TestBaselineServesPriorityFirstAndBoundsItsQueue(t *testing.T) {
	p := twoEngines(NewLeastLoaded(), 400)
	for i := range uint64(7) {
		submit(p, i, "long")
	}
	submit(p, 9, "urgent")
	acts := p.Tick(0, nil)
	refused, first := 0, ids.Generation{}
	for _, a := range acts {
		switch {
		case a.Kind == sched.ActRefuse:
			refused++
		case first.IsZero():
			first = a.Gen
		}
	}
	must.Eq(t, 2, refused)
	must.Eq(t, ids.From(0, 9), first)
}

func TestBaselineRefusesAfterMaxWait(t *testing.T) {
	p := twoEngines(NewLeastLoaded(), 200)
	submit(p, 1, "long")
	must.SliceEmpty(t, p.Tick(0, nil))
	acts := p.Tick(sched.Time(2*time.Second), nil)
	must.Len(t, 1, acts)
	must.Eq(t, sched.ActRefuse, acts[0].Kind)
	must.Positive(t, acts[0].RetryAfter)
}

// A dead engine must get no requests until a report shows that it is back.
func TestBaselineSkipsDeadEngines(t *testing.T) {
	p := twoEngines(NewRoundRobin(), 1000)
	p.TargetGone(0, targetName(0))
	submit(p, 1, "long")
	submit(p, 2, "long")
	for _, a := range p.Tick(0, nil) {
		must.Eq(t, targetName(1), a.Target)
	}
	p.Report(0, sched.Report{Target: targetName(0), Incarnation: 2})
	submit(p, 3, "long")
	submit(p, 4, "long")
	must.SliceContainsFunc(t, p.Tick(0, nil), targetName(0), func(a sched.Action, name string) bool { return a.Target == name })
}

// Settings are applied again with each revision, and an engine's batch size may be known from its reports only.
func TestBaselineAcceptsRepeatedTargets(t *testing.T) {
	p := NewRoundRobin()
	p.SetPolicy(func(string, string) sched.ClassPolicy { return sched.ClassPolicy{MaxWait: time.Second, QueueBound: 9} })
	for range 2 {
		p.SetTargets(0, []sched.TargetSpec{{Name: targetName(0)}})
	}
	p.Report(0, sched.Report{Target: targetName(0), MaxBatch: 3})
	p.Report(0, sched.Report{Target: "stranger", MaxBatch: 30})
	for i := range uint64(5) {
		submit(p, i, "long")
	}
	must.Len(t, 3, p.Tick(0, nil))
}
