package ownerlink

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

const kv = 10_000

// member is an instance with a link on loopback.
type member struct {
	*Link
	runs      atomic.Pointer[[]owner.Run]
	left      chan string
	knownLeft sync.Map // targets whose leaving it was informed of
	blamed    atomic.Int32

	restarted chan string
	stop      context.CancelFunc
	done      chan struct{}

	running atomic.Bool
}

// newMember returns an instance that does not run yet.
func newMember(t *testing.T, name string) *member {
	t.Helper()
	f := fleet.New("z0")
	f.SetSpecs(map[string]fleet.Spec{"s": {KVTokens: kv}})
	m := &member{left: make(chan string, 100), restarted: make(chan string, 100), done: make(chan struct{})}
	m.runs.Store(new([]owner.Run))
	f.SetSizes(func(target string) (out []fleet.Size) {
		for _, r := range *m.runs.Load() {
			if r.Target == target {
				out = append(out, fleet.Size{Held: r.Tokens, Remaining: r.Remaining})
			}
		}
		return out
	})
	link, err := New(Config{
		Self: owner.Instance{Name: name, Domain: "z0", Addr: "127.0.0.1:0", Capacity: 1}, Incarnation: 1, Fleet: f,
		Coordinator: owner.NewCoordinator(name, f, new(admit.PrefillRates), time.Now()),
		Gather: func(of func(string) *owner.Shard) map[string]owner.Report {
			return owner.ByShard(of, *m.runs.Load(), nil)
		},
		MoveLink: func(string) (moveplan.Link, bool) {
			return moveplan.Link{TokensPerSecond: 10_000, CrossDomainFactor: 2}, true
		},
		OnLeft: func(t fleet.LeftTarget) bool {
			if _, known := m.knownLeft.LoadOrStore(t.ID, true); known {
				return false
			}
			m.left <- t.ID
			return true
		},
		OnBlames: func(*ownerpb.Blames) { m.blamed.Add(1) },

		OnRestarted:    func(id string, born int64) { m.restarted <- id },
		OnGranted:      func(fleet.Info) {},
		HasPartialList: func() bool { return false },
		Broadcast:      func([]byte) {},
	})
	must.NoError(t, err)
	m.Link = link
	t.Cleanup(link.Close)
	return m
}

func (m *member) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.running.Store(true)
	go func() {
		defer close(m.done)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-m.done
	})
}

// site returns three instances that share n engines; those in running are started.
func site(t *testing.T, n int, running ...string) (map[string]*member, *owner.Shard) {
	t.Helper()
	members := make(map[string]*member)
	var list []owner.Instance
	for _, name := range []string{"a", "b", "c"} {
		members[name] = newMember(t, name)
		list = append(list, members[name].Self)
	}
	var engines []fleet.Info
	for i := range n {
		engines = append(engines, fleet.Info{ID: fmt.Sprint("e", i), Service: "s", Domain: "z0"})
	}
	layout := owner.NewLayout(engines, list)
	for _, m := range members {
		m.Fleet.Apply(time.Now(), engines, nil, 0)
		must.NoError(t, m.SetPeers(list))
		m.SetLayout(layout)
	}
	for _, m := range members {
		m.Broadcast = func(b []byte) { broadcastAmong(members, m, b) }
	}
	for _, name := range running {
		members[name].start(t)
	}
	return members, layout.HomeShard("s", "z0", "a")
}

// broadcastAmong delivers a member's broadcast to the other running members.
func broadcastAmong(members map[string]*member, from *member, b []byte) {
	for _, m := range members {
		if m != from && m.running.Load() {
			m.ReceiveBroadcast(b)
		}
	}
}

func placeRequest(tokens int) owner.PlaceRequest {
	need := fleet.Need{Service: "s", Tokens: tokens, Unread: tokens, Peak: fleet.Size{Held: tokens}}
	return owner.PlaceRequest{
		Run:    7,
		Stream: admit.Stream{Arrived: time.Now(), Objective: time.Second, MaxRetryAfter: 10 * time.Second, Need: need},
	}
}

func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatal("condition not met in time")
}

