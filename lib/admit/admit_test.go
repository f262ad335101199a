package admit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
)

func newTestPlacer(kv int, ids ...string) Placer {
	f := fleet.New("z")
	f.SetSpecs(map[string]fleet.Spec{service: {KVTokens: kv}})
	for _, id := range ids {
		f.Apply(start, []fleet.Info{{ID: id, Service: service, Domain: "z", Slots: 24}}, nil, 0)
	}
	return Placer{Fleet: f, Prefill: new(PrefillRates)}
}

func newTestStream(objective time.Duration) Stream {
	return Stream{Arrived: start, Objective: objective, MaxRetryAfter: maxRetryAfter, Need: fleet.Need{
		Service: service, Tokens: 500, Unread: 500, Peak: fleet.Size{Held: 500},
	}}
}

// A stream waits for capacity and is then rejected with a retry time that its caller respects; it never waits for its whole objective.
func TestWaitsThenIsRejectedWithRetryAfter(t *testing.T) {
	p := newTestPlacer(1000, "e")
	p.Fleet.SetPeerLoad(start, "peer", nil, map[string][]fleet.Size{"e": {{Held: 900}}})
	s := newTestStream(time.Second)
	must.Eq(t, Wait, p.Step(start, s).Action)
	must.Eq(t, Wait, p.Step(start.Add(599*time.Millisecond), s).Action)
	for range 20 {
		d := p.Step(start.Add(600*time.Millisecond), s)
		must.Eq(t, RetryLater, d.Action)
		must.Between(t, MinRetryAfter, d.RetryAfter, maxRetryAfter)
	}
	s.MaxRetryAfter = 400 * time.Millisecond
	must.Eq(t, s.MaxRetryAfter, p.Step(start.Add(time.Second), s).RetryAfter)
}

// A retried stream is past its objective. It waits for three objectives, but for at most half of the time its caller has left, and may wait
// for as much prefill as a new stream.
func TestRetriedStreamWaitsLonger(t *testing.T) {
	p := newTestPlacer(1000, "e")
	p.Fleet.SetPeerLoad(start, "peer", nil, map[string][]fleet.Size{"e": {{Held: 900}}})
	s := newTestStream(time.Second)
	s.IsRetry = true
	must.Eq(t, Wait, p.Step(start.Add(2999*time.Millisecond), s).Action)
	must.Eq(t, RetryLater, p.Step(start.Add(3*time.Second), s).Action)
	s.MaxRetryAfter = time.Second // a third of what is left
	must.Eq(t, Wait, p.Step(start.Add(1499*time.Millisecond), s).Action)
	must.Eq(t, RetryLater, p.Step(start.Add(1500*time.Millisecond), s).Action)
	p.Fleet.SetPeerLoad(start, "peer", nil, nil)
	must.Eq(t, Admit, p.Step(start.Add(1400*time.Millisecond), s).Action)
}

// With free engines the first step admits the stream.
func TestFreeEnginesAdmitImmediately(t *testing.T) {
	for range 20 {
		p := newTestPlacer(1000, "a", "b", "c")
		must.Eq(t, Admit, p.Step(start, newTestStream(time.Second)).Action)
	}
}

// A stream without an objective can't be late: it is neither rejected nor delayed for lack of time.
func TestNoObjectiveIsNotZeroObjective(t *testing.T) {
	p := newTestPlacer(1000, "e")
	p.Prefill.Observe(service, 100, time.Second)
	p.Fleet.SetPeerLoad(start, "peer", map[string]fleet.Load{"e": {Runs: 1, Unread: 300}}, nil)
	must.Eq(t, Admit, p.Step(start, newTestStream(0)).Action)
	p.Fleet.SetPeerLoad(start, "peer", nil, map[string][]fleet.Size{"e": {{Held: 900}}})
	must.Eq(t, Fallback, p.Step(start, newTestStream(0)).Action)
}

// No engine is listed: the list of an instance that has just started may still be incomplete, so it must not reject.
func TestNoEngineFallsBack(t *testing.T) {
	p := newTestPlacer(1000)
	must.Eq(t, Fallback, p.Step(start.Add(time.Second), newTestStream(time.Second)).Action)
}
