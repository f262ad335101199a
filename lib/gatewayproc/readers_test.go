package gatewayproc

import (
	"fmt"
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
		if at.Role != feedlink.Reads || at.Rank > 0 {
			firsts[at.Role][at.Readers[0].Instance] = true
		}
		must.SliceContains(t, at.Readers, mesh.Peer{})
		must.LessEq(t, 2*readersMax+1, len(at.Readers))
	}
	must.Eq(t, readersMax, roles[feedlink.Reads])
	must.LessEq(t, 5*readersMax, roles[feedlink.Relays])
	must.MapLen(t, 1, firsts[feedlink.Reads])
	must.MapLen(t, 5, firsts[feedlink.Follows])
}

// On a small site each instance ranks for something, and the first in rank reads.
func TestSmallSitesHaveAReader(t *testing.T) {
	list := siteOf(2, 2)
	reads := 0
	for _, in := range list {
		at := placeAmong(in.Name, in.Domain, list)
		must.Eq(t, feedlink.Reads, at.Role)
		if at.Readers[0].Addr == "" {
			reads++
		}
	}
	must.Eq(t, 1, reads)
	alone := placeAmong("me", "z", nil)
	must.Eq(t, []mesh.Peer{{}}, alone.Readers)
}

// An instance knows of no other than its seeds yet. One that is a seed reads; the others ask the seeds, and read the store
// themselves in the end.
func TestSeedsReadBeforeTheListIsKnown(t *testing.T) {
	seeds := []string{"a:1", "b:1"}
	must.Eq(t, feedlink.Place{Role: feedlink.Reads, Rank: 1, Readers: []mesh.Peer{{}}}, placeBySeeds("b:1", seeds))
	other := placeBySeeds("c:1", seeds)
	must.True(t, other.Guess)
	must.Eq(t, []mesh.Peer{{Addr: "a:1"}, {Addr: "b:1"}, {}}, other.Readers)
	must.Eq(t, []mesh.Peer{{}}, placeBySeeds("c:1", nil).Readers)
}

// The list names nobody else, or names a seed already: seeds that are missing come last, each once, this instance left out.
func TestSeedsComeLast(t *testing.T) {
	got := withSeeds([]mesh.Peer{{}, {Instance: "a", Addr: "a:1"}}, "me:1", []string{"a:1", "me:1", "b:1"})
	must.Eq(t, []mesh.Peer{{}, {Instance: "a", Addr: "a:1"}, {Addr: "b:1"}}, got)
}