// Streams of all instances are placed on one ledger: two that each occupy most of an engine go to different ones, whichever instance
// requests them, and the third waits until a run ends.
func TestInstancesShareOneLedger(t *testing.T) {
	members, s := site(t, 2, "a", "b", "c")
	used := make(map[string]bool)
	for _, name := range []string{"a", "b"} {
		got, err := members[name].Place(t.Context(), placeRequest(8000))
		must.NoError(t, err)
		must.Eq(t, admit.Admit, got.Action)
		used[got.Target] = true
		members[name].runs.Store(&[]owner.Run{{ID: 7, Target: got.Target, Tokens: 8000}})
		members[name].ScheduleReport()
	}
	must.MapLen(t, 2, used)
	first := members[s.Ranked[0].Name]
	eventually(t, func() bool { return first.Fleet.MaxFreeTokens(s.Engines()) < 2000 })
	time.AfterFunc(100*time.Millisecond, func() {
		members["a"].runs.Store(new([]owner.Run))
		members["a"].ScheduleReport()
	})
	start := time.Now()
	got, err := members["c"].Place(t.Context(), placeRequest(8000))
	must.NoError(t, err)
	must.Eq(t, admit.Admit, got.Action)
	must.Greater(t, 90*time.Millisecond, time.Since(start))
}

// The owner dies without notice. A requesting instance waits for three time-outs, once; the second candidate has received the reports and
// does not grant the same capacity again.
func TestSecondCandidateKnowsRuns(t *testing.T) {
	members, s := site(t, 2, "a", "b", "c")
	first, third := members[s.Ranked[0].Name], members[s.Ranked[2].Name]
	third.runs.Store(&[]owner.Run{{ID: 1, Target: "e0", Tokens: 8000}})
	third.ScheduleReport()
	second := members[s.Ranked[1].Name]
	eventually(t, func() bool { return second.Fleet.KnownState(time.Now(), "e0").Load.Tokens == 8000 })
	first.stop()
	<-first.done
	start := time.Now()
	got, err := third.Place(t.Context(), placeRequest(8000))
	must.NoError(t, err)
	must.Eq(t, "e1", got.Target)
	must.Less(t, 2*time.Second, time.Since(start))
	start = time.Now()
	_, err = third.Place(t.Context(), placeRequest(100))
	must.NoError(t, err)
	must.Less(t, 150*time.Millisecond, time.Since(start))
}

// No candidate answers: the instance gets an error in time, and decides alone.
func TestNoOwnerAnswers(t *testing.T) {
	members, s := site(t, 2)
	last := members[s.Ranked[2].Name]
	// Its own link does not run either, but as a candidate it can answer its own request.
	got, err := last.Place(t.Context(), placeRequest(100))
	must.NoError(t, err)
	must.Eq(t, admit.Admit, got.Action)
	stranger := newMember(t, "x")
	stranger.SetLayout(members["a"].layout.Load())
	stranger.start(t)
	start := time.Now()
	_, err = stranger.Place(t.Context(), placeRequest(100))
	must.ErrorIs(t, err, ErrNoOwner)
	must.Less(t, 3*time.Second, time.Since(start))
}

// A request reaches an instance that does not own the shard, because its sender suspects the owner. It is forwarded, and the
// owner answers the sender.
func TestRequestIsForwardedToOwner(t *testing.T) {
	members, s := site(t, 2, "a", "b", "c")
	first, second := s.Ranked[0].Name, members[s.Ranked[1].Name]
	third := members[s.Ranked[2].Name]
	eventually(t, func() bool {
		to, other := second.otherOwner(time.Now(), s)
		return other && to.Name == first
	})
	third.Coordinator.Suspect(time.Now(), first)
	_, err := third.Place(t.Context(), placeRequest(500))
	must.NoError(t, err)
	must.Eq(t, first, third.Coordinator.QueryOrder(time.Now(), s)[0].Name) // it has answered, so it is no suspect
	must.Positive(t, members[first].Fleet.Utilization(s.Engines(), 0))
}

// Two instances have runs on an engine that leaves, and only one of them has seen it. Both receive the moves of their runs.
func TestMovesReachAllAffectedInstances(t *testing.T) {
	members, s := site(t, 3, "a", "b", "c")
	requester, other := members[s.Ranked[1].Name], members[s.Ranked[2].Name]
	requester.runs.Store(&[]owner.Run{{ID: 1, Target: "e0", Tokens: 2000}})
	other.runs.Store(&[]owner.Run{{ID: 2, Target: "e0", Tokens: 2000}})
	for _, m := range []*member{requester, other} {
		m.ScheduleReport()
	}
	first := members[s.Ranked[0].Name]
	eventually(t, func() bool { return first.Fleet.KnownState(time.Now(), "e0").Load.Runs == 2 })
	e0, _ := first.Fleet.Info("e0")
	first.Fleet.MarkLeaving(time.Now(), "e0", 0)
	first.PlanLeaving([]fleet.Info{e0})
	steps, err := requester.RequestMoves(t.Context(), []fleet.Info{e0})
	must.NoError(t, err)
	must.Len(t, 1, steps)
	must.Eq(t, 1, steps[0].Run.ID)
	must.NotEq(t, "", steps[0].To)
	must.Eq(t, "e0", <-other.left)
	more, err := other.RequestMoves(t.Context(), []fleet.Info{e0})
	must.NoError(t, err)
	must.Len(t, 1, more)
	must.Positive(t, steps[0].Start+more[0].Start) // the copies do not start together
}

