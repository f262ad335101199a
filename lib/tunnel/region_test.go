package tunnel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request of a route that is bound to a region whose body passes through an instance of another region, because the own links
// to targets are lost.
func TestPeersOfOtherRegionsCarryNothingBound(t *testing.T) {
	c := NewClient(nil, "a", "n1", nil)
	c.SetPeers([]Peer{
		{Name: "a", Domain: "n1", Region: "north"}, {Name: "b", Domain: "n1", Region: "north"}, {Name: "c", Domain: "n2", Region: "north"},
		{Name: "d", Domain: "s1", Region: "south"}, {Name: "e", Domain: "e1", Region: "east"},
	}, "north")
	chosen := func() (names string) {
		for _, p := range c.choose(time.Now(), "t:1") {
			names += p.Name
		}
		return names
	}
	must.StrHasPrefix(t, "bc", chosen())
	must.Eq(t, 4, len(chosen()))
	for region, want := range map[string]string{"north": "bc", "south": "bcd", "": "bc"} {
		c.RegionOf = func(string) (string, bool) { return region, true }
		must.Eq(t, want, chosen(), must.Sprint(region))
	}
	c.RegionOf = func(string) (string, bool) { return "north", false }
	must.Eq(t, 4, len(chosen()))
}

// Guards against regions whose peers are not known when a target there is reachable only by them: instances of some region may all be among the
// first in the ranking.
func TestEachRegionHasPeers(t *testing.T) {
	c := NewClient(nil, "a", "n1", nil)
	list := []Peer{{Name: "a", Domain: "n1", Region: "north"}}
	for _, region := range []string{"north", "south", "east"} {
		for _, n := range "1234567890" {
			list = append(list, Peer{Name: region + string(n), Domain: region, Region: region})
		}
	}
	c.SetPeers(list, "north")
	counts := make(map[string]int)
	for _, p := range c.candidates {
		counts[p.Region]++
	}
	must.Eq(t, map[string]int{"north": candidatesPerSide, "south": candidatesPerSide, "east": candidatesPerSide}, counts)
}
