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

// siteOf has n instances in some failure domains, three large ones in each.
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

// One instance reads the store, one in each failure domain has it from there, the others from that. Each finds the same
// ones by itself, asks few, and may read itself in the end.
func TestOneReadsAndOneADomainRelays(t *testing.T) {
	list := siteOf(295, 5)
	firsts := make(map[feedlink.Role]map[string]bool)
	roles := make(map[feedlink.Role]int)
	for _, in := range list {
		at := placeAmong(in.Name, in.Domain, list)
		roles[at.Role]++
		if firsts[at.Role] == nil {
			firsts[at.Role] = make(map[string]bool)
		}
		if at.Role != feedlink.RoleReader || at.Rank > 0 {
			firsts[at.Role][at.Upstreams[0].Instance] = true
		}
		must.SliceContains(t, at.Upstreams, mesh.Peer{})
		must.LessEq(t, 2*readersMax+1, len(at.Upstreams))
	}
	must.Eq(t, readersMax, roles[feedlink.RoleReader])
	must.LessEq(t, 5*readersMax, roles[feedlink.RoleRelay])
	must.MapLen(t, 1, firsts[feedlink.RoleReader])
	must.MapLen(t, 5, firsts[feedlink.RoleFollower])
}

// Those that read or relay know who relays elsewhere, for when nobody near has the store's word. The others, who are many, ask
// only those near.
func TestOnlyReadersAndRelaysLookElsewhere(t *testing.T) {
	list := siteOf(295, 5)
	for _, in := range list {
		at := placeAmong(in.Name, in.Domain, list)
		if at.Role == feedlink.RoleFollower {
			must.SliceEmpty(t, at.RemoteRelays)
			continue
		}
		must.Len(t, 4*readersMax, at.RemoteRelays)
		for _, p := range at.RemoteRelays {
			i := slices.IndexFunc(list, func(o owner.Instance) bool { return o.Name == p.Instance })
			must.NotEq(t, in.Domain, list[i].Domain)
		}
	}
}

// On a small site each instance ranks for something, and the first in rank reads.
func TestSmallSitesHaveAReader(t *testing.T) {
	list := siteOf(2, 2)
	reads := 0
	for _, in := range list {
		at := placeAmong(in.Name, in.Domain, list)
		must.Eq(t, feedlink.RoleReader, at.Role)
		if at.Upstreams[0].Addr == "" {
			reads++
		}
	}
	must.Eq(t, 1, reads)
	alone := placeAmong("me", "z", nil)
	must.Eq(t, []mesh.Peer{{}}, alone.Upstreams)
}

// An instance knows of no other than its seeds yet. One that is a seed reads; the others ask the seeds, and read the store
// themselves in the end.
func TestSeedsReadBeforeTheListIsKnown(t *testing.T) {
	seeds := []string{"a:1", "b:1"}
	must.Eq(t, feedlink.Assignment{Role: feedlink.RoleReader, Rank: 1, Upstreams: []mesh.Peer{{}}}, placeBySeeds("b:1", seeds))
	other := placeBySeeds("c:1", seeds)
	must.True(t, other.Bootstrap)
	must.Eq(t, []mesh.Peer{{Addr: "a:1"}, {Addr: "b:1"}, {}}, other.Upstreams)
	must.Eq(t, []mesh.Peer{{}}, placeBySeeds("c:1", nil).Upstreams)
}

// The list names nobody else, or names a seed already: seeds that are missing come last, each once, this instance left out.
func TestSeedsComeLast(t *testing.T) {
	got := withSeeds([]mesh.Peer{{}, {Instance: "a", Addr: "a:1"}}, "me:1", []string{"a:1", "me:1", "b:1"})
	must.Eq(t, []mesh.Peer{{}, {Instance: "a", Addr: "a:1"}, {Addr: "b:1"}}, got)
}

// A site's instances start in one moment, and the list that each reads is empty. Each took itself for the only one, read all
// tables from the store, and the store had thousands of calls. Only the seeds read; the others follow them, then those that
// are listed first, and rank themselves once their own row is there.
func TestOnlySeedsReadAtTheFirstStart(t *testing.T) {
	list := siteOf(295, 5)
	seeds := []string{list[200].Link, list[201].Link, list[202].Link}
	reading := 0
	firsts := make(map[string]int)
	for _, in := range list {
		at := placeOf(in, nil, seeds)
		if at.Role == feedlink.RoleReader {
			reading++
			continue
		}
		must.False(t, at.Bootstrap)
		must.Len(t, len(seeds)+1, at.Upstreams)
		must.Eq(t, mesh.Peer{}, at.Upstreams[len(seeds)])
		firsts[at.Upstreams[0].Addr]++
	}
	must.Eq(t, len(seeds), reading)
	for _, seed := range seeds {
		must.Less(t, 3*len(list)/5, firsts[seed]) // one alone would send all tables to all
	}

	early := list[:2]
	at := placeOf(list[100], early, seeds)
	must.Eq(t, feedlink.RoleFollower, at.Role)
	must.SliceContains(t, []string{"i0", "i1"}, at.Upstreams[0].Instance)
	must.Eq(t, feedlink.RoleReader, placeOf(list[0], early, seeds).Role)
}

// A single instance without seeds reads by itself.
func TestAloneAtTheFirstStart(t *testing.T) {
	at := placeOf(owner.Instance{Name: "me", Link: "me:1"}, nil, nil)
	must.Eq(t, []mesh.Peer{{}}, at.Upstreams)
}
