package entryproc

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/proc"
)

// linked starts entries that can reach each other and know nobody yet.
func linked(t *testing.T, n int) []*Process {
	t.Helper()
	addrs, err := proc.Addrs(n)
	must.NoError(t, err)
	var out []*Process
	for i, addr := range addrs {
		cfg := config("")
		cfg.Instance, cfg.MeshAddr, cfg.Links.Plain = fmt.Sprint("entry-", i), addr, true
		p, err := Start(cfg)
		must.NoError(t, err)
		t.Cleanup(func() { must.NoError(t, p.Stop()) })
		out = append(out, p)
	}
	return out
}

// list gives an entry the platform's list of all instances, as its control process does.
func list(p *Process, all []*Process) {
	v := &meshpb.View{Seq: 1}
	for _, other := range all {
		v.Members = append(v.Members, &meshpb.Member{
			Instance: other.cfg.Instance, Incarnation: other.cfg.Incarnation, MeshAddr: other.cfg.MeshAddr,
			State: meshpb.MemberState_MEMBER_LIVE,
		})
	}
	p.links.setInstances(v)
}

func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("waited for ", what))
	}
}

// The instance list can't be read at one instance. Those that have it connect to this one, and by that it must learn of
// them: else it would count itself the only owner of every target.
func TestEntryWithoutAListLearnsOfThoseThatConnect(t *testing.T) {
	t.Parallel()
	all := linked(t, 3)
	list(all[0], all)
	list(all[1], all)
	until(t, "the members", func() bool { return len(all[2].links.members.View().Workers()) == 3 })
}

// One instance runs an older program and can't read revision 2; it still has the text. Did its heartbeats name only what
// it has in force, a peer that the table can't reach would never ask it for revision 2.
func TestHeartbeatsNameARevisionThatCannotBeReadHere(t *testing.T) {
	t.Parallel()
	all := linked(t, 2)
	list(all[0], all)
	text, err := os.ReadFile(settingsFile(t, "127.0.0.1:1"))
	must.NoError(t, err)
	all[0].links.sync.Receive(&meshpb.SettingsBody{Revision: 1, Yaml: text}, "control")
	until(t, "revision 1", func() bool { return all[1].links.sync.Status().InForce == 1 })
	all[0].links.sync.Receive(&meshpb.SettingsBody{Revision: 2, Yaml: append(text, "moods: {}\n"...)}, "control")
	until(t, "revision 2", func() bool { return all[1].links.sync.Status().Seen == 2 })
	must.Eq(t, 1, all[1].links.sync.Status().InForce)
}

// What operators set of a site's times must reach the parts that keep them, not only be parsed.
func TestTimesOfTheSiteReachTheLinks(t *testing.T) {
	t.Parallel()
	all := linked(t, 2)
	list(all[0], all)
	text, err := os.ReadFile(settingsFile(t, "127.0.0.1:1"))
	must.NoError(t, err)
	times := "failure_domains: [govan-depot], heartbeat_interval: 50ms, progress_interval: 70ms, tick_interval: 30ms, shard_targets: 3}"
	text = []byte(strings.Replace(string(text), "failure_domains: [govan-depot]}", times, 1))
	all[0].links.sync.Receive(&meshpb.SettingsBody{Revision: 1, Yaml: text}, "control")
	until(t, "settings", func() bool { return all[0].server.Revision() == 1 && all[1].server.Revision() == 1 })
	site := siteOf(all[0].server.Snapshot())
	must.Eq(t, 70*time.Millisecond, site.ProgressEvery)
	must.Eq(t, 30*time.Millisecond, site.Tick)
	must.Eq(t, 3, site.ShardTargets)

	// At the default interval its death would be believed 2 s after the first failed heartbeat.
	all[1].links.node.Close()
	from := time.Now()
	until(t, "the death", func() bool {
		m, _ := all[0].links.members.View().Get("entry-1")
		return m.State == member.Dead
	})
	must.Less(t, 1900*time.Millisecond, time.Since(from))
}
