package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
)

var t0 = time.Unix(1_000_000, 0)

// One of three targets fails half of its requests, and each instance has seen one or two of them. Together they are enough.
func TestFewFailuresOfManyInstancesAreEnough(t *testing.T) {
	j := NewDetector()
	for i := range 6 {
		j.Observe(t0, "s", fmt.Sprint("i", i), 1, []Count{{Target: "bad", Served: 1, Failed: 1}, {Target: "good", Served: 5}})
	}
	v := j.Verdicts(t0)
	must.Len(t, 1, v)
	must.Eq(t, "bad", v[0].Target)
	must.Between(t, 0.45, v[0].Share, 0.55)
	must.Len(t, 0, j.Verdicts(t0.Add(10*time.Second))) // it is tried again once nobody has news of it
}

// Callers' requests fail wherever they run, or all targets fail alike. Nobody is suspected: there is nowhere better to go.
func TestWhatFailsEverywhereIsNoTargetsFault(t *testing.T) {
	j := NewDetector()
	for i := range 30 {
		j.Observe(t0, "s", fmt.Sprint("i", i), 1, []Count{{Target: "a", Served: 3, Failed: 3}, {Target: "b", Served: 3, Failed: 2}})
		j.Observe(t0, "calm", fmt.Sprint("i", i), 1, []Count{{Target: "c", Served: 9, Failed: 1}, {Target: "d", Served: 9}})
	}
	must.Len(t, 0, j.Verdicts(t0))
}

// Datagrams come twice, late and from instances that were started anew, and counters jump. Each outcome counts once.
func TestCountsAreTakenOnce(t *testing.T) {
	j := NewDetector()
	for _, c := range []Count{{"t", 0, 1}, {"t", 0, 2}, {"t", 0, 2}, {"t", 0, 1}, {"t", 0, 2}, {"t", 1 << 30, 2}} {
		j.Observe(t0, "s", "i", 1, []Count{c})
	}
	must.Len(t, 0, j.Verdicts(t0)) // two failures
	j.Observe(t0, "s", "i", 2, []Count{{"t", 0, 1}})
	must.Len(t, 1, j.Verdicts(t0))
}

// Instances are started anew again and again, for days, while a target serves on. What is kept of them stays bounded, and those that
// came last are heard: a target that fails is suspected then as on the first day.
func TestRestartsDoNotFillTheJudge(t *testing.T) {
	j := NewDetector()
	now := t0
	for incarnation := range uint64(2 * countsMax) {
		now = now.Add(100 * time.Millisecond)
		j.Observe(now, "s", "i", incarnation, []Count{{Target: "a", Served: 1}})
		if incarnation%50 == 0 {
			j.Verdicts(now)
		}
	}
	must.Less(t, 2*int(countsLife/(100*time.Millisecond)), len(j.last))
	for i := range 4 {
		j.Observe(now, "s", fmt.Sprint("new", i), 1, []Count{{Target: "b", Failed: 1}})
	}
	must.Len(t, 1, j.Verdicts(now))
}

// An instance is heard of for the first time, or after long, with counts that have grown for hours. They say nothing of now.
func TestOldCountsSayNothingOfNow(t *testing.T) {
	j := NewDetector()
	j.Observe(t0, "s", "i", 1, []Count{{Target: "a", Served: 10, Failed: 40}})
	must.Len(t, 0, j.Verdicts(t0))
	j.Observe(t0, "s", "i", 1, []Count{{Target: "a", Served: 10, Failed: 44}})
	must.Len(t, 1, j.Verdicts(t0))
}

func TestRankIsTheSameForAll(t *testing.T) {
	must.Eq(t, Ranked("s", []string{"a", "b", "c"}), Ranked("s", []string{"c", "a", "b"}))
	must.Len(t, DetectorReplicas, Ranked("s", []string{"a", "b", "c"}))
	must.Len(t, 1, Ranked("s", []string{"a"}))
}

// lost plays requests that can't be repeated to three plain targets, of which one fails half of them for seven seconds, from many
// instances, and returns how many fail.
func lost(judged bool) int {
	const instances, perSecond, span = 70, 90, 7 * time.Second
	chance := rand.New(rand.NewPCG(1, 2))
	fleets := make([]*fleet.Fleet, instances)
	counts := make([]map[string]*Count, instances)
	for i := range fleets {
		f := fleet.New("z")
		f.SetRandom(chance.Float64)
		f.SetSpecs(map[string]fleet.Spec{"s": {}})
		for _, id := range []string{"a", "b", "bad"} {
			f.Apply(t0, []fleet.Info{{ID: id, Service: "s", Domain: "z", Slots: 6}}, nil, 0)
		}
		fleets[i], counts[i] = f, make(map[string]*Count)
	}
	j := NewDetector()
	failed := 0
	told := time.Duration(0)
	for at := time.Duration(0); at < span; at += time.Second / perSecond {
		now := t0.Add(at)
		i := chance.IntN(instances)
		to, ok := fleets[i].Acquire(now, fleet.Need{Service: "s"})
		if !ok {
			continue
		}
		c := counts[i][to.ID]
		if c == nil {
			c = &Count{Target: to.ID}
			counts[i][to.ID] = c
		}
		outcome := fleet.Served
		if to.ID == "bad" && chance.IntN(2) == 0 {
			outcome = fleet.Failed
			failed++
			c.Failed++
		} else {
			c.Served++
		}
		fleets[i].Release(now, to.ID, fleet.Load{}, outcome)
		if judged && at-told >= 300*time.Millisecond {
			told = at
			for i := range counts {
				for _, c := range counts[i] {
					j.Observe(now, "s", fmt.Sprint("i", i), 1, []Count{*c})
				}
			}
			for _, v := range j.Verdicts(now) {
				for _, f := range fleets {
					f.Suspect(v.Target, v.Share, now.Add(VerdictTTL))
				}
			}
		}
	}
	return failed
}

// Load pattern: a target that lies about its health, before many instances with a request or two a second each. With verdicts less
// than a third of the requests fail that fail when each instance goes by its own.
func TestLyingTargetIsLeftSooner(t *testing.T) {
	alone, judged := lost(false), lost(true)
	t.Logf("failed: %d alone, %d judged", alone, judged)
	must.Less(t, alone/3, judged)
}
