package ownerlink

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// One instance finds a plain target slowed down. The others call it every second or two, and learn of it only from that instance.
func TestSlowdownReachesPeers(t *testing.T) {
	members, _ := site(t, 1, "a", "b", "c")
	target := fleet.Info{ID: "p", Born: 7, Service: "plain", Domain: "z0", Slots: 6}
	before := time.Now()
	for _, m := range members {
		m.Fleet.SetSpecs(map[string]fleet.Spec{"plain": {}})
		m.Fleet.Apply(before, []fleet.Info{target}, nil, 0)
	}
	members["a"].AnnounceSlowdown(fleet.Info{ID: "p", Born: 6}, 4) // of an earlier incarnation
	must.Eq(t, 1, members["b"].Fleet.KnownState(before, "p").Plain.Slowdown)
	members["a"].AnnounceSlowdown(target, 2.5)
	for _, name := range []string{"b", "c"} {
		must.Eq(t, 2.5, members[name].Fleet.KnownState(before, "p").Plain.Slowdown)
	}
}

// A notice names no target, an unknown one or an absurd slowdown. Nothing may change.
func TestInvalidSlowdownNoticeIsIgnored(t *testing.T) {
	m := newMember(t, "a")
	now := time.Now()
	m.Fleet.SetSpecs(map[string]fleet.Spec{"plain": {}})
	m.Fleet.Apply(now, []fleet.Info{{ID: "p", Service: "plain"}}, nil, 0)
	for _, s := range []*ownerpb.Slowed{{}, {Target: "x", Percent: 250}, {Target: "p"}, {Target: "p", Percent: 1 << 31}} {
		m.handleSuspects(&ownerpb.Suspects{Slowed: []*ownerpb.Slowed{s}})
	}
	must.Eq(t, 1, m.Fleet.KnownState(now, "p").Plain.Slowdown)
}

// All targets of a large site are slowed down for long. Each instance keeps to its share of what all may send together.
func TestSlowdownNoticesAreBounded(t *testing.T) {
	l := newMember(t, "a").Link
	l.addrByName = make(map[string]string)
	for i := range 430 {
		l.addrByName[strings.Repeat("i", i+1)] = ""
	}
	now, sent := time.Now(), 0
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		if l.allowSlowdown(now) {
			sent++
		}
	}
	must.LessEq(t, slowdownBurst+int(100*maxSlowdownRate)/430+1, sent)
}

// A notice is sent to each instance: it must stay small.
func TestSlowdownNoticeIsSmall(t *testing.T) {
	l := newMember(t, "front-nl-1").Link
	d := l.newDatagram()
	d.Body = &ownerpb.Datagram_Suspects{Suspects: &ownerpb.Suspects{
		Slowed: []*ownerpb.Slowed{{Target: "i-23f8e57db6", Born: time.Now().UnixMilli(), Percent: 250}},
	}}
	t.Logf("%d bytes", proto.Size(d))
	must.LessEq(t, 100, proto.Size(d))
}
