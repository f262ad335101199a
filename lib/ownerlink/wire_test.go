package ownerlink

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// A request is forwarded to an owner with capacity, which must decide on the same data: if a field such as IsRetry were lost on the
// way, the stream would be rejected a second time.
func TestPlaceRequestRoundTrip(t *testing.T) {
	now := time.Now()
	sent := owner.PlaceRequest{
		Key: owner.Key{Instance: "i", Incarnation: 7, ID: 9}, ReplyAddr: "127.0.0.1:1", Run: 11, Mode: owner.MustFit,
		Backup: 13, Hops: 2, Fingerprint: 17,
		Stream: admit.Stream{
			Arrived: now.Add(-40 * time.Millisecond), Objective: time.Second, MaxRetryAfter: 2 * time.Second, IsRetry: true,
			Need: fleet.Need{
				Service: "s", Tokens: 19, Unread: 23, PreferredDomain: "z", Peak: fleet.Size{Held: 29, Remaining: 31},
				Exclude: map[string]bool{"e": true},
			},
		},
	}
	b, err := proto.Marshal(&ownerpb.Datagram{
		Instance: sent.Instance, Incarnation: sent.Incarnation, Addr: sent.ReplyAddr,
		Body: &ownerpb.Datagram_Ask{Ask: encodePlaceRequest(&sent, "shard", now)},
	})
	must.NoError(t, err)
	var d ownerpb.Datagram
	must.NoError(t, proto.Unmarshal(b, &d))
	must.Eq(t, sent, decodePlaceRequest(&d, now))
}