// Blames reach all instances, including those that own no shard and request nothing.
func TestBlamesReachAllInstances(t *testing.T) {
	members, _ := site(t, 1, "a", "b", "c")
	members["a"].BroadcastBlames(&ownerpb.Blames{Blames: []*ownerpb.Blame{{Fingerprint: 5}}})
	eventually(t, func() bool { return members["b"].blamed.Load()+members["c"].blamed.Load() == 2 })
}

// The link survives any datagram: garbage, unknown kinds and shards, missing parts.
func TestInvalidDatagramsDoNotBreakLink(t *testing.T) {
	members, s := site(t, 2, "a")
	a := members["a"]
	to := netip.MustParseAddrPort(a.Self.Addr)
	conn, err := net.ListenUDP("udp4", nil)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	rapid.Check(t, func(t *rapid.T) {
		d := &ownerpb.Datagram{
			Instance: rapid.SampledFrom([]string{"", "a", "b", "nobody"}).Draw(t, "instance"),
			Addr:     rapid.SampledFrom([]string{"", "x", "127.0.0.1:1", a.Self.Addr}).Draw(t, "addr"),
		}
		shard := rapid.SampledFrom([]string{"", s.Key, "other"}).Draw(t, "shard")
		n := rapid.Uint32().Draw(t, "n")
		run := &ownerpb.Run{Target: "e0", Tokens: n, Left: n, Unread: n}
		pace := &ownerpb.Pace{Target: "e0", ShortestUs: n, LongestUs: n, SlowdownPermille: n, SlowdownAgeMs: n}
		bodies := []func(){
			func() {
				d.Body = &ownerpb.Datagram_Ask{Ask: &ownerpb.Ask{Shard: shard, Id: uint64(n), Mode: n % 5, AgeMs: n, Service: "s"}}
			},
			func() {
				d.Body = &ownerpb.Datagram_Answer{Answer: &ownerpb.Answer{Id: uint64(n), Serial: uint64(n), Action: n}}
			},
			func() {
				r := &ownerpb.Report{Shard: shard, Seq: uint64(n), Runs: []*ownerpb.Run{run}, Paces: []*ownerpb.Pace{pace, pace}}
				d.Body = &ownerpb.Datagram_Report{Report: r}
			},
			func() {
				d.Body = &ownerpb.Datagram_Beat{Beat: &ownerpb.Beat{Fills: []*ownerpb.Fill{{Shard: shard, Permille: n}}}}
			},
			func() { d.Body = &ownerpb.Datagram_MovesAsk{MovesAsk: &ownerpb.MovesAsk{Id: uint64(n)}} },
			func() {
				d.Body = &ownerpb.Datagram_MovesAsk{MovesAsk: &ownerpb.MovesAsk{Report: &ownerpb.Report{Shard: shard}}}
			},
			func() { d.Body = &ownerpb.Datagram_HeardAsk{HeardAsk: &ownerpb.HeardAsk{Target: "nobody"}} },
			func() { d.Body = &ownerpb.Datagram_Heard{Heard: &ownerpb.Heard{Id: uint64(n)}} },
			func() { d.Body = &ownerpb.Datagram_Moves{} },
			func() { d.Body = &ownerpb.Datagram_Blames{} },
			func() { d.Body = nil },
		}
		rapid.SampledFrom(bodies).Draw(t, "body")()
		b, err := proto.Marshal(d)
		must.NoError(t, err)
		if rapid.Bool().Draw(t, "spoilt") && len(b) > 0 {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(n)
		}
		_, err = conn.WriteToUDPAddrPort(b, to)
		must.NoError(t, err)
	})
	// It still answers its own requests.
	eventually(t, func() bool {
		_, err := a.Place(t.Context(), placeRequest(10))
		return err == nil
	})
}
