package ownerlink

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// An instance observes an engine's pace. The owner must know the slowdown within one report interval and the event time after some, and
// so must the candidate that takes over if the owner is lost.
func TestCandidatesLearnRates(t *testing.T) {
	members, s := site(t, 2, "a", "b", "c")
	third := members[s.Ranked[2].Name]
	third.runs.Store(&[]owner.Run{{ID: 1, Target: "e0", Tokens: 100}})
	start := time.Now()
	third.RecordPace(owner.Pace{Target: "e0", Slowdown: 2.5})
	third.ScheduleReport()
	for _, in := range s.Ranked[:reportedCandidates] {
		rates := members[in.Name].Coordinator.Rates()
		eventually(t, func() bool { return rates.Rate(time.Now(), "s", "e0").Slowdown == 2.5 })
	}
	must.Less(t, owner.ReportInterval, time.Since(start))
	for _, in := range s.Ranked[:reportedCandidates] {
		rates := members[in.Name].Coordinator.Rates()
		eventually(t, func() bool {
			third.RecordPace(owner.Pace{Target: "e0", Shortest: 20 * time.Millisecond, Longest: 30 * time.Millisecond, Slowdown: 1})
			return rates.Rate(time.Now(), "s", "e0").Own
		})
		// The first observations may have been divided by the slowdown.
		must.Between(t, 8*time.Millisecond, rates.Rate(time.Now(), "s", "e0").EventTime, 21*time.Millisecond)
	}
}

// Paces with impossible figures, names of engines that don't exist, and many of them in one report break nothing, and set no estimate.
func TestAbsurdPacesBreakNothing(t *testing.T) {
	members, s := site(t, 2, "a")
	a := members["a"]
	conn, err := net.ListenUDP("udp4", nil)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	absurd := []*ownerpb.Pace{
		{}, {Target: "e0"}, {Target: "nobody", ShortestUs: 20_000, LongestUs: 20_000, SlowdownPermille: 2000},
		{Target: "e0", ShortestUs: math.MaxUint32, LongestUs: math.MaxUint32, SlowdownPermille: math.MaxUint32, SlowdownAgeMs: math.MaxUint32},
		{Target: "e0", ShortestUs: 2, LongestUs: 1, SlowdownPermille: 100_001},
	}
	send := func(seq uint64, paces []*ownerpb.Pace) {
		b, err := proto.Marshal(&ownerpb.Datagram{
			Instance: "x", Incarnation: 1, Addr: conn.LocalAddr().String(),
			Body: &ownerpb.Datagram_Report{Report: &ownerpb.Report{
				Shard: s.Key, Seq: seq, Paces: paces,
				Runs: []*ownerpb.Run{{Id: 1, Target: "e0", Tokens: uint32(1000 * seq)}},
			}},
		})
		must.NoError(t, err)
		_, err = conn.WriteToUDPAddrPort(b, netip.MustParseAddrPort(a.Self.Addr))
		must.NoError(t, err)
	}
	for i := range absurd {
		send(uint64(i+1), absurd[i:i+1])
	}
	send(6, absurd)
	var many []*ownerpb.Pace
	for i := range 400 {
		many = append(many, &ownerpb.Pace{Target: fmt.Sprint("x", i), SlowdownPermille: 3000})
	}
	send(7, many)
	eventually(t, func() bool { return a.Fleet.KnownState(time.Now(), "e0").Load.Tokens == 7000 })
	rates := a.Coordinator.Rates()
	must.Eq(t, 0, rates.Own())
	must.Eq(t, enginerate.Rate{Slowdown: 1}, rates.Rate(time.Now(), "s", "e0"))
	must.Eq(t, enginerate.Rate{Slowdown: 1}, rates.Rate(time.Now(), "s", "nobody"))
	_, err = a.Place(t.Context(), placeRequest(10))
	must.NoError(t, err)
}

// A change-driven report must carry no paces except a slowdown that has just changed; at rest no report carries any. Otherwise reports,
// of which there may be tens a second, grow.
func TestPacesAreReportedOncePerInterval(t *testing.T) {
	c := newPaceCollector()
	now := time.Now()
	s := &owner.Shard{Key: "k"}
	shardOf := func(engine string) *owner.Shard {
		if engine == "elsewhere" {
			return nil
		}
		return s
	}
	observed := owner.Pace{Target: "e0", Shortest: 20 * time.Millisecond, Longest: 60 * time.Millisecond}
	c.record(now, observed)
	c.record(now, owner.Pace{Target: "e0", Shortest: 30 * time.Millisecond, Longest: 40 * time.Millisecond, Slowdown: 1})
	c.record(now, owner.Pace{Target: "e0", Longest: 10 * time.Millisecond})
	c.record(now, owner.Pace{Target: "elsewhere", Slowdown: 2})
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), 1e9} {
		c.record(now, owner.Pace{Target: "e0", Slowdown: bad})
	}
	must.MapEmpty(t, c.take(now, false, shardOf))
	c.record(now, owner.Pace{Target: "e0", Slowdown: 2})
	must.Eq(t, map[string][]owner.Pace{"k": {{Target: "e0", Slowdown: 2}}}, c.take(now, false, shardOf))
	must.MapEmpty(t, c.take(now, false, shardOf))
	observed.Slowdown, observed.SlowdownAge = 2, 200*time.Millisecond
	must.Eq(t, map[string][]owner.Pace{"k": {observed}}, c.take(now.Add(200*time.Millisecond), true, shardOf))
	must.MapEmpty(t, c.take(now, true, shardOf))
	for i := range 2 * maxTrackedPaces {
		c.record(now, owner.Pace{Target: fmt.Sprint("e", i), Slowdown: 1})
	}
	must.MapLen(t, maxTrackedPaces, c.byTarget)
	must.Len(t, maxReportedPaces, c.take(now, true, shardOf)["k"])
}

// Paces must arrive as they were sent: a unit lost on the way would make an engine a thousand times faster.
func TestPaceRoundTrip(t *testing.T) {
	sent := owner.Report{Paces: []owner.Pace{
		{Target: "e0", Shortest: 20_500 * time.Microsecond, Longest: 1200 * time.Millisecond, Slowdown: 2.5, SlowdownAge: 90 * time.Millisecond},
		{Target: "e1", Slowdown: 0.95},
	}}
	b, err := proto.Marshal(encodeReport(&sent))
	must.NoError(t, err)
	var r ownerpb.Report
	must.NoError(t, proto.Unmarshal(b, &r))
	must.Eq(t, sent.Paces, decodeReport(new(ownerpb.Datagram), &r).Paces)
}
