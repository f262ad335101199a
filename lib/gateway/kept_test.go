package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/routes"
)

// keptFixture is a run whose memory its destination "to" and its source "from" keep.
type keptFixture struct {
	r        *run
	k        *keptRun
	from, to fleet.Info
	now      time.Time
}

func newKeptFixture() *keptFixture {
	g := newTestGateway()
	f := &keptFixture{now: time.Now()}
	f.from, f.to = fleet.Info{ID: "from", Service: "s", Domain: "a"}, fleet.Info{ID: "to", Service: "s", Domain: "b"}
	g.Fleet.Apply(f.now, []fleet.Info{f.from, f.to}, nil, 0)
	route := &routes.Route{Name: "r", Kind: routes.Stream}
	f.r = &run{g: g, c: &call{id: "x", service: "s", route: route, engine: &routes.Engine{HandleTTL: 2 * time.Second}}}
	f.k = f.r.keep("addr/h", f.now, f.to, f.from)
	return f
}

// next returns the engine at which the run may continue after some time.
func (f *keptFixture) next(after time.Duration) string {
	h, _ := f.r.nextHolder(f.now.Add(after), f.k)
	if h == nil {
		return ""
	}
	return h.target.ID
}

// reject records that an engine rejected the run after some time.
func (f *keptFixture) reject(id string, after time.Duration) {
	f.k.recordRejection(f.now.Add(after), id, false)
}

func (f *keptFixture) backOff(target fleet.Info, until time.Duration) {
	f.r.g.Fleet.BackOff(f.now, target, f.now.Add(until))
}

func TestKeptRunPrefersItsDestination(t *testing.T) {
	f := newKeptFixture()
	must.Eq(t, "to", f.next(0))
	f.reject("to", 0)
	must.Eq(t, "from", f.next(0))
}

func TestKeptRunWaitsForTheTimeThatEnginesName(t *testing.T) {
	f := newKeptFixture()
	f.backOff(f.to, time.Second)
	f.backOff(f.from, 500*time.Millisecond)
	must.Eq(t, "", f.next(400*time.Millisecond))
	must.Eq(t, "from", f.next(500*time.Millisecond))
	must.Eq(t, "to", f.next(time.Second))
}

func TestKeptRunPausesBetweenTries(t *testing.T) {
	f := newKeptFixture()
	f.k.recordRejection(f.now, "from", true)
	at := time.Duration(0)
	for _, pause := range []time.Duration{minKeptPause, 2 * minKeptPause, 4 * minKeptPause, 8 * minKeptPause, maxKeptPause, maxKeptPause} {
		f.reject("to", at)
		must.Eq(t, "", f.next(at+pause-time.Millisecond))
		at += pause
		must.Eq(t, "to", f.next(at))
	}
}

func TestKeptRunObeysEvacuations(t *testing.T) {
	f := newKeptFixture()
	f.r.g.Fleet.Evacuate("b")
	must.Eq(t, "from", f.next(0))
	f.r.g.Fleet.Evacuate("a")
	must.Eq(t, "", f.next(0))
	f.r.g.Fleet.EndEvacuation(f.now, "b")
	must.Eq(t, "to", f.next(0))
}

func TestKeptRunIsNotSentAgainToAnEngineThatLeavesForLong(t *testing.T) {
	f := newKeptFixture()
	f.backOff(f.to, time.Minute)
	f.r.g.Fleet.MarkLeaving(f.now, "from", 0)
	must.Eq(t, "from", f.next(leavingWindow+time.Second))
	f.reject("from", 0)
	must.Eq(t, "from", f.next(leavingWindow))
	must.Eq(t, "", f.next(leavingWindow+time.Millisecond))
}

func TestKeptRunExpiresWithItsCopiesOrEngines(t *testing.T) {
	f := newKeptFixture()
	must.False(t, f.k.expired(f.now.Add(2*time.Second-handleMargin-time.Millisecond)))
	must.True(t, f.k.expired(f.now.Add(2*time.Second-handleMargin)))
	f.k.recordRejection(f.now, "to", true)
	must.False(t, f.k.expired(f.now))
	f.k.recordRejection(f.now, "from", true)
	must.True(t, f.k.expired(f.now))
}

