package ownerlink

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// awaitAgreement waits until all members consider the first candidate the owner: before its heartbeats arrive, each candidate considers
// itself the owner.
func awaitAgreement(t *testing.T, members map[string]*member, s *owner.Shard) {
	t.Helper()
	for name, m := range members {
		eventually(t, func() bool {
			to, other := m.otherOwner(time.Now(), s)
			return to.Name == s.Ranked[0].Name && other == (name != to.Name)
		})
	}
}

// limitedSite returns a site with two plain targets, of which the first states a limit.
func limitedSite(t *testing.T, running ...string) (map[string]*member, fleet.Info, *owner.Shard) {
	t.Helper()
	members, _ := site(t, 1, running...)
	plain := []fleet.Info{{ID: "p1", Service: "p", Domain: "z0", Slots: 6}, {ID: "p2", Service: "p", Domain: "z0", Slots: 6}}
	var list []owner.Instance
	for _, name := range []string{"a", "b", "c"} {
		list = append(list, members[name].Self)
	}
	p := owner.NewPartition()
	p.SetInstances(list)
	layout := p.SetServices(nil, []string{"p"}, nil)
	for _, m := range members {
		m.Fleet.Apply(time.Now(), plain, nil, 0)
		m.SetLayout(layout)
	}
	return members, plain[0], layout.PermitShard(plain[0])
}

func receiveLimit(m *member, t fleet.Info, perSecond float64) bool {
	now := time.Now()
	w := fleet.LimitNotice{Limit: fleet.Limit{On: true, PerSecond: perSecond}, RequestedAt: now, ReceivedAt: now}
	changed := m.Fleet.ApplyLimit(t.ID, w)
	m.ReportLimit(t, changed)
	return changed
}

// One instance receives a limit. All others learn of it, and of its end, without a request to the target.
func TestLimitAndItsEndReachAllInstances(t *testing.T) {
	members, p1, s := limitedSite(t, "a", "b", "c")
	awaitAgreement(t, members, s)
	last := members[s.Ranked[2].Name]
	must.True(t, receiveLimit(last, p1, 5))
	for _, m := range members {
		eventually(t, func() bool { return m.Fleet.LimitOf("p1").Limit == fleet.Limit{On: true, PerSecond: 5} })
	}
	time.Sleep(time.Millisecond)
	now := time.Now()
	must.True(t, last.Fleet.ApplyLimit("p1", fleet.LimitNotice{RequestedAt: now, ReceivedAt: time.Now()}))
	last.ReportLimit(p1, true)
	for _, m := range members {
		eventually(t, func() bool { return !m.Fleet.LimitOf("p1").On })
	}
}

// All instances request as many permits as they can: together they get what the target accepts. When the owner is gone, the next
// candidate grants them.
func TestPermitsOfAllInstancesAreWithinALimit(t *testing.T) {
	for name, running := range map[string][]int{"all": {0, 1, 2}, "owner gone": {1, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			members, p1, s := limitedSite(t)
			for _, i := range running {
				members[s.Ranked[i].Name].start(t)
			}
			for _, i := range running {
				receiveLimit(members[s.Ranked[i].Name], p1, 10)
			}
			given := 0
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				for _, i := range running {
					p, err := members[s.Ranked[i].Name].RequestPermit(t.Context(), p1, false)
					if err == nil && p.Granted {
						given++
					}
				}
			}
			must.Between(t, 15, given, 24)
		})
	}
}

// An owner that has just started knows no limit. It learns of it from permit requests.
func TestOwnerLearnsLimitFromPermitRequests(t *testing.T) {
	members, p1, s := limitedSite(t, "a", "b", "c")
	now := time.Now()
	asker := members[s.Ranked[1].Name]
	asker.Fleet.ApplyLimit("p1", fleet.LimitNotice{Limit: fleet.Limit{On: true, PerSecond: 1}, RequestedAt: now, ReceivedAt: now})
	given := 0
	for range 10 {
		p, err := asker.RequestPermit(t.Context(), p1, false)
		must.NoError(t, err)
		if p.Granted {
			given++
		}
	}
	must.LessEq(t, 3, given)
	must.True(t, members[s.Ranked[0].Name].Fleet.LimitOf("p1").On)
}

// Invalid limits change nothing and cause no failure.
func TestInvalidLimitsAreIgnored(t *testing.T) {
	members, p1, _ := limitedSite(t, "a")
	m := members["a"]
	receiveLimit(m, p1, 5)
	for _, w := range []*ownerpb.LimitWord{
		nil,
		{},
		{Target: "gone", On: true, PerSecond: 1},
		{Target: "p1", On: true, PerSecond: math.NaN()},
		{Target: "p1", On: true, PerSecond: -1},
		{Target: "p1", On: true, PerSecond: math.Inf(1)},
		{Target: "p1", AskedAgoUs: math.MaxUint64, HeardAgoUs: math.MaxUint64},
	} {
		d := m.newDatagram()
		d.Instance = "b"
		d.Body = &ownerpb.Datagram_Limits{Limits: &ownerpb.Limits{Words: []*ownerpb.LimitWord{w}}}
		m.handle(d)
		d.Body = &ownerpb.Datagram_PermitAsk{PermitAsk: &ownerpb.PermitAsk{Id: 1, Service: "p", Word: w}}
		m.handle(d)
		must.Eq(t, fleet.Limit{On: true, PerSecond: 5}, m.Fleet.LimitOf("p1").Limit)
	}
	d := m.newDatagram()
	d.Instance = "b"
	d.Body = &ownerpb.Datagram_Limits{}
	m.handle(d)
	d.Body = &ownerpb.Datagram_PermitAsk{}
	m.handle(d)
}

// A plain target tells one instance that it leaves. The others, which may send it nothing for long, are informed.
func TestAnnouncedLeaveReachesAllInstances(t *testing.T) {
	for rank := range 3 {
		members, p1, s := limitedSite(t, "a", "b", "c")
		awaitAgreement(t, members, s)
		members[s.Ranked[rank].Name].NotifyLeaving(p1)
		for i := range 3 {
			if i == rank {
				continue // it sent the announcement
			}
			select {
			case id := <-members[s.Ranked[i].Name].left:
				must.Eq(t, "p1", id)
			case <-time.After(5 * time.Second):
				t.Fatal("instance was not informed of the leaving target")
			}
		}
	}
}
