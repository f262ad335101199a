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

const changedSettings = someSettings + "# changed\n"

// A control process is replaced while the table's replicas lag: the table shows it revision 1, and its entry, which went
// on, has revision 2 in force. Acting by revision 1 it would place models and divide power as before an accepted change.
func TestReplacedWhileTheTableLagsStartsAtItsEntrysRevision(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, someSettings, 0)
	time.Sleep(600 * time.Millisecond) // the lag reaches back between the two commits
	commit(t, s, changedSettings, 1)
	committed := time.Now()
	lag := func() {
		s.SetFault(standin.Fault{Kind: standin.FaultStaleReads, DelayMS: time.Since(committed).Milliseconds() + 300})
	}
	lag()
	p, _ := start(t, s, "i1", &meshpb.SettingsBody{Revision: 2, Yaml: []byte(changedSettings)})
	until(t, "settings", func() bool { lag(); return p.Status().SettingsRevision > 0 })
	must.Eq(t, 2, p.Status().SettingsRevision)
}

// A control process is replaced while the store is down. Its entry has settings; without them it could neither follow its
// share of the power nor carry out an operator's drain until the store is back.
func TestReplacedInAnOutageGetsSettingsFromItsEntry(t *testing.T) {
	s := standin.New(standin.Config{})
	s.SetFault(standin.Fault{Kind: standin.FaultOutage})
	p, _ := start(t, s, "i1", &meshpb.SettingsBody{Revision: 2, Yaml: []byte(changedSettings)})
	until(t, "settings", func() bool { return p.Status().SettingsRevision == 2 })
}

// An instance is replaced as a whole. Its control process reads the table and must pass the revision on at once, though
// it waits itself to hear its entry: the entry waits a second for the table only, and would then start at its peers'.
func TestEntryIsToldBeforeTheControlProcessActsItself(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, someSettings, 0)
	from := time.Now()
	_, down := start(t, s, "i1")
	told(t, down, revision(1))
	must.Less(t, time.Second, time.Since(from))
}

// Until the control process has settings in force itself, its entry must hold to its fallback: it has the settings and
// no share yet, and would draw what it likes.
func TestFallbacksOfServicesStayUnderTheCap(t *testing.T) {
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
	must.LessEq(t, cap4kW, sum)
	must.MapEmpty(t, fallbackShares(nil))
}