// Guards against waiting for engines that have been restarted: their copies are gone.
func TestKeptRunEndsWithItsEngines(t *testing.T) {
	f := newKeptFixture()
	to, from := f.to, f.from
	to.Born, from.Born = 7, 7
	f.r.g.Fleet.Apply(f.now, []fleet.Info{to, from}, nil, 0)
	f.k.dropEnded(f.r.g.Fleet)
	must.Len(t, 2, f.k.holders) // neither was asked yet
	f.reject("to", 0)
	f.reject("from", 0)
	_, ok := f.r.awaitHolder(context.Background(), f.k)
	must.False(t, ok)
	must.Less(t, time.Second, time.Since(f.now))
}

// Guards against a stream cut although its memory is kept: its engine crashes while the engine of its backup accepts nothing for a moment.
func TestRunWaitsForTheEngineOfItsBackup(t *testing.T) {
	f := newKeptFixture()
	f.r.target, f.r.lastContact, f.r.events = f.from, f.now, 3
	f.r.backup = backup{target: f.to, tokens: 10}
	f.backOff(f.to, 100*time.Millisecond)
	to, ok := f.r.resumeFromBackup(context.Background())
	must.True(t, ok)
	must.Eq(t, "to", to.target.ID)
	must.GreaterEq(t, 100*time.Millisecond, time.Since(f.now))
	f.r.backup = backup{target: f.to, tokens: 10}
	f.backOff(f.to, time.Minute)
	_, ok = f.r.resumeFromBackup(context.Background())
	must.False(t, ok)
	must.Less(t, 2*time.Second, time.Since(f.now))
}

// A run that may be repeated begins again elsewhere at once, unless one of the engines that keep it accepts it now.
func TestRepeatableRunDoesNotWait(t *testing.T) {
	f := newKeptFixture()
	f.r.c.route.Resumable = true
	to, ok := f.r.awaitHolder(context.Background(), f.k)
	must.True(t, ok)
	must.Eq(t, "to", to.target.ID)
	f.backOff(f.to, time.Minute)
	f.backOff(f.from, time.Minute)
	_, ok = f.r.awaitHolder(context.Background(), f.k)
	must.False(t, ok)
	must.Less(t, time.Second, time.Since(f.now))
}

// A run may continue at an engine whose failure domain has just been evacuated, if no other engine is about to accept it.
func TestKeptRunContinuesSoonAfterAnEvacuation(t *testing.T) {
	evacuated := func(since time.Duration) *keptFixture {
		f := newKeptFixture()
		f.r.g.Fleet.EvacuateAt(f.now.Add(-since), "a")
		f.reject("to", 0)
		return f
	}
	f := evacuated(0)
	f.backOff(f.to, time.Minute)
	must.Eq(t, "from", f.next(0))
	must.Eq(t, "from", f.next(evacuationGrace))
	must.Eq(t, "", f.next(evacuationGrace+time.Millisecond))

	f = evacuated(0)
	f.backOff(f.to, evacuationPatience/2)
	must.Eq(t, "", f.next(0))
	must.Eq(t, "to", f.next(evacuationPatience/2))

	f = evacuated(evacuationGrace / 2)
	f.backOff(f.to, evacuationPatience*3/4) // later than the source may be used
	must.Eq(t, "from", f.next(0))

	f = newKeptFixture()
	f.r.g.Fleet.Evacuate("a") // it is not known since when
	f.backOff(f.to, time.Minute)
	must.Eq(t, "", f.next(0))
}

// A run that may be repeated has no need of an evacuated engine.
func TestRepeatableRunObeysEvacuationsAtOnce(t *testing.T) {
	f := newKeptFixture()
	f.r.c.route.Resumable = true
	f.r.g.Fleet.EvacuateAt(f.now, "a")
	f.backOff(f.to, time.Minute)
	must.Eq(t, "", f.next(0))
}
