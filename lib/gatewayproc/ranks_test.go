package gatewayproc

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/owner"
)

// All machines of a site lose power and restart. The assignment derived from the small ranks row must equal the one derived from the full
// list, so that the reader starts at once and nobody waits for seeds that start later.
func TestAssignmentByRanksEqualsThatByList(t *testing.T) {
	for _, n := range []int{3, 20, 295, 985} {
		list := siteOf(n, 5)
		rows := make(map[string][]byte)
		p := &Process{}
		p.site.WriteRanks = func(_ context.Context, written map[string][]byte) error {
			for domain, b := range written {
				rows[domain] = b
			}
			return nil
		}
		p.instances = make(map[string]owner.Instance)
		for _, in := range list {
			p.instances[in.Name] = in
		}
		written := make(map[string][]byte)
		p.updateRanks(t.Context(), written)
		for _, in := range list {
			starts := &Process{cfg: Config{Instance: in.Name, Domain: in.Domain}}
			starts.site.ReadRanks = func(_ context.Context, domain string) ([]byte, error) { return rows[domain], nil }
			must.True(t, starts.readRanks(t.Context()))
			want := assignAmong(in.Name, in.Domain, list)
			want.RemoteRelays = nil // filled from the list
			must.Eq(t, want, starts.assignment())
		}
		p.site.WriteRanks = func(context.Context, map[string][]byte) error { return errors.New("nothing has changed") }
		p.updateRanks(t.Context(), written)
	}
}

// When the row is missing, truncated or useless, or the store does not answer, the seeds are used.
func TestBadRanksFallBackToSeeds(t *testing.T) {
	seeds := []string{"a:1", "b:1"}
	for _, row := range []string{"", "{", "[]", "{}", `{"readers":[{"Name":"x"}]}`, `{"relays":[{"Name":"x"}],"serving":9}`} {
		p := &Process{cfg: Config{Instance: "me", Link: "me:1", Domain: "z", Seeds: seeds}}
		p.site.ReadRanks = func(context.Context, string) ([]byte, error) { return []byte(row), nil }
		p.readRanks(t.Context())
		must.True(t, p.assignment().Bootstrap, must.Sprint(row))
	}
	p := &Process{cfg: Config{Instance: "me", Link: "me:1", Seeds: seeds}}
	p.site.ReadRanks = func(context.Context, string) ([]byte, error) { return nil, errors.New("away") }
	must.False(t, p.readRanks(t.Context()))
	must.True(t, p.assignment().Bootstrap)
	must.True(t, p.applyRanks([]byte(`{"readers":[{"Name":"x","Link":"x:1"}],"relays":[{"Name":"y","Link":"y:1"}],"serving":-5}`)))
	must.Eq(t, feedlink.RoleFollower, p.assignment().Role)
}

// A thousand instances start at once, and the store rejects many calls. A rejected instance must retry: it may be the reader that all
// others wait for.
func TestReadingRanksIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		p := &Process{cfg: Config{Instance: "me"}}
		p.site.ReadRanks = func(context.Context, string) ([]byte, error) {
			if calls++; calls < 3 {
				return nil, errors.New("turned away")
			}
			return []byte(`{"readers":[{"Name":"me"}],"relays":[{"Name":"me"}],"serving":1}`), nil
		}
		start := time.Now()
		p.join(t.Context())
		must.Eq(t, 3, calls)
		must.Eq(t, feedlink.RoleReader, p.assignment().Role)
		must.LessEq(t, 3*joinSpread, time.Since(start))
	})
}
