package loadpoll

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// An engine's reporting hangs: each poll returns the same numbered report, which still claims to be fresh, and owners would
// correct their ledgers by it repeatedly. From the second poll on, the report's age is the time since the first poll. A new
// sequence number or a new incarnation resets it.
func TestUnchangedReportAges(t *testing.T) {
	const reported, pause = 5 * time.Millisecond, 30 * time.Millisecond
	e := newEngine(t)
	p, f := newTargetPoll(t, e)
	e.load = &engineapi.LoadReport{Incarnation: 1, Seq: 7, AgeMS: reported.Milliseconds()}
	ages := []int64{}
	p.poller.OnReport = func(_ string, rep *engineapi.LoadReport) { ages = append(ages, rep.AgeMS) }
	poll := func() time.Duration {
		p.pollOnce(t.Context())
		return f.age
	}
	must.Eq(t, reported, poll())
	time.Sleep(pause)
	must.GreaterEq(t, reported+pause, poll())
	must.GreaterEq(t, (reported + pause).Milliseconds(), ages[1])
	e.load.Seq++
	must.Eq(t, reported, poll())
	e.load.Incarnation++
	must.Eq(t, reported, poll())
}

// The link to an engine with hanging reports is cut and restored. The engine must get requests again although its report is
// still the one from before the cut, because it answered after the cut.
func TestTargetWithHangingReportsRecoversAfterCut(t *testing.T) {
	e := newEngine(t)
	p, f := newTargetPoll(t, e)
	frozen := &engineapi.LoadReport{Incarnation: 1, Seq: 7}
	e.load = frozen
	p.pollOnce(t.Context())
	e.load = nil
	for range goneAfterFailures {
		p.pollOnce(t.Context())
	}
	gone := time.Now()
	time.Sleep(5 * time.Millisecond)
	e.load = frozen
	p.pollOnce(t.Context())
	must.Less(t, time.Since(gone), f.age)
}

func TestUnnumberedReportsKeepTheirAge(t *testing.T) {
	var tracker ageTracker
	now := time.Now()
	must.Eq(t, time.Second, tracker.update(now, 1, 0, time.Second))
	must.Eq(t, time.Second, tracker.update(now.Add(time.Hour), 1, 0, time.Second))
}
