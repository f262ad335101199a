package streamcost

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
)

var (
	slowRisk = enginerate.Risk{Prefilling: 0.2, Decoding: 0.01}
	slow     = Engine{
		Rate: enginerate.Rate{EventTime: 36 * time.Millisecond, PrefillTime: 160 * time.Microsecond, Slowdown: 1},
		Own:  slowRisk, Others: slowRisk,
	}
	fast  = Engine{Rate: enginerate.Rate{EventTime: 16 * time.Millisecond, PrefillTime: 70 * time.Microsecond, Slowdown: 1}}
	long  = Stream{Unread: 3000, Remaining: 760}
	short = Stream{Unread: 2500, Remaining: 4}
	empty = Load{TokensPerEvent: 4}
	busy  = Load{
		TokensPerEvent: 4, JoiningTokens: 2000,
		Runs: []fleet.Size{{Held: 3000, Remaining: 700}, {Held: 2500}, {Held: 3000, Remaining: 90}},
	}
)

// A prompt is placed beside two long runs on an engine that exceeds the objective while it prefills: it costs both of them a part of
// their chance, and costs nothing beside a run that is about to end or on a fast engine.
func TestPromptEndangersRunsBeside(t *testing.T) {
	const once = 0.1635 // 1-0.8^(0.4 s/0.5 s)
	must.InDelta(t, 2*once, Late(slow, short, busy), 0.001)
	must.Zero(t, Late(slow, short, empty))
	must.Zero(t, Late(slow, short, Load{TokensPerEvent: 4, JoiningTokens: 2000, Runs: []fleet.Size{{Held: 2500, Remaining: 4}}}))
	must.Zero(t, Late(fast, short, busy))
	must.Zero(t, Late(fast, long, busy))
}

// A long stream is placed alone on a slow engine where prompts keep joining: it is likely to be late itself. Where none join, only
// the pauses of undisturbed decoding count.
func TestLongStreamMeetsJoiningPrompts(t *testing.T) {
	joined := Late(slow, long, Load{TokensPerEvent: 4, JoiningTokens: 2000})
	must.Between(t, 0.6, joined, 0.7)
	must.Between(t, 0.1, Late(slow, long, empty), 0.15)
	must.Greater(t, joined, Late(slow, long, busy))
}

// No rate, no risk: the order of engines stays as without the cost.
func TestNothingKnownCostsNothing(t *testing.T) {
	must.Zero(t, Late(Engine{Rate: slow.Rate}, long, busy))
	must.Zero(t, Late(Engine{Rate: enginerate.Rate{Slowdown: 1}, Own: slowRisk, Others: slowRisk}, long, busy))
}

// Reports of other instances and estimates may hold any figure. The cost must stay a finite bounded number; otherwise one engine
// would always or never be chosen.
func TestCostIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration { return time.Duration(rapid.Int64().Draw(t, name)) }
		risk := enginerate.Risk{Prefilling: rapid.Float64().Draw(t, "prefilling"), Decoding: rapid.Float64().Draw(t, "decoding")}
		e := Engine{
			Rate: enginerate.Rate{EventTime: duration("event"), PrefillTime: duration("prefill"), Slowdown: rapid.Float64().Draw(t, "slowdown")},
			Own:  risk, Others: risk,
		}
		s := Stream{Unread: rapid.Int().Draw(t, "unread"), Remaining: rapid.Int().Draw(t, "remaining")}
		l := Load{TokensPerEvent: rapid.IntRange(-1, 9).Draw(t, "tokens"), JoiningTokens: rapid.Float64Min(0).Draw(t, "joining")}
		for range rapid.IntRange(0, 9).Draw(t, "runs") {
			l.Runs = append(l.Runs, fleet.Size{Remaining: rapid.Int().Draw(t, "left")})
		}
		cost := Penalty(e, s, l)
		if !(cost >= 0 && cost <= maxCost) {
			t.Fatalf("cost %v", cost)
		}
	})
}
