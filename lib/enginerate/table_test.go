package enginerate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/ids"
)

var start = time.Unix(1_000_000, 0)

// tokensPerEvent is the number of tokens in one event of the simulated streams.
const tokensPerEvent = 4

// engineRun drives one simulated engine and passes what its streams show to a Table.
type engineRun struct {
	table      *Table
	name       string
	model      *enginemodel.Engine
	events     Events
	lastEvent  map[uint64]time.Duration
	lastGap    map[uint64]time.Duration
	sentAt     map[uint64]time.Duration
	prompt     map[uint64]int
	decoding   int // sum over the undisturbed steps of the sequences that were decoded
	steps      int // undisturbed steps
	unread     int
	intervalAt time.Duration
	factor     float64 // on the duration of steps
	noise      float64 // largest relative deviation of a step's duration
	random     *rand.Rand
}

func newEngineRun(table *Table, name string, factor, noise float64) *engineRun {
	cfg := enginemodel.Default()
	cfg.CacheTokens = 0
	r := &engineRun{
		table: table, name: name, model: enginemodel.New(cfg), lastEvent: make(map[uint64]time.Duration),
		lastGap: make(map[uint64]time.Duration), sentAt: make(map[uint64]time.Duration), prompt: make(map[uint64]int),
		factor: factor, noise: noise, random: rand.New(rand.NewPCG(1, 2)),
	}
	r.model.SetStepFactor(factor)
	return r
}

// streams runs n streams, of which one starts every period.
func (r *engineRun) streams(t *testing.T, n int, period time.Duration) {
	t.Helper()
	const prompt, length = 1500, 160
	added := 0
	for now := time.Duration(0); ; {
		at, busy := r.model.Next()
		due := time.Duration(added) * period
		if added < n && (!busy || due <= at) {
			now = max(now, due)
			id := uint64(added + 1)
			s := enginemodel.Seq{Gen: ids.Generation{byte(id)}, Prompt: prompt, Length: length}
			must.NoError(t, r.model.Add(now, s))
			r.sentAt[id], r.prompt[id] = now, prompt
			r.unread += prompt
			added++
			continue
		}
		if !busy {
			return
		}
		now = at
		r.step(now)
	}
}

func (r *engineRun) step(now time.Duration) {
	if now-r.intervalAt >= Interval {
		r.table.ObserveEvents(start.Add(now), "s", r.name, r.events)
		r.events, r.intervalAt = Events{}, now
	}
	r.events.Prefilling = r.events.Prefilling || r.unread > 0
	r.model.SetStepFactor(r.factor * (1 + r.noise*(2*r.random.Float64()-1)))
	evs := r.model.Step(now, nil)
	if n := len(evs); r.unread == 0 && n > 0 {
		r.steps, r.decoding = r.steps+1, r.decoding+n
	}
	for _, e := range evs {
		if e.Kind == enginemodel.EvToken {
			r.token(now, uint64(e.Gen[0]), e.Index)
		}
	}
}

func (r *engineRun) token(now time.Duration, id uint64, index int) {
	if index == 0 {
		r.table.ObservePrefill(start.Add(now), "s", r.name, r.unread, now-r.sentAt[id])
		r.unread -= r.prompt[id]
	}
	if index%tokensPerEvent != 0 {
		return
	}
	if last, ok := r.lastEvent[id]; ok {
		gap := now - last
		r.events.Longest = max(r.events.Longest, gap)
		if mean := (gap + r.lastGap[id]) / 2; r.lastGap[id] > 0 && (r.events.Shortest == 0 || mean < r.events.Shortest) {
			r.events.Shortest = mean
		}
		r.lastGap[id] = gap
	}
	r.lastEvent[id] = now
}

// trueEventTime returns the mean time between events on an undisturbed engine that decoded as many sequences as this one.
func (r *engineRun) trueEventTime(factor float64) time.Duration {
	cfg := enginemodel.Default()
	decoding := float64(r.decoding) / float64(r.steps)
	step := float64(cfg.StepBase) + decoding*(float64(cfg.StepPerSeq)+1580*float64(cfg.StepPerContext))
	return time.Duration(step * factor * tokensPerEvent)
}

