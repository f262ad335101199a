package owner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
)

// rated is the engine that the reports of these tests name.
const rated = "e00000"

// pacedReport is a report of one instance with a pace of an engine.
func pacedReport(s *Shard, seq uint64, p Pace, runs ...Run) Report {
	r := report(s, "i", seq, runs...)
	r.Paces = []Pace{p}
	return r
}

func pace(shortest, longest time.Duration) Pace {
	return Pace{Target: rated, Shortest: shortest, Longest: longest}
}

// reportPaces sends n reports with the same pace, one in each interval, and returns the time of the last.
func reportPaces(l *Ledger, s *Shard, n int, p Pace) time.Time {
	now := t0
	for i := range n {
		now = t0.Add(time.Duration(i+1) * ReportInterval)
		l.Report(now, pacedReport(s, uint64(i+1), p))
	}
	return now
}

func TestReportsSetRates(t *testing.T) {
	l, _, s := newTestLedger(2)
	now := reportPaces(l, s, 10, pace(20*time.Millisecond, 30*time.Millisecond))
	r := pacedReport(s, 11, Pace{Target: rated, Slowdown: 2.5, SlowdownAge: 100 * time.Millisecond})
	for range 3 {
		r.PrefillSamples = append(r.PrefillSamples, PrefillSample{Service: "s", Target: rated, Unread: 1000, Took: 200 * time.Millisecond})
	}
	l.Report(now, r)
	got := l.Rates().Rate(now, "s", rated)
	must.True(t, got.Own)
	must.Eq(t, 20*time.Millisecond, got.EventTime)
	must.Eq(t, 2.5, got.Slowdown)
	must.Eq(t, 1, l.Rates().Rate(now.Add(300*time.Millisecond), "s", rated).Slowdown) // the age counts
	must.Between(t, 70*time.Microsecond, got.PrefillTime, 90*time.Microsecond)        // divided by the slowdown
}

// The instance's own reports arrive as those of others do. They must count as much, and once: a report that is repeated by the
// network must not count again.
func TestEachReportSetsRatesOnce(t *testing.T) {
	for _, instance := range []string{"i", "owner"} {
		l, _, s := newTestLedger(1)
		r := pacedReport(s, 1, pace(20*time.Millisecond, 20*time.Millisecond))
		r.Instance = instance
		for range 10 {
			l.Report(t0, r)
		}
		must.Eq(t, 0, l.Rates().Own())
		for seq := range uint64(2) {
			r.Seq = seq + 2
			l.Report(t0, r)
		}
		must.Eq(t, 1, l.Rates().Own())
	}
}

// An engine restarts under its id, at another speed. Estimates of its earlier incarnation must not be used.
func TestNewIncarnationStartsAnew(t *testing.T) {
	l, f, s := newTestLedger(2)
	now := reportPaces(l, s, 10, pace(20*time.Millisecond, 20*time.Millisecond))
	e0 := engines(2, 1)[0]
	e0.Born = 7
	f.Apply(now, []fleet.Info{e0, engines(2, 1)[1]}, nil, 0)
	l.Tick(now)
	must.True(t, l.Rates().Rate(now, "s", rated).Own) // its start was unknown before
	e0.Born = 9
	f.Apply(now, []fleet.Info{e0, engines(2, 1)[1]}, nil, 0)
	l.Tick(now)
	must.False(t, l.Rates().Rate(now, "s", rated).Own)
	must.MapLen(t, 0, l.rates.targets)
}

// A faulty report names engines that don't exist, repeats one, and has impossible figures. It must move no estimate by more than one step.
func TestFaultyPacesHaveBoundedInfluence(t *testing.T) {
	l, _, s := newTestLedger(1)
	now := reportPaces(l, s, 10, pace(20*time.Millisecond, 20*time.Millisecond))
	r := report(s, "i", 11)
	for i := range 10_000 {
		r.Paces = append(r.Paces, pace(time.Microsecond, time.Microsecond), Pace{Target: fmt.Sprint("x", i), Slowdown: 5})
	}
	l.Report(now, r)
	r.Seq++
	r.Paces = []Pace{{Target: rated, Shortest: -1, Longest: math.MaxInt64, Slowdown: math.NaN(), SlowdownAge: math.MinInt64}}
	l.Report(now, r)
	r.Seq++
	r.Paces = []Pace{{Target: rated, Slowdown: 2, SlowdownAge: -time.Hour}}
	l.Report(now, r)
	got := l.Rates().Rate(now, "s", rated)
	must.Between(t, 14*time.Millisecond, got.EventTime, 20*time.Millisecond)
	must.MapLen(t, 1, l.rates.targets)
	must.Eq(t, 1, l.Rates().Rate(now.Add(enginerate.SlowdownTTL), "s", rated).Slowdown)
}

// riskAfter returns the risk of long pauses after 30 intervals in which the longest pause was five times the usual one, where step
// reports what runs on the engine during each interval.
func riskAfter(step func(l *Ledger, s *Shard, now time.Time, seq uint64)) enginerate.Risk {
	l, _, s := newTestLedger(1)
	now := reportPaces(l, s, 5, pace(20*time.Millisecond, 20*time.Millisecond))
	for i := range uint64(30) {
		now = now.Add(2 * time.Second)
		step(l, s, now, 10*i)
		p := pacedReport(s, 1000+i, pace(20*time.Millisecond, 100*time.Millisecond))
		p.Instance = "observer"
		l.Report(now, p)
	}
	return l.Rates().Risk("s", l.Rates().Rate(now, "s", rated), 80*time.Millisecond)
}

// Pauses beside a prompt must count as such although the instance that observes them is not the one that sent the prompt: while a run's
// prompt is unread, after it was read within the interval, and from its grant on.
func TestPromptsOfOtherInstancesExplainPauses(t *testing.T) {
	unread := Run{ID: 1, Target: rated, Tokens: 100, Unread: 100}
	read := Run{ID: 1, Target: rated, Tokens: 100}
	steps := map[string]func(l *Ledger, s *Shard, now time.Time, seq uint64){
		"unread": func(l *Ledger, s *Shard, now time.Time, seq uint64) {
			l.Report(now.Add(-time.Second), report(s, "j", 100+seq, unread))
		},
		"read within the interval": func(l *Ledger, s *Shard, now time.Time, seq uint64) {
			l.Report(now.Add(-time.Second), report(s, "j", 100+seq, unread))
			l.Report(now.Add(-400*time.Millisecond), report(s, "j", 101+seq, read))
		},
		"granted": func(l *Ledger, s *Shard, now time.Time, seq uint64) {
			l.Report(now.Add(-time.Millisecond), report(s, "j", 100+seq))
			l.Place(now, s, placeRequest("j", 1000+seq, 100))
		},
	}
	for name, step := range steps {
		got := riskAfter(step)
		must.Greater(t, 0.9, got.Prefilling, must.Sprint(name))
		must.Eq(t, 0, got.Decoding, must.Sprint(name))
	}
	got := riskAfter(func(l *Ledger, s *Shard, now time.Time, seq uint64) {
		l.Report(now.Add(-time.Second), report(s, "j", 100+seq, unread))
		l.Report(now.Add(-600*time.Millisecond), report(s, "j", 101+seq, read))
	})
	must.Eq(t, 0, got.Prefilling)
	must.Greater(t, 0.9, got.Decoding)
}
