package admit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
)

func placerOf(kv int, ids ...string) Placer {
	f := fleet.New("z")
	f.SetSpecs(map[string]fleet.Spec{service: {KVTokens: kv}})
	for _, id := range ids {
		f.Apply(start, []fleet.Info{{ID: id, Service: service, Domain: "z", Slots: 24}}, nil, 0)
	}
	return Placer{Fleet: f, Prefill: new(PrefillRates)}
}

func streamOf(aim time.Duration) Stream {
	return Stream{Arrived: start, Objective: aim, MaxRetryAfter: keeps, Need: fleet.Need{
		Service: service, Tokens: 500, Unread: 500, Peak: fleet.Size{Held: 500},
	}}
}

// A stream waits for room, then is told to come back within what its caller keeps to; it never waits its whole time out.
func TestWaitsThenIsToldToComeBack(t *testing.T) {
	p := placerOf(1000, "e")
	p.Fleet.SetPeerLoad(start, "peer", nil, map[string][]fleet.Size{"e": {{Held: 900}}})
	s := streamOf(time.Second)
	must.Eq(t, Wait, p.Step(start, s).Action)
	must.Eq(t, Wait, p.Step(start.Add(599*time.Millisecond), s).Action)
	for range 20 {
		d := p.Step(start.Add(600*time.Millisecond), s)
		must.Eq(t, RetryLater, d.Action)
		must.Between(t, awayMin, d.RetryAfter, keeps)
	}
	s.MaxRetryAfter = 400 * time.Millisecond
	must.Eq(t, s.MaxRetryAfter, p.Step(start.Add(time.Second), s).RetryAfter)
}

// A stream that came back is past its aim. It waits for three of them, but for no more than half of what its caller has left,
// and prompts read before its own may take as long as for one that has just come.
func TestWhoCameBackWaitsForLonger(t *testing.T) {
	p := placerOf(1000, "e")
	p.Fleet.SetPeerLoad(start, "peer", nil, map[string][]fleet.Size{"e": {{Held: 900}}})
	s := streamOf(time.Second)
	s.IsRetry = true
	must.Eq(t, Wait, p.Step(start.Add(2999*time.Millisecond), s).Action)
	must.Eq(t, RetryLater, p.Step(start.Add(3*time.Second), s).Action)
	s.MaxRetryAfter = time.Second // a third of what is left
	must.Eq(t, Wait, p.Step(start.Add(1499*time.Millisecond), s).Action)
	must.Eq(t, RetryLater, p.Step(start.Add(1500*time.Millisecond), s).Action)
	p.Fleet.SetPeerLoad(start, "peer", nil, nil)
	must.Eq(t, Admit, p.Step(start.Add(1400*time.Millisecond), s).Action)
}

// Engines stand free: the first look takes room, and nothing is refused or left to chance.
func TestFreeEnginesAreTakenAtOnce(t *testing.T) {
	for range 20 {
		p := placerOf(1000, "a", "b", "c")
		must.Eq(t, Admit, p.Step(start, streamOf(time.Second)).Action)
	}
}

// A route names no aim. Its streams can't be late: they are not refused for want of time, nor kept waiting for it.
func TestNoAimIsNotAnAimOfZero(t *testing.T) {
	p := placerOf(1000, "e")
	p.Prefill.Observe(service, 100, time.Second)
	p.Fleet.SetPeerLoad(start, "peer", map[string]fleet.Load{"e": {Runs: 1, Unread: 300}}, nil)
	must.Eq(t, Admit, p.Step(start, streamOf(0)).Action)
	p.Fleet.SetPeerLoad(start, "peer", nil, map[string][]fleet.Size{"e": {{Held: 900}}})
	must.Eq(t, Fallback, p.Step(start, streamOf(0)).Action)
}

// No engine is listed: an instance that was just started may know a list that still fills, and must not refuse.
func TestNoEngineIsNotWantOfRoom(t *testing.T) {
	p := placerOf(1000)
	must.Eq(t, Fallback, p.Step(start.Add(time.Second), streamOf(time.Second)).Action)
}