// Engines of one service differ in speed, their steps vary, and prompts join running streams. After ten streams, the estimates must be the
// true ones.
func TestEstimatesAfterTenStreams(t *testing.T) {
	for name, c := range map[string]struct {
		noise   float64
		factors []float64
	}{
		"equal": {0, []float64{1, 1, 1, 1}}, "two speeds": {0, []float64{1, 2, 1, 2}}, "four speeds": {0, []float64{0.5, 1, 1.7, 3}},
		"four noisy speeds": {0.3, []float64{0.5, 1, 1.7, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table
			for i, f := range c.factors {
				engine := fmt.Sprint("e", i)
				r := newEngineRun(&table, engine, f, c.noise)
				r.streams(t, 10, time.Duration(f*float64(1200*time.Millisecond)))
				got := table.Rate(start.Add(20*time.Second), "s", engine)
				must.True(t, got.Own)
				want := r.trueEventTime(f)
				must.Between(t, 0.85, float64(got.EventTime)/float64(want), 1.15, must.Sprint(engine, got, want))
				// A chunk of 512 tokens takes 40 µs a token and the base of its step.
				perToken := f * (float64(40*time.Microsecond) + float64(14*time.Millisecond)/512)
				must.Between(t, 0.85, float64(got.PrefillTime)/perToken, 1.15, must.Sprint(engine, got, perToken))
			}
		})
	}
}

// One first event in four waits seconds for memory. The prefill time must not be raised by such outliers.
func TestPrefillTimeFollowsMedian(t *testing.T) {
	var table Table
	for i := range 400 {
		d := 300 * time.Millisecond
		if i%4 == 3 {
			d = 4 * time.Second
		}
		table.ObservePrefill(start, "s", "e", 2000, d)
	}
	must.Between(t, 140*time.Microsecond, table.Rate(start, "s", "e").PrefillTime, 165*time.Microsecond)
}

// observeSteady gives a target n intervals with the same event time.
func observeSteady(table *Table, target string, n int, event time.Duration) {
	for range n {
		table.ObserveEvents(start, "s", target, Events{Shortest: event, Longest: event})
	}
}

func TestUnknownTargetGetsMedianOfItsService(t *testing.T) {
	var table Table
	must.Eq(t, Rate{Slowdown: 1}, table.Rate(start, "s", "x"))
	for i, ms := range []time.Duration{20, 30, 50} {
		observeSteady(&table, fmt.Sprint("e", i), minSamples, ms*time.Millisecond)
	}
	table.ObservePrefill(start.Add(sweepInterval), "s", "e0", 1000, 100*time.Millisecond)
	got := table.Rate(start.Add(sweepInterval), "s", "x")
	must.Eq(t, Rate{EventTime: 30 * time.Millisecond, PrefillTime: 100 * time.Microsecond, Slowdown: 1}, got)
	must.Eq(t, Rate{Slowdown: 1}, table.Rate(start, "other", "x"))
}

// An engine is slowed down by 2.5 for a moment. The factor must be in force at once and expire, and the event time at normal speed must
// not follow the slow events.
func TestSlowdownIsUsedAtOnceAndExpires(t *testing.T) {
	var table Table
	observeSteady(&table, "e", 10, 20*time.Millisecond)
	table.ObserveSlowdown(start, "s", "e", 2.5)
	for range 20 {
		table.ObserveEvents(start.Add(100*time.Millisecond), "s", "e", Events{Shortest: 50 * time.Millisecond, Longest: 50 * time.Millisecond})
	}
	got := table.Rate(start.Add(SlowdownTTL-1), "s", "e")
	must.Eq(t, 2.5, got.Slowdown)
	must.Eq(t, 20*time.Millisecond, got.EventTime.Round(time.Microsecond))
	must.Eq(t, 1, table.Rate(start.Add(SlowdownTTL), "s", "e").Slowdown)
}

// Reports of several instances arrive out of order: an older slowdown must not replace a newer one.
func TestOlderSlowdownIsIgnored(t *testing.T) {
	var table Table
	table.ObserveSlowdown(start, "s", "e", 1)
	table.ObserveSlowdown(start.Add(-100*time.Millisecond), "s", "e", 3)
	must.Eq(t, 1, table.Rate(start, "s", "e").Slowdown)
}

