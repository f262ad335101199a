package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/powerplan"
	"anvilwick.example/anvilwick/lib/settings"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

const changedSettings = baseSettings + "# changed\n"

// A control process is replaced while the table's replicas lag: the table shows revision 1, while its entry has revision 2
// in force. With revision 1 it would place models and divide power as before an accepted change.
func TestReplacementDuringReplicaLagStartsAtEntryRevision(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, baseSettings, 0)
	time.Sleep(600 * time.Millisecond) // so that the lag below reaches back to between the two commits
	commit(t, s, changedSettings, 1)
	committed := time.Now()
	lag := func() {
		s.SetFault(standin.Fault{Kind: standin.FaultStaleReads, DelayMS: time.Since(committed).Milliseconds() + 300})
	}
	lag()
	p, _ := start(t, s, "i1", &meshpb.SettingsBody{Revision: 2, Yaml: []byte(changedSettings)})
	eventually(t, "settings", func() bool { lag(); return p.Status().SettingsRevision > 0 })
	must.Eq(t, 2, p.Status().SettingsRevision)
}

// A control process is replaced while the store is down. It must get the settings from its entry; without them it could
// neither follow its power share nor execute an operator's drain until the store is back.
func TestReplacementDuringOutageGetsSettingsFromEntry(t *testing.T) {
	s := standin.New(standin.Config{})
	s.SetFault(standin.Fault{Kind: standin.FaultOutage})
	p, _ := start(t, s, "i1", &meshpb.SettingsBody{Revision: 2, Yaml: []byte(changedSettings)})
	eventually(t, "settings", func() bool { return p.Status().SettingsRevision == 2 })
}

// An instance is replaced as a whole. Its control process reads the table and must forward the revision at once, although
// it waits itself for its entry: the entry waits only a second for the table and would then start at its peers' revision.
func TestSettingsAreForwardedBeforeActivation(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, baseSettings, 0)
	from := time.Now()
	_, down := start(t, s, "i1")
	awaitMessage(t, down, isRevision(1))
	must.Less(t, time.Second, time.Since(from))
}

// Until the control process has settings in force, its entry must stay within the fallback shares: it has settings but no
// share yet, and its draw would be unlimited.
func TestFallbackSharesStayUnderCap(t *testing.T) {
	tree, err := settings.Parse([]byte(powerSettings()), "f")
	must.NoError(t, err)
	snap, err := tree.Resolve(1)
	must.NoError(t, err)
	shares := fallbackShares(powerplan.FromSnapshot(snap))
	must.MapLen(t, services, shares)
	sum := 0.0
	for _, share := range shares {
		must.Positive(t, share.GetWatts())
		must.Eq(t, 0, share.GetValidMs())
		sum += share.GetWatts()
	}
	must.LessEq(t, powerCapWatts, sum)
	must.MapEmpty(t, fallbackShares(nil))
}
