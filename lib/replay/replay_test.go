package replay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// replay plays a load with several seeds.
func replay(t *testing.T, name string, l Pattern, p Policy) Tally {
	t.Helper()
	seeds := uint64(4)
	switch {
	case l.Instances > 150:
		seeds = 1 // it plays eight times the streams
	case l.Instances > 60:
		seeds = 2
	}
	var sum Tally
	for seed := range seeds {
		sum.Add(Simulate(l, p, seed))
	}
	t.Logf("%-12s %+v: %.3f in time", name, sum, sum.Share())
	return sum
}

// Engines leave in groups while memory is short. Callers get their first event in time, or are told at once to come
// back; with any part of the decision taken out, clearly fewer do.
func TestEnginesLeaveInGroups(t *testing.T) {
	all := replay(t, "all", Saturated(), Policy{})
	must.Greater(t, 0.82, all.Share())
	for name, without := range map[string]Policy{
		"slow news": {Way: News, SlowNews: true}, "no reading": {NoReading: true}, "force": {Force: true},
	} {
		must.Greater(t, replay(t, name, Saturated(), without).Share()+0.03, all.Share(), must.Sprint(name))
	}
}

// Short urgent streams come in a burst, three times as many for 3 s, onto engines full of long runs. They are answered in
// time, and the long ones that come meanwhile don't pay for it with more than they do.
func TestBurstOfShortStreams(t *testing.T) {
	got := replay(t, "burst", Bursts(), Policy{})
	shorts := float64(got.InTime-got.LongsInTime) / float64(got.Streams-got.Longs)
	longs := float64(got.LongsInTime) / float64(got.Longs)
	must.Greater(t, 0.85, shorts)
	must.Greater(t, 0.85, longs)
}

// Prompts come in bunches: all of two seconds' streams within 0.2 s. They spread over the engines and wait for each other,
// and nearly all begin in time, although an engine has a second of reading to do at once.
func TestPromptsInBunches(t *testing.T) {
	must.Greater(t, 0.85, replay(t, "bunches", ArrivalSpikes(), Policy{}).Share())
}

// Half of the instances end at once with what they serve. The others believe their last news for a while, then use the
// room that has become free, and serve all that comes.
func TestHalfOfTheInstancesGone(t *testing.T) {
	got := replay(t, "half gone", HalfInstancesFail(), Policy{})
	must.Greater(t, 0.9, got.Share())
}

// Traffic is a third over what the engines carry for ten seconds. Callers that were told to come back do so once, at times
// that are spread. Four in five of them that are not lost with an engine then begin.
func TestCallersComeBack(t *testing.T) {
	got := replay(t, "come back", TransientOverload(), Policy{})
	must.Greater(t, 50, got.CameBack)
	must.Greater(t, 4*got.Away, got.ServedBack)
}

// Memory is short, and callers of short streams leave after 6 s, so that those told to come back do so within two seconds,
// while engines are still full. Placed before others they were late all the same and made those late, too: 0.80 in time.
// They wait for longer, behind those that can still begin in time, and few callers have nothing in the end.
func TestHurriedCallersWait(t *testing.T) {
	got := replay(t, "hurried", ShortTimeouts(), Policy{})
	must.Greater(t, 0.83, got.Share())
	must.Less(t, got.Streams/50, got.Away)
}

// Engines leave a failure domain at a time, so that its shard is full while others have room. Streams that wait are passed on
// to that room; where they stayed with their shard a tenth fewer began in time. All told of all do no better, with ten
// times the messages.
func TestFullShardPassesStreamsOn(t *testing.T) {
	l := DomainsLeaveInTurn()
	owners := replay(t, "owners", l, Policy{})
	for name, p := range map[string]Policy{"stay": {Stay: true}, "slices": {Way: Slices}} {
		must.Greater(t, replay(t, name, l, p).Share()+0.08, owners.Share(), must.Sprint(name))
	}
	news := replay(t, "news", l, Policy{Way: News})
	must.Greater(t, news.Share()-0.01, owners.Share())
	must.Less(t, news.Messages/10, owners.Messages)
}

// Each instance has a stream now and then, and decides by what engines say of themselves: all see the same free engine for
// 0.3 s, and the most of what they send there is late.
func TestReportsOfEnginesAreTooLate(t *testing.T) {
	l := SaturatedSite(72)
	l.Duration = 10 * time.Second
	must.Less(t, replay(t, "owners", l, Policy{}).Share()-0.2, replay(t, "reports", l, Policy{Way: Reports}).Share())
}

// The instances that decide end at 10 s with what they serve. Others ask in vain for 0.15 s, once; the second in rank was told
// what runs where, so that fewer streams are sent to engines that are full than where it starts from nothing.
func TestOwnersGone(t *testing.T) {
	calm := replay(t, "nobody gone", SaturatedSite(72), Policy{})
	gone := replay(t, "owners gone", OwnersFail(), Policy{})
	must.Greater(t, calm.Share()-0.03, gone.Share())
}

// A sixth of the engines fails half of what it is sent. No instance sends enough there to learn it alone; the owner hears of
// all, and a part of the failures is left.
func TestFaultyEnginesAreLeftAlone(t *testing.T) {
	owners, news := replay(t, "owners", FaultyEngines(), Policy{}), replay(t, "news", FaultyEngines(), Policy{Way: News})
	must.Less(t, news.Lost*3/4, owners.Lost)
}
