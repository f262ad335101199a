package record

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

func incrementOf(attempt uint32, from int, tokens ...string) *meshpb.Record {
	return &meshpb.Record{
		Generation: []byte("g"),
		Workspace:  "w",
		Owner:      "e",
		KeyHash:    1,
		Attempt:    attempt,
		TokensFrom: uint32(from),
		Tokens:     tokens,
		Delivered:  uint32(from + len(tokens)),
	}
}

var testKey = key{"w", 1}

func TestStoreMergesIncrements(t *testing.T) {
	s, now := newStore(1<<20, time.Minute), time.Now()
	first := incrementOf(1, 0, "a", "b")
	first.Request = []byte("body")
	must.EqOp(t, 2, s.put(now, first).GetHave())
	must.EqOp(t, 3, s.put(now, incrementOf(1, 2, "c")).GetHave())
	must.EqOp(t, 4, s.put(now, incrementOf(1, 1, "b", "c", "d")).GetHave())
	got := s.get(now, testKey)
	must.Eq(t, []string{"a", "b", "c", "d"}, got.GetTokens())
	must.Eq(t, "body", string(got.GetRequest()))
}

// A peer was restarted, or chosen late, and receives the middle of a record. It must not store tokens after a gap, or the
// entry that resumes the stream would send wrong tokens to the caller.
func TestStoreDropsTokensAfterGap(t *testing.T) {
	s, now := newStore(1<<20, time.Minute), time.Now()
	last := incrementOf(1, 5, "f")
	last.Finished = true
	reply := s.put(now, last)
	must.EqOp(t, 0, reply.GetHave())
	must.True(t, reply.GetNeedRequest())
	must.SliceEmpty(t, s.get(now, testKey).GetTokens())
	must.False(t, s.get(now, testKey).GetFinished())
}

// A frozen entry resumes after another has taken its generation over, and keeps writing. Its update must not replace the
// newer attempt's.
func TestStoreRejectsOlderAttempt(t *testing.T) {
	s, now := newStore(1<<20, time.Minute), time.Now()
	s.put(now, incrementOf(7, 0, "a", "b", "c"))
	must.False(t, s.put(now, incrementOf(1, 0, "a", "x", "y", "z")).GetFound())
	must.Eq(t, []string{"a", "b", "c"}, s.get(now, testKey).GetTokens())
}

func TestStoreReplacesOtherGeneration(t *testing.T) {
	s, now := newStore(1<<20, time.Minute), time.Now()
	s.put(now, incrementOf(7, 0, "a", "b"))
	other := incrementOf(1, 0, "z")
	other.Generation = []byte("h")
	must.EqOp(t, 1, s.put(now, other).GetHave())
}

func TestStoreIsBoundedInBytesAndTime(t *testing.T) {
	s, now := newStore(20_000, time.Minute), time.Now()
	for i := range 100 {
		inc := incrementOf(1, 0, strings.Repeat("x", 1000))
		inc.KeyHash = uint64(i)
		s.put(now, inc)
		must.LessEq(t, 20_000, s.bytes)
	}
	must.NotNil(t, s.get(now, key{"w", 99}))
	must.Nil(t, s.get(now, key{"w", 0}))
	must.Nil(t, s.get(now.Add(time.Minute), key{"w", 99}))
	must.EqOp(t, 0, s.bytes)
	must.MapEmpty(t, s.byKey)
}

func membersOf(n, domains int) []member.Member {
	var out []member.Member
	for i := range n {
		out = append(out, member.Member{Instance: fmt.Sprintf("i%02d", i), FailureDomain: fmt.Sprint("d", i%domains)})
	}
	return out
}

// A record must survive the loss of a failure domain, whichever entry wrote it, and be found without knowing that entry.
func TestHoldersSpanDomainsAndAreCandidates(t *testing.T) {
	ms := membersOf(9, 3)
	for i := range 200 {
		order := rankedMembers(keyOf("w", fmt.Sprint("key", i)), ms)
		for _, owner := range ms {
			h := holders(order, owner.Instance)
			must.Len(t, 2, h)
			must.NotEq(t, h[0].FailureDomain, h[1].FailureDomain)
			for _, m := range h {
				must.NotEq(t, owner.Instance, m.Instance)
				must.SliceContains(t, candidates(order), m)
			}
		}
		must.LessEq(t, 4, len(candidates(order)))
	}
}

func TestHoldersWithFewMembers(t *testing.T) {
	must.Len(t, 0, holders(membersOf(1, 1), "i00"))
	must.Len(t, 1, holders(membersOf(2, 1), "i00"))
	must.Len(t, 2, holders(membersOf(3, 1), "i00"))
}

// A peer that lost a record, or never had it, receives a delta without the constant fields. If stored by itself, the delta
// would be returned as the record of a dead entry, with other content than its caller's.
func TestDeltaWithoutBaseIsNotStored(t *testing.T) {
	s := newStore(DefaultMaxBytes, DefaultRetention)
	now := time.Now()
	id := keyOf("w", "k")
	full := toProto(recordOf("k", "a"), id, 0, mesh.Identity{Instance: "e", Incarnation: 7})
	next := proto.CloneOf(full)
	next.Owner, next.OwnerIncarnation, next.Request, next.Fingerprint = "", 0, nil, 0
	next.Tokens, next.TokensFrom, next.Delivered = []string{"b"}, 1, 2
	must.True(t, s.put(now, next).GetNeedRequest())
	must.Nil(t, s.get(now, id))
	s.put(now, full)
	must.Eq(t, 2, s.put(now, next).GetHave())
	got := s.get(now, id)
	must.Eq(t, "e", got.GetOwner())
	must.Eq(t, 7, got.GetOwnerIncarnation())
	must.Eq(t, "body", string(got.GetRequest()))
	must.Eq(t, []string{"a", "b"}, got.GetTokens())
	other := proto.CloneOf(next)
	other.Generation = append([]byte(nil), next.Generation...)
	other.Generation[0]++
	must.True(t, s.put(now, other).GetNeedRequest())
	must.Eq(t, full.GetGeneration(), s.get(now, id).GetGeneration())
}

// A stored request must be restored byte for byte, because its hash is compared with the claim's.
func TestRequestCompressionRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 5000, 1 << 20} {
		want := []byte(strings.Repeat("n\x00é", n))
		got, err := decompress(compress(want))
		must.NoError(t, err)
		must.True(t, string(want) == string(got))
	}
	_, err := decompress(compress(make([]byte, maxRequestBytes+1)))
	must.ErrorIs(t, err, errRequestTooLarge)
	_, err = decompress([]byte("no such thing"))
	must.Error(t, err)
}