// A faulty engine or instance reports impossible figures. They must change nothing.
func TestImpossibleFiguresChangeNothing(t *testing.T) {
	var table Table
	observeSteady(&table, "e", 10, 20*time.Millisecond)
	table.ObservePrefill(start, "s", "e", 1000, 100*time.Millisecond)
	table.ObserveSlowdown(start, "s", "e", 1.5)
	want := table.Rate(start, "s", "e")
	for _, f := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9} {
		table.ObserveSlowdown(start.Add(time.Millisecond), "s", "e", f)
	}
	for _, d := range []time.Duration{0, -1, math.MinInt64, math.MaxInt64, 1e9 * time.Second} {
		table.ObserveEvents(start, "s", "e", Events{Shortest: d, Longest: d})
		table.ObservePrefill(start, "s", "e", 1000, d)
	}
	table.ObserveEvents(start, "s", "e", Events{Shortest: 15 * time.Millisecond, Longest: 10 * time.Millisecond})
	table.ObservePrefill(start, "s", "e", 0, time.Second)
	table.ObservePrefill(start, "s", "e", -5, time.Second)
	must.Eq(t, want, table.Rate(start, "s", "e"))
}

// One report with a plausible but wrong figure must move an estimate by a bounded step only.
func TestOneReportMovesEstimateByBoundedStep(t *testing.T) {
	var table Table
	observeSteady(&table, "e", 10, 20*time.Millisecond)
	table.ObserveEvents(start, "s", "e", Events{Shortest: time.Microsecond, Longest: time.Microsecond})
	must.Greater(t, 14*time.Millisecond, table.Rate(start, "s", "e").EventTime)
	table.ObserveEvents(start, "s", "e", Events{Shortest: time.Minute, Longest: time.Minute})
	must.Less(t, 20*time.Millisecond, table.Rate(start, "s", "e").EventTime)
}

// Every interval of a busy engine has a prompt beside the streams, so that its events are slower than those without prompts. Single
// intervals without such a prompt must set the estimate.
func TestEventTimeOfBusyEngineIsThatWithoutPrompts(t *testing.T) {
	var table Table
	for i := range 200 {
		e := Events{Shortest: 45 * time.Millisecond, Longest: 60 * time.Millisecond, Prefilling: true}
		if i%10 == 0 {
			e.Shortest = 30 * time.Millisecond
		}
		table.ObserveEvents(start, "s", "e", e)
	}
	must.Between(t, 30*time.Millisecond, table.Rate(start, "s", "e").EventTime, 34500*time.Microsecond)
}

// An engine gets slower without a restart: the estimate must follow within 20 intervals.
func TestEventTimeFollowsLastingChange(t *testing.T) {
	var table Table
	observeSteady(&table, "e", 50, 20*time.Millisecond)
	observeSteady(&table, "e", 20, 40*time.Millisecond)
	must.Between(t, 36*time.Millisecond, table.Rate(start, "s", "e").EventTime, 40*time.Millisecond)
	observeSteady(&table, "e", 5, 20*time.Millisecond)
	must.Between(t, 20*time.Millisecond, table.Rate(start, "s", "e").EventTime, 21*time.Millisecond)
}

// A restarted engine may run at another speed: nothing of its earlier incarnation must remain.
func TestForgottenTargetStartsAnew(t *testing.T) {
	var table Table
	observeSteady(&table, "e", 10, 20*time.Millisecond)
	table.ObserveSlowdown(start, "s", "e", 2)
	table.Forget("s", "e")
	table.Forget("unknown", "e")
	must.False(t, table.Rate(start, "s", "e").Own)
	must.Eq(t, 1, table.Rate(start, "s", "e").Slowdown)
	observeSteady(&table, "e", minSamples, 50*time.Millisecond)
	must.Eq(t, 50*time.Millisecond, table.Rate(start, "s", "e").EventTime.Round(time.Microsecond))
}

