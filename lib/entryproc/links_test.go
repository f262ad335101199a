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

// startLinked starts n entries that can reach each other but do not know of each other yet.
func startLinked(t *testing.T, n int) []*Process {
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

// sendList sends an entry the platform's list of all instances, as its control process does.
func sendList(p *Process, all []*Process) {
	v := &meshpb.View{Seq: 1}
	for _, other := range all {
		v.Members = append(v.Members, &meshpb.Member{
			Instance: other.cfg.Instance, Incarnation: other.cfg.Incarnation, MeshAddr: other.cfg.MeshAddr,
			State: meshpb.MemberState_MEMBER_LIVE,
		})
	}
	p.links.setInstances(v)
}

func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("waited for ", what))
	}
}

// The instance list is unavailable at one instance. It must learn of the instances that connect to it: otherwise it would
// consider itself the only owner of every target.
func TestEntryWithoutListLearnsMembersFromConnections(t *testing.T) {
	t.Parallel()
	all := startLinked(t, 3)
	sendList(all[0], all)
	sendList(all[1], all)
	waitUntil(t, "the members", func() bool { return len(all[2].links.members.View().Workers()) == 3 })
}

// One instance runs an older program and can't read revision 2, but has its text. If its heartbeats carried only the revision
// in force, a peer that is cut off from the table would never fetch revision 2 from it.
func TestHeartbeatsCarryUnreadableRevision(t *testing.T) {
	t.Parallel()
	all := startLinked(t, 2)
	sendList(all[0], all)
	text, err := os.ReadFile(settingsFile(t, "127.0.0.1:1"))
	must.NoError(t, err)
	all[0].links.sync.Receive(&meshpb.SettingsBody{Revision: 1, Yaml: text}, "control")
	waitUntil(t, "revision 1", func() bool { return all[1].links.sync.Status().InForce == 1 })
	all[0].links.sync.Receive(&meshpb.SettingsBody{Revision: 2, Yaml: append(text, "moods: {}\n"...)}, "control")
	waitUntil(t, "revision 2", func() bool { return all[1].links.sync.Status().Seen == 2 })
	must.Eq(t, 1, all[1].links.sync.Status().InForce)
}

// The intervals that operators set for a site must take effect, not only be parsed.
func TestSiteIntervalsTakeEffect(t *testing.T) {
	t.Parallel()
	all := startLinked(t, 2)
	sendList(all[0], all)
	text, err := os.ReadFile(settingsFile(t, "127.0.0.1:1"))
	must.NoError(t, err)
	times := "failure_domains: [govan-depot], heartbeat_interval: 50ms, progress_interval: 70ms, tick_interval: 30ms, shard_targets: 3}"
	text = []byte(strings.Replace(string(text), "failure_domains: [govan-depot]}", times, 1))
	all[0].links.sync.Receive(&meshpb.SettingsBody{Revision: 1, Yaml: text}, "control")
	waitUntil(t, "settings", func() bool { return all[0].server.Revision() == 1 && all[1].server.Revision() == 1 })
	site := siteOf(all[0].server.Snapshot())
	must.Eq(t, 70*time.Millisecond, site.ProgressEvery)
	must.Eq(t, 30*time.Millisecond, site.Tick)
	must.Eq(t, 3, site.ShardTargets)

	// At the default interval the instance would be declared dead 2 s after the first failed heartbeat.
	all[1].links.node.Close()
	from := time.Now()
	waitUntil(t, "the death", func() bool {
		m, _ := all[0].links.members.View().Get("entry-1")
		return m.State == member.Dead
	})
	must.Less(t, 1900*time.Millisecond, time.Since(from))
}
