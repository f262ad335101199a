package gatewayproc

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/owner"
)

// siteOf returns n instances spread over some failure domains, three large ones in each.
func siteOf(n, domains int) []owner.Instance {
	out := make([]owner.Instance, n)
	for i := range out {
		name := fmt.Sprint("i", i)
		out[i] = owner.Instance{Name: name, Domain: fmt.Sprint("z", i%domains), Link: name + ":1", Capacity: 300}
		if i < 3*domains {
			out[i].Capacity = 16000
		}
	}
	return out
}

// One instance reads the store, one in each failure domain gets the tables from it, the others from that relay. All instances must
// agree on these without coordination, have few sources, and have the store as a fallback.
func TestOneReaderAndOneRelayPerDomain(t *testing.T) {
	list := siteOf(295, 5)
	firsts := make(map[feedlink.Role]map[string]bool)
	roles := make(map[feedlink.Role]int)
	for _, in := range list {
		assigned := assignAmong(in.Name, in.Domain, list)
		roles[assigned.Role]++
		if firsts[assigned.Role] == nil {
			firsts[assigned.Role] = make(map[string]bool)
		}
		if assigned.Role != feedlink.RoleReader || assigned.Rank > 0 {
			firsts[assigned.Role][assigned.Upstreams[0].Instance] = true
		}
		must.SliceContains(t, assigned.Upstreams, mesh.Peer{})
		must.LessEq(t, 2*readersMax+1, len(assigned.Upstreams))
	}
	must.Eq(t, readersMax, roles[feedlink.RoleReader])
	must.LessEq(t, 5*readersMax, roles[feedlink.RoleRelay])
	must.MapLen(t, 1, firsts[feedlink.RoleReader])
	must.MapLen(t, 5, firsts[feedlink.RoleFollower])
}

// Readers and relays know relays in other failure domains, for when nobody nearby is in contact with the store. Followers, who are
// many, must query only nearby instances.
func TestOnlyReadersAndRelaysHaveRemoteRelays(t *testing.T) {
	list := siteOf(295, 5)
	for _, in := range list {
		assigned := assignAmong(in.Name, in.Domain, list)
		if assigned.Role == feedlink.RoleFollower {
			must.SliceEmpty(t, assigned.RemoteRelays)
			continue
		}
		must.Len(t, 4*readersMax, assigned.RemoteRelays)
		for _, p := range assigned.RemoteRelays {
			i := slices.IndexFunc(list, func(o owner.Instance) bool { return o.Name == p.Instance })
			must.NotEq(t, in.Domain, list[i].Domain)
		}
	}
}

// On a small site every instance is a reader candidate, and only the first reads the store.
func TestSmallSitesHaveAReader(t *testing.T) {
	list := siteOf(2, 2)
	reads := 0
	for _, in := range list {
		assigned := assignAmong(in.Name, in.Domain, list)
		must.Eq(t, feedlink.RoleReader, assigned.Role)
		if assigned.Upstreams[0].Addr == "" {
			reads++
		}
	}
	must.Eq(t, 1, reads)
	alone := assignAmong("me", "z", nil)
	must.Eq(t, []mesh.Peer{{}}, alone.Upstreams)
}

// Before the first list an instance knows only the seeds. A seed reads the store; other instances follow the seeds, with the store
// as the last fallback.
func TestSeedsReadBeforeTheListIsKnown(t *testing.T) {
	seeds := []string{"a:1", "b:1"}
	must.Eq(t, feedlink.Assignment{Role: feedlink.RoleReader, Rank: 1, Upstreams: []mesh.Peer{{}}}, assignBySeeds("b:1", seeds))
	other := assignBySeeds("c:1", seeds)
	must.True(t, other.Bootstrap)
	must.Eq(t, []mesh.Peer{{Addr: "a:1"}, {Addr: "b:1"}, {}}, other.Upstreams)
	must.Eq(t, []mesh.Peer{{}}, assignBySeeds("c:1", nil).Upstreams)
}

// Seeds that are not among the upstreams are appended, each once and without this instance itself.
func TestSeedsAreAppendedLast(t *testing.T) {
	got := withSeeds([]mesh.Peer{{}, {Instance: "a", Addr: "a:1"}}, "me:1", []string{"a:1", "me:1", "b:1"})
	must.Eq(t, []mesh.Peer{{}, {Instance: "a", Addr: "a:1"}, {Addr: "b:1"}}, got)
}

// All instances of a new site start at once with an empty list. Each took itself for the only one and read all tables, which cost
// the store thousands of calls. Only the seeds may read; the others follow the seeds, then the instances listed first, and take
// part in the ranking once their own rows are listed.
func TestOnlySeedsReadAtTheFirstStart(t *testing.T) {
	list := siteOf(295, 5)
	seeds := []string{list[200].Link, list[201].Link, list[202].Link}
	reading := 0
	firsts := make(map[string]int)
	for _, in := range list {
		assigned := assignByList(in, nil, seeds)
		if assigned.Role == feedlink.RoleReader {
			reading++
			continue
		}
		must.False(t, assigned.Bootstrap)
		must.Len(t, len(seeds)+1, assigned.Upstreams)
		must.Eq(t, mesh.Peer{}, assigned.Upstreams[len(seeds)])
		firsts[assigned.Upstreams[0].Addr]++
	}
	must.Eq(t, len(seeds), reading)
	for _, seed := range seeds {
		must.Less(t, 3*len(list)/5, firsts[seed]) // a single seed would send all tables to everyone
	}

	early := list[:2]
	assigned := assignByList(list[100], early, seeds)
	must.Eq(t, feedlink.RoleFollower, assigned.Role)
	must.SliceContains(t, []string{"i0", "i1"}, assigned.Upstreams[0].Instance)
	must.Eq(t, feedlink.RoleReader, assignByList(list[0], early, seeds).Role)
}

// A single instance without seeds reads the store itself.
func TestSingleInstanceWithoutSeedsReadsTheStore(t *testing.T) {
	assigned := assignByList(owner.Instance{Name: "me", Link: "me:1"}, nil, nil)
	must.Eq(t, []mesh.Peer{{}}, assigned.Upstreams)
}