// Targets come and go for months, and a faulty instance reports names that don't exist. The table must not grow without bound.
func TestTableIsBounded(t *testing.T) {
	var table Table
	for i := range 2 * maxTargets {
		table.ObserveSlowdown(start, "s", fmt.Sprint("e", i), 1)
	}
	must.MapLen(t, maxTargets, table.services["s"].targets)
	for i := range 2 * maxServices {
		table.ObserveSlowdown(start, fmt.Sprint("s", i), "e", 1)
	}
	must.MapLen(t, maxServices, table.services)
	later := start.Add(targetTTL + sweepInterval)
	table.ObserveSlowdown(later, "s", "new", 1)
	must.MapLen(t, 1, table.services["s"].targets)
	table.ObserveSlowdown(later.Add(serviceTTL+sweepInterval), "s", "new", 1)
	must.MapLen(t, 1, table.services)
}

// A target without observations for long may have changed: its estimate must not be used any more.
func TestOldEstimatesExpire(t *testing.T) {
	var table Table
	observeSteady(&table, "e", minSamples, 20*time.Millisecond)
	must.True(t, table.Rate(start.Add(targetTTL), "s", "e").Own)
	must.False(t, table.Rate(start.Add(targetTTL+1), "s", "e").Own)
	must.Eq(t, 1, table.Own())
}

// Beside a prompt the longest pause is twice the usual, and five times in one of seven intervals.
func TestRiskIsShareOfLongPauses(t *testing.T) {
	var table Table
	const event = 20 * time.Millisecond
	observeSteady(&table, "e", 10, event)
	rate := table.Rate(start, "s", "e")
	for i := range 350 {
		if i == minIntervals-1 {
			must.Eq(t, Risk{}, table.Risk("s", rate, 4*event)) // too few observations
		}
		e := Events{Shortest: event, Longest: 2 * event, Prefilling: true}
		if i%7 == 3 {
			e.Longest = 5 * event
		}
		table.ObserveEvents(start, "s", "e", e)
	}
	must.Eq(t, Risk{}, table.Risk("s", rate, 6*event))
	must.Between(t, 0.12, table.Risk("s", rate, 4*event).Prefilling, 0.17)
	must.Eq(t, 0, table.Risk("s", rate, 4*event).Decoding)
	must.Between(t, 0.99, table.Risk("s", rate, event).Prefilling, 1)
	rate.Slowdown = 2.5 // the limit of 4 events is exceeded by pauses of twice the slowed-down event time
	must.Between(t, 0.99, table.Risk("s", rate, 4*event).Prefilling, 1)
	must.Eq(t, Risk{}, table.Risk("s", Rate{Slowdown: 1}, event))
	must.Eq(t, Risk{}, table.Risk("s", rate, 0))
	must.Eq(t, Risk{}, table.Risk("other", rate, event))
}

// The engines of a service come under less load: a risk learnt before must fade.
func TestRiskForgets(t *testing.T) {
	var table Table
	const event = 20 * time.Millisecond
	observeSteady(&table, "e", 10, event)
	rate := table.Rate(start, "s", "e")
	for _, factor := range []time.Duration{5, 2} {
		for range 3 * memory {
			table.ObserveEvents(start, "s", "e", Events{Shortest: event, Longest: factor * event})
		}
	}
	must.Less(t, 0.06, table.Risk("s", rate, 4*event).Decoding)
	for range 40 * memory { // weights are scaled down on the way
		table.ObserveEvents(start, "s", "e", Events{Shortest: event, Longest: 5 * event})
	}
	must.Between(t, 0.99, table.Risk("s", rate, 4*event).Decoding, 1)
}

func BenchmarkRateAndRisk(b *testing.B) {
	var table Table
	const engines = 256
	names := make([]string, engines)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
		observeSteady(&table, names[i], 10, 20*time.Millisecond)
		for range minIntervals {
			table.ObserveEvents(start, "s", names[i], Events{Shortest: 20 * time.Millisecond, Longest: 60 * time.Millisecond, Prefilling: true})
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := table.Rate(start, "s", names[i%engines])
		_ = table.Risk("s", r, 180*time.Millisecond)
	}
}
