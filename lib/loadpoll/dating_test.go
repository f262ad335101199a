package loadpoll

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// An engine's reporting hangs: each poll gets the same numbered report, which goes on saying that it is fresh. Owners
// would correct their own books by it again and again. From the second poll on it is as old as the time since the first;
// the next number, or a new process, is believed again.
func TestFrozenReportGrowsOld(t *testing.T) {
	const told, pause = 5 * time.Millisecond, 30 * time.Millisecond
	e := newEngine(t)
	w, f := newWatch(t, e)
	e.load = &engineapi.LoadReport{Incarnation: 1, Seq: 7, AgeMS: told.Milliseconds()}
	seen := []int64{}
	w.poller.OnReport = func(_ string, rep *engineapi.LoadReport) { seen = append(seen, rep.AgeMS) }
	poll := func() time.Duration {
		w.once(t.Context())
		return f.age
	}
	must.Eq(t, told, poll())
	time.Sleep(pause)
	must.GreaterEq(t, told+pause, poll())
	must.GreaterEq(t, (told + pause).Milliseconds(), seen[1])
	e.load.Seq++
	must.Eq(t, told, poll())
	e.load.Incarnation++
	must.Eq(t, told, poll())
}

// The link to an engine whose reports hang is cut and comes back. The engine takes work again, though its figures are those
// from before the cut: it answered after it.
func TestFrozenTargetComesBackAfterACut(t *testing.T) {
	e := newEngine(t)
	w, f := newWatch(t, e)
	frozen := &engineapi.LoadReport{Incarnation: 1, Seq: 7}
	e.load = frozen
	w.once(t.Context())
	e.load = nil
	for range goneAfter {
		w.once(t.Context())
	}
	gone := time.Now()
	time.Sleep(5 * time.Millisecond)
	e.load = frozen
	w.once(t.Context())
	must.Less(t, time.Since(gone), f.age)
}

func TestReportsWithoutNumbersAreBelieved(t *testing.T) {
	var d dating
	now := time.Now()
	must.Eq(t, time.Second, d.age(now, 1, 0, time.Second))
	must.Eq(t, time.Second, d.age(now.Add(time.Hour), 1, 0, time.Second))
}
