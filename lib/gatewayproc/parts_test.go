package gatewayproc

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
)

// dividedSite is a site of engines and plain targets, spread evenly over five failure domains.
type dividedSite struct {
	fleet  *fleet.Fleet
	layout *owner.Layout
	rows   []feed.Row
}

func newDividedSite(engines, plain, instances int) *dividedSite {
	d := &dividedSite{fleet: fleet.New("z0")}
	d.fleet.SetSpecs(map[string]fleet.Spec{"llm": {KVTokens: 1000}, "plain": {}})
	var list []fleet.Info
	for i := range engines + plain {
		t := fleet.Info{ID: fmt.Sprint("t", i), Service: "llm", Domain: fmt.Sprint("z", i%5)}
		if i >= engines {
			t.Service = "plain"
		}
		list = append(list, t)
		d.rows = append(d.rows, feed.Row{Key: t.ID})
	}
	d.fleet.Apply(time.Unix(1, 0), list, nil, 0)
	p := owner.NewPartition()
	p.SetInstances(siteOf(instances, 5))
	d.layout = p.SetServices([]string{"llm"}, []string{"plain"}, d.fleet.Engines(fleet.Ready))
	return d
}

// needed returns the targets that an instance needs, by service.
func (d *dividedSite) needed(instance, domain string) map[string][]string {
	n := subsetFor(d.fleet, d.layout, instance, domain)
	out := make(map[string][]string)
	for _, row := range d.rows {
		if n.contains(row) {
			t, _ := d.fleet.Info(row.Key)
			out[t.Service] = append(out[t.Service], t.ID)
		}
	}
	return out
}

// What a follower holds must not grow with the site. Together the followers hold every target, and each holds some of every service.
func TestSubsetsDoNotGrowWithTheSite(t *testing.T) {
	for _, size := range []struct{ engines, plain, instances int }{{2_400, 100, 250}, {9_600, 400, 1_000}, {19_200, 800, 2_000}} {
		d := newDividedSite(size.engines, size.plain, size.instances)
		most := 0
		known := make(map[string]bool)
		step := max(1, size.instances/500)
		for i := 15; i < size.instances; i += step { // the first 15 are large and own shards
			held := d.needed(fmt.Sprint("i", i), fmt.Sprint("z", i%5))
			must.Positive(t, len(held["llm"]))
			must.Positive(t, len(held["plain"]))
			most = max(most, len(held["llm"])+len(held["plain"]))
			for _, ids := range held {
				for _, id := range ids {
					known[id] = true
				}
			}
		}
		t.Logf("%v: at most %d of %d", size, most, len(d.rows))
		must.LessEq(t, 320, most)
		if step == 1 {
			must.MapLen(t, len(d.rows), known)
		}
	}
}

// A candidate owner of a shard holds all of the shard's engines.
func TestOwnersHoldTheirShards(t *testing.T) {
	d := newDividedSite(9_600, 400, 1_000)
	held := make(map[string]bool)
	for _, id := range d.needed("i0", "z0")["llm"] {
		held[id] = true
	}
	ranked := d.layout.CandidateShards("i0")
	must.SliceNotEmpty(t, ranked)
	for _, s := range ranked {
		for _, id := range s.Engines() {
			must.True(t, held[id])
		}
	}
}

// A target that the relay does not know yet is forwarded to every instance, since it may be needed there.
func TestUnknownTargetsAreForwarded(t *testing.T) {
	d := newDividedSite(2_400, 100, 250)
	must.True(t, subsetFor(d.fleet, d.layout, "i20", "z0").contains(feed.Row{Key: "nobody"}))
}

// A malformed division from a peer is rejected.
func TestBadDigestIsRejected(t *testing.T) {
	p := &Process{}
	must.Error(t, p.ApplyDigest([]byte{0xff, 1, 2}))
}
