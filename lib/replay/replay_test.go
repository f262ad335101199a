package replay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simulate runs a load pattern with several seeds and sums the tallies.
func simulate(t *testing.T, name string, pattern Pattern, p Policy) Tally {
	t.Helper()
	seeds := uint64(4)
	switch {
	case pattern.Instances > 150:
		seeds = 1 // it has eight times the streams
	case pattern.Instances > 60:
		seeds = 2
	}
	var sum Tally
	for seed := range seeds {
		sum.Add(Simulate(pattern, p, seed))
	}
	t.Logf("%-12s %+v: %.3f in time", name, sum, sum.Share())
	return sum
}

// Engines leave in groups while memory is short. Most callers must get their first event in time, or are refused at once with
// a retry delay; disabling any part of the decision must clearly lower the share in time.
func TestEnginesLeaveInGroups(t *testing.T) {
	complete := simulate(t, "all", Saturated(), Policy{})
	must.Greater(t, 0.82, complete.Share())
	for name, without := range map[string]Policy{
		"slow updates": {Strategy: Broadcast, SlowUpdates: true}, "prefill ignored": {IgnorePrefill: true},
		"force": {ForceAdmit: true},
	} {
		must.Greater(t, simulate(t, name, Saturated(), without).Share()+0.03, complete.Share(), must.Sprint(name))
	}
}

// A burst of short urgent streams, three times the usual rate for 3 s, arrives while engines are full of long runs. The short
// streams must start in time without delaying the long ones that arrive meanwhile.
func TestBurstOfShortStreams(t *testing.T) {
	got := simulate(t, "burst", Bursts(), Policy{})
	shorts := float64(got.InTime-got.LongsInTime) / float64(got.Streams-got.Longs)
	longs := float64(got.LongsInTime) / float64(got.Longs)
	must.Greater(t, 0.85, shorts)
	must.Greater(t, 0.85, longs)
}

// All prompts of two seconds arrive within 0.2 s, which gives an engine a second of prefill at once. They must spread over the
// engines, and nearly all must start in time.
func TestArrivalSpikesSpreadOverEngines(t *testing.T) {
	must.Greater(t, 0.85, simulate(t, "bunches", ArrivalSpikes(), Policy{}).Share())
}

// Half of the instances fail at once with their streams. The others use the last known loads for a while; then the capacity
// must become available again and all new streams be served.
func TestHalfOfInstancesFail(t *testing.T) {
	got := simulate(t, "half failed", HalfInstancesFail(), Policy{})
	must.Greater(t, 0.9, got.Share())
}

// Traffic exceeds the engines' capacity by a third for ten seconds. Refused callers retry once, at times that are spread. Four
// in five of the retries that are not lost on an engine must then start.
func TestRefusedCallersRetry(t *testing.T) {
	got := simulate(t, "come back", TransientOverload(), Policy{})
	must.Greater(t, 50, got.Retried)
	must.Greater(t, 4*got.Refused, got.RetriedServed)
}

// Memory is short, and callers of short streams time out after 6 s, so refused ones retry within two seconds while engines are
// still full. Placing retries ahead of other streams made them and the others late: 0.80 in time. They must wait longer behind
// streams that can still start in time, and few callers may end up without an answer.
func TestCallersWithShortTimeoutsWait(t *testing.T) {
	got := simulate(t, "hurried", ShortTimeouts(), Policy{})
	must.Greater(t, 0.83, got.Share())
	must.Less(t, got.Streams/50, got.Refused)
}

// Engines leave one failure domain at a time, so its shard is full while others have capacity. Waiting streams must be
// forwarded there; without forwarding a tenth fewer started in time. Broadcasting all loads must do no better with ten times
// the messages.
func TestFullShardForwardsStreams(t *testing.T) {
	pattern := DomainsLeaveInTurn()
	owners := simulate(t, "owners", pattern, Policy{})
	for name, p := range map[string]Policy{"stay": {NoForwarding: true}, "slices": {Strategy: DomainBroadcast}} {
		must.Greater(t, simulate(t, name, pattern, p).Share()+0.08, owners.Share(), must.Sprint(name))
	}
	broadcast := simulate(t, "news", pattern, Policy{Strategy: Broadcast})
	must.Greater(t, broadcast.Share()-0.01, owners.Share())
	must.Less(t, broadcast.Messages/10, owners.Messages)
}

// Each instance rarely has a stream, and decides from the engines' own reports: for 0.3 s all instances see the same engine as
// free, and most of the streams that they send there are late.
func TestEngineReportsAreTooStale(t *testing.T) {
	p := SaturatedSite(72)
	p.Duration = 10 * time.Second
	must.Less(t, simulate(t, "owners", p, Policy{}).Share()-0.2, simulate(t, "reports", p, Policy{Strategy: EngineReports}).Share())
}

// The owners fail at 10 s with their streams. Each requester times out once, after 0.15 s; the second-ranked instance has
// received the reports of runs, so it sends fewer streams to full engines than it would without state.
func TestOwnersFail(t *testing.T) {
	baseline := simulate(t, "no failure", SaturatedSite(72), Policy{})
	failed := simulate(t, "owners fail", OwnersFail(), Policy{})
	must.Greater(t, baseline.Share()-0.03, failed.Share())
}

// A sixth of the engines fails half of its streams. No single instance sends enough there to detect it; the owner receives all
// outcomes and must avoid part of the failures.
func TestOwnerAvoidsFaultyEngines(t *testing.T) {
	owners, broadcast := simulate(t, "owners", FaultyEngines(), Policy{}),
		simulate(t, "news", FaultyEngines(), Policy{Strategy: Broadcast})
	must.Less(t, broadcast.Lost*3/4, owners.Lost)
}
