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

// divided is what instances need of a site with engines and plain targets, in equal parts, in five failure domains.
type divided struct {
	fleet  *fleet.Fleet
	layout *owner.Layout
	rows   []feed.Row
}

func divide(engines, plain, instances int) *divided {
	d := &divided{fleet: fleet.New("z0")}
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

// held lists what an instance needs, by service.
func (d *divided) held(instance, domain string) map[string][]string {
	n := needOf(d.fleet, d.layout, instance, domain)
	out := make(map[string][]string)
	for _, row := range d.rows {
		if n.has(row) {
			t, _ := d.fleet.Info(row.Key)
			out[t.Service] = append(out[t.Service], t.ID)
		}
	}
	return out
}

// What a plain follower holds does not grow with the site; together they hold every target, and each has some of its own domain.
func TestPartsDoNotGrowWithTheSite(t *testing.T) {
	for _, size := range []struct{ engines, plain, instances int }{{2_400, 100, 250}, {9_600, 400, 1_000}, {19_200, 800, 2_000}} {
		d := divide(size.engines, size.plain, size.instances)
		most := 0
		known := make(map[string]bool)
		step := max(1, size.instances/500)
		for i := 15; i < size.instances; i += step { // the first are strong, and own shards
			held := d.held(fmt.Sprint("i", i), fmt.Sprint("z", i%5))
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

// An instance that ranks to own shards holds all of their engines.
func TestOwnersHoldTheirShards(t *testing.T) {
	d := divide(9_600, 400, 1_000)
	held := make(map[string]bool)
	for _, id := range d.held("i0", "z0")["llm"] {
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

// A target that the one which passes the list on does not know yet is passed on to all: whoever needs it must not miss it.
func TestUnknownTargetsArePassedOn(t *testing.T) {
	d := divide(2_400, 100, 250)
	must.True(t, needOf(d.fleet, d.layout, "i20", "z0").has(feed.Row{Key: "nobody"}))
}

// A division that was told by a peer is believed as far as it can be.
func TestBadDigestIsLeftOut(t *testing.T) {
	p := &Process{}
	must.Error(t, p.ApplyDigest([]byte{0xff, 1, 2}))
}
