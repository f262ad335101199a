package bench

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

const shortWindow = 30 * time.Second

// shortRun makes one run of Kelburn's mix.
func shortRun(policy, fault string, window time.Duration) Result {
	m := workload.Kelburn()
	c := Config{
		Mix:      &m,
		Arrivals: m.Arrivals(1, window),
		Window:   window,
		Policy:   policy,
		Fault:    fault,
		Oracle:   policy == PolicyOracle,
		Make:     makePolicy(policy, sched.Options{}),
	}
	return Run(c)
}

func TestSameSeedSameLines(t *testing.T) {
	lines := func(workers int) string {
		s := Suite{Seed: 2, Window: shortWindow, Policies: Policies, Workers: workers, Ablate: Ablations()[:1]}
		results, err := s.Run()
		must.NoError(t, err)
		var b strings.Builder
		for i := range results {
			b.WriteString(results[i].Line() + "\n")
		}
		return b.String()
	}
	must.Eq(t, lines(1), lines(3))
}

// Whatever fails, each request ends as completed or refused: the entry asks for another place with the tokens it has, so
// a death, a stalled link or a cut of power may cost time but never an answer.
func TestNothingIsLostUnderFaults(t *testing.T) {
	const window = 125 * time.Second // beyond the second fault
	m := workload.Kelburn()
	base := Config{Mix: &m, Arrivals: m.Arrivals(1, window), Window: window}
	var configs []Config
	for _, policy := range []string{PolicyLeastLoaded, PolicyAnvilwick} {
		for _, fault := range Faults {
			c := base
			c.Policy = policy
			c.Fault = fault
			c.Make = makePolicy(policy, sched.Options{})
			configs = append(configs, c)
		}
	}
	for _, r := range runAll(configs, 4) {
		test.Eq(t, 0, r.Lost, test.Sprint(r.Policy, r.Fault))
		test.Eq(t, r.Offered, r.Completed+r.Refused, test.Sprint(r.Policy, r.Fault))
	}
}

// The site's cap drops while the engines are full. An ordinary balancer only stops giving new work, and the draw stays
// over the cap until enough answers end; the ticks over the cap must show it, or the figure would mean nothing.
func TestOverCapIsSeen(t *testing.T) {
	must.Positive(t, shortRun(PolicyLeastLoaded, FaultDip, 90*time.Second).OverCapTicks)
	must.Eq(t, 0, shortRun(PolicyLeastLoaded, FaultNone, 90*time.Second).OverCapTicks)
}

func TestPreemptionsOfEnginesAreCounted(t *testing.T) {
	must.Positive(t, shortRun(PolicyRoundRobin, FaultNone, 60*time.Second).Preemptions)
}

func TestMetricsCountStallBeyondTheFloor(t *testing.T) {
	m := workload.Kelburn()
	var figures metrics
	figures.init(&Config{Mix: &m, Window: time.Minute})
	figures.gap(30 * time.Millisecond)
	figures.gap(stallFloor)
	figures.gap(stallFloor + time.Second)
	must.Eq(t, time.Second, figures.stall)
	must.Eq(t, int64(3), figures.gaps.TotalCount())
}

func TestTimelineKeepsOrderOfEqualTimes(t *testing.T) {
	var line timeline
	for i := range 50 {
		line.add(event{at: time.Duration(i % 3), n: i})
	}
	last := event{at: -1}
	for line.Len() > 0 {
		e := line.next()
		must.True(t, e.at > last.at || e.at == last.at && e.n > last.n)
		last = e
	}
}

func TestAblateNamesEachSwitch(t *testing.T) {
	must.SliceNotEmpty(t, Ablations())
	for _, part := range Ablations() {
		opt, err := Ablate(sched.Options{}, part)
		must.NoError(t, err)
		must.NotEq(t, sched.Options{}, opt)
	}
	_, err := Ablate(sched.Options{}, "nothing")
	must.Error(t, err)
}

func TestRatiosNameWhatFallsShort(t *testing.T) {
	r := Ratios{Stall: 0.3, Oracle: 1.2, Preemptions: 0.1, ITL: 0.8, Tokens: 0.99, Urgent: 0.2, Lost: 1}
	must.Eq(t, []string{"stall_oracle", "itl_p99", "lost"}, r.Missed())
}

func TestMedianOfRatios(t *testing.T) {
	all := []Ratios{{Seeds: "1", Stall: 0.1, OverCap: 2}, {Seeds: "2", Stall: 0.5}, {Seeds: "3", Stall: 0.2}}
	m := Median(all)
	must.Eq(t, 0.2, m.Stall)
	must.Eq(t, 2, m.OverCap)
	must.Eq(t, "1,2,3", m.Seeds)
}
