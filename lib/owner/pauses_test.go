package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

const gapObjective = 180 * time.Millisecond

// newUnevenLedger returns a ledger for engines of two speeds: the first takes 16 ms for an event, the others 36 ms. Beside a prompt, the
// longest pause is five times as long in one interval of five.
func newUnevenLedger(n int) (*Ledger, *fleet.Fleet, *Shard, time.Time) {
	l, f, s := newTestLedger(n)
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv, GapObjective: gapObjective, TokensPerEvent: 4}})
	now := t0
	for i := range 40 {
		now = now.Add(ReportInterval)
		r := report(s, "i", uint64(i+1))
		for k, id := range s.Engines() {
			event := 36 * time.Millisecond
			if k == 0 {
				event = 16 * time.Millisecond
			}
			longest := 2 * event
			if i%5 == 0 {
				longest = 5 * event
			}
			r.Paces = append(r.Paces, Pace{Target: id, Shortest: event, Longest: longest})
			r.Runs = append(r.Runs, Run{ID: uint64(k), Target: id, Unread: 1})
			r.PrefillSamples = append(r.PrefillSamples, PrefillSample{Service: "s", Target: id, Unread: 100, Took: 100 * event / 200})
		}
		l.Report(now, r)
	}
	l.Report(now, report(s, "i", 41))
	return l, f, s, now
}

func pauseRequest(id uint64, now time.Time, tokens, remaining int) PlaceRequest {
	req := placeRequest("requester", id, tokens)
	req.Stream.Arrived, req.Stream.GapObjective = now, gapObjective
	req.Stream.Need.Peak = fleet.Size{Held: tokens, Remaining: remaining}
	return req
}

func place(t *testing.T, l *Ledger, s *Shard, now time.Time, req PlaceRequest) string {
	t.Helper()
	a, ok := l.Place(now, s, req)
	must.True(t, ok)
	must.Eq(t, admit.Admit, a.Action)
	return a.Target
}

// The fast engine carries a long run, the slow ones are empty. By memory alone, a further long stream goes to a slow engine, where prompts
// that join it make it late. It must go to the fast one, and a short stream to a slow engine, which leaves the fast room to long ones.
func TestLongStreamsGoToFastEngines(t *testing.T) {
	l, _, s, now := newUnevenLedger(3)
	fast := s.Engines()[0]
	for id := range uint64(3) {
		must.Eq(t, fast, place(t, l, s, now, pauseRequest(1+id, now, 600, 700)))
		must.NotEq(t, fast, place(t, l, s, now, pauseRequest(100+id, now, 400, 4)))
	}
}

// One of two slow engines carries a long run, the other one more memory in short runs. A prompt must not join the long run: it would make
// the run's pauses longer than the objective.
func TestPromptsAvoidLongRunsOnSlowEngines(t *testing.T) {
	l, _, s, now := newUnevenLedger(3)
	fast, long, short := s.Engines()[0], s.Engines()[1], s.Engines()[2]
	l.Report(now, report(s, "j", 1, Run{ID: 1, Target: fast, Tokens: kv},
		Run{ID: 2, Target: long, Tokens: 1000, Remaining: 600}, Run{ID: 3, Target: short, Tokens: 3000, Remaining: 2}))
	must.Eq(t, short, place(t, l, s, now, pauseRequest(1, now, 500, 4)))
}

// The cost only orders engines. A stream that finds only engines where it makes others late is placed all the same, at once.
func TestCostRefusesNothing(t *testing.T) {
	l, _, s, now := newUnevenLedger(2)
	fast, slow := s.Engines()[0], s.Engines()[1]
	l.Report(now, report(s, "j", 1, Run{ID: 1, Target: fast, Tokens: kv},
		Run{ID: 2, Target: slow, Tokens: 1000, Remaining: 600}, Run{ID: 3, Target: slow, Tokens: 1000, Remaining: 600}))
	must.Eq(t, slow, place(t, l, s, now, pauseRequest(1, now, 500, 600)))
}

// Engines are never filled beyond their memory for the sake of pauses: when the fast engine is full, a long stream goes elsewhere.
func TestFastEngineIsNotOverfilled(t *testing.T) {
	l, f, s, now := newUnevenLedger(3)
	for id := range uint64(8) {
		place(t, l, s, now, pauseRequest(1+id, now, 1000, 1500))
	}
	for _, id := range s.Engines() {
		must.LessEq(t, kv, f.KnownState(now, id).Load.Tokens, must.Sprint(id))
	}
}

// Without an objective for pauses, or for a run that is moved, decisions are as they were: the empty engine is chosen, slow or not.
func TestWithoutObjectiveMemoryDecides(t *testing.T) {
	for name, change := range map[string]func(*PlaceRequest){
		"no objective": func(r *PlaceRequest) { r.Stream.GapObjective = 0 },
		"moved run":    func(r *PlaceRequest) { r.Mode = MustFit },
	} {
		l, _, s, now := newUnevenLedger(2)
		fast, slow := s.Engines()[0], s.Engines()[1]
		l.Report(now, report(s, "j", 1, Run{ID: 1, Target: fast, Tokens: 2000, Remaining: 600}))
		req := pauseRequest(1, now, 500, 600)
		change(&req)
		must.Eq(t, slow, place(t, l, s, now, req), must.Sprint(name))
	}
}

// A slow engine needs longer for the prompts that wait there than the median of its service. A further prompt must not be sent there if it
// would start too late, although the service's rate allows it.
func TestPromptsWaitingOnSlowEngineAreLimitedByItsRate(t *testing.T) {
	l, f, s, now := newUnevenLedger(2)
	fast, slow := s.Engines()[0], s.Engines()[1]
	l.Report(now, report(s, "j", 1, Run{ID: 1, Target: fast, Tokens: kv}, Run{ID: 2, Target: slow, Tokens: 2500, Unread: 2500}))
	must.Eq(t, 2500, f.KnownState(now, slow).Load.Unread)
	for range 100 {
		l.prefillRates.Observe("s", 1000, 80*time.Millisecond) // 0.6 s are enough for 7,500 tokens; the slow engine needs 0.18 ms for each
	}
	req := pauseRequest(1, now, 2500, 4)
	_, ok := l.Place(now, s, req)
	must.False(t, ok)
	req.Key.ID, req.Stream.GapObjective = 2, 0
	_, ok = l.Place(now, s, req)
	must.True(t, ok)
}

// Engines come and go for months. What is kept for each of them must not grow without bound.
func TestPauseCostsAreBounded(t *testing.T) {
	c := newPauseCosts()
	for i := range 2 * maxPausedEngines {
		c.granted(t0, fmt.Sprint("s", i), fmt.Sprint("e", i), 100)
	}
	must.MapLen(t, maxPausedEngines, c.joining)
	must.InDelta(t, 100/joiningWindow.Seconds(), c.joining["e0"].perSecond(t0), 0.01)
	c.tick(t0.Add(4*joiningWindow + 1))
	must.MapLen(t, 0, c.joining)
	must.MapLen(t, 0, c.shards)
}

// An instance owns two shards whose streams have the same objectives, and decides for them in turn. The estimates of both are kept: reading
// those of all engines for each decision takes longer than the decision.
func TestEstimatesOfTwoShardsAreKept(t *testing.T) {
	c := newPauseCosts()
	k := objectives{own: gapObjective, others: gapObjective}
	one, other := []string{"a"}, []string{"b"}
	first := c.estimatesFor(t0, "one", k, one)
	c.estimatesFor(t0, "other", k, other)
	must.True(t, first == c.estimatesFor(t0, "one", k, one))
}
