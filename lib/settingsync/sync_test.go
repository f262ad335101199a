package settingsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

func TestCommittedRevisionComesIntoForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newTable(standin.Config{})
		f := newFleet()
		defer f.stopAll()
		for n := range 8 {
			f.start(t.Context(), fmt.Sprint("entry-", n), table)
		}
		for n := range uint64(4) {
			commit(t, table, n, tree(int(n)))
			time.Sleep(5 * time.Second)
			for name, s := range f.syncs {
				must.Eq(t, n+1, inForce(s), must.Sprint(name))
			}
		}
		must.Eq(t, 3, f.syncs["entry-0"].Current().Snapshot.Policy("", "", "urgent").Priority)
	})
}

// The table's replicas lag: after revision 2 came into force, reads show revision 1 for a while. An instance that
// followed them would undo an accepted change.
func TestStaleReadNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, table := newTable(standin.Config{})
		f := newFleet()
		defer f.stopAll()
		s := f.start(t.Context(), "entry-0", table)
		commit(t, table, 0, tree(1))
		time.Sleep(time.Minute)
		commit(t, table, 1, tree(2))
		time.Sleep(5 * time.Second)
		must.Eq(t, 2, inForce(s))
		stale := staleTotal.Get()
		srv.SetFault(standin.Fault{Kind: standin.FaultStaleReads, DelayMS: 30_000, DurationMS: 10_000})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, 2, inForce(s))
		}
		must.Greater(t, stale, staleTotal.Get())
	})
}

// A peer was cut off and comes back with revision 1; late answers bring it too. Neither may win over revision 2.
func TestLowerRevisionFromAPeerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.stopAll()
		s := f.start(t.Context(), "entry-0", nil)
		must.True(t, s.Receive(&meshpb.SettingsBody{Revision: 2, Yaml: tree(2)}, "control"))
		must.False(t, s.Receive(&meshpb.SettingsBody{Revision: 1, Yaml: tree(1)}, "peer entry-1"))
		time.Sleep(5 * time.Second)
		must.Eq(t, 2, inForce(s))
	})
}

// The store is down, and every instance is replaced in turn, as in a rolling restart. Each new one starts with
// nothing and must get the newest revision from peers that got it from peers; in the end nobody is left who ever
// read it from the table.
func TestAllRestartedInTurnDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, table := newTable(standin.Config{})
		f := newFleet()
		defer f.stopAll()
		const size = 5
		for n := range size {
			f.start(t.Context(), fmt.Sprint("entry-", n), table)
		}
		commit(t, table, 0, tree(1))
		commit(t, table, 1, tree(2))
		time.Sleep(5 * time.Second)
		srv.SetFault(standin.Fault{Kind: standin.FaultOutage})
		for n := range size {
			name := fmt.Sprint("entry-", n)
			f.stop(name)
			time.Sleep(time.Second)
			s := f.start(t.Context(), name, table)
			time.Sleep(5 * time.Second)
			must.Eq(t, 2, inForce(s), must.Sprint(name))
		}
		srv.SetFault(standin.Fault{Kind: standin.FaultClear})
		time.Sleep(2 * time.Second) // the client's breaker closes
		commit(t, table, 2, tree(3))
		time.Sleep(5 * time.Second)
		for name, s := range f.syncs {
			must.Eq(t, 3, inForce(s), must.Sprint(name))
		}
	})
}

// An instance is replaced while the table's replicas lag: the first thing that it reads is revision 1, though its
// peers hold 2. It must not serve by revision 1 for a while.
func TestReplacedInstanceWaitsForPeersBeforeAStaleTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv, table := newTable(standin.Config{})
		f := newFleet()
		defer f.stopAll()
		f.start(t.Context(), "entry-0", table)
		commit(t, table, 0, tree(1))
		time.Sleep(time.Minute)
		commit(t, table, 1, tree(2))
		time.Sleep(5 * time.Second)
		srv.SetFault(standin.Fault{Kind: standin.FaultStaleReads, DelayMS: 30_000})
		s := f.start(t.Context(), "entry-1", table)
		for inForce(s) == 0 {
			<-s.Updated()
		}
		must.Eq(t, 2, inForce(s))
	})
}

// An instance had revision 2 in force a moment before its peers, and is replaced. The new one hears of revision 1 from
// its peers at once, and of revision 2 from its control process a little later. It must not serve by revision 1 in
// between: there, an accepted change would come and go.
func TestReplacedInstanceWaitsForItsControlProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.stopAll()
		f.start(t.Context(), "entry-0", nil).Receive(&meshpb.SettingsBody{Revision: 1, Yaml: tree(1)}, "control")
		time.Sleep(5 * time.Second)
		s := f.start(t.Context(), "entry-1", nil)
		time.Sleep(700 * time.Millisecond)
		must.Eq(t, 0, inForce(s))
		s.Receive(&meshpb.SettingsBody{Revision: 2, Yaml: tree(2)}, "control")
		for inForce(s) == 0 {
			<-s.Updated()
		}
		must.Eq(t, 2, inForce(s))
	})
}

// Half of the instances lose the store, not each other. A change is committed; they get it from the others.
func TestCutOffFromTheStoreLearnsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, table := newTable(standin.Config{})
		downSrv, down := newTable(standin.Config{})
		downSrv.SetFault(standin.Fault{Kind: standin.FaultOutage})
		f := newFleet()
		defer f.stopAll()
		f.start(t.Context(), "entry-0", table)
		cut := f.start(t.Context(), "entry-1", down)
		for n := range uint64(20) {
			commit(t, table, n, tree(int(n)))
			time.Sleep(time.Second)
			must.GreaterEq(t, max(n, 4)-4, inForce(cut))
		}
		time.Sleep(5 * time.Second)
		must.Eq(t, 20, inForce(cut))
	})
}

// A newer anvilwick-ctl commits a key that this program does not know. The instance keeps the last good revision and
// says so, still hands the new one to peers, and takes the next that it can read.
func TestUnreadableRevisionKeepsTheLastGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.stopAll()
		s := f.start(t.Context(), "entry-0", nil)
		s.Receive(&meshpb.SettingsBody{Revision: 1, Yaml: tree(1)}, "control")
		time.Sleep(5 * time.Second)
		newer := append(tree(2), "moods: {}\n"...)
		s.Receive(&meshpb.SettingsBody{Revision: 2, Yaml: newer}, "control")
		time.Sleep(5 * time.Second)
		st := s.Status()
		must.Eq(t, 1, st.InForce)
		must.Eq(t, 2, st.Seen)
		must.StrContains(t, st.Rejected, "moods: got an unknown key")
		must.Eq(t, 2, s.Answer(&meshpb.SettingsOffer{Revision: 1}).GetRevision())
		s.Receive(&meshpb.SettingsBody{Revision: 3, Yaml: tree(3)}, "control")
		time.Sleep(5 * time.Second)
		must.Eq(t, 3, inForce(s))
		must.Eq(t, "", s.Status().Rejected)
	})
}

// Two texts under one number would make instances differ for good. The second is refused and counted.
func TestSecondTextOfARevisionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.stopAll()
		s := f.start(t.Context(), "entry-0", nil)
		s.Receive(&meshpb.SettingsBody{Revision: 1, Yaml: tree(1)}, "control")
		time.Sleep(5 * time.Second)
		before := splitTotal.Get()
		s.Receive(&meshpb.SettingsBody{Revision: 1, Yaml: tree(2)}, "peer entry-1")
		time.Sleep(5 * time.Second)
		must.Eq(t, before+1, splitTotal.Get())
		must.Eq(t, 1, s.Current().Snapshot.Policy("", "", "urgent").Priority)
	})
}

func TestRestFollowsTheCostOfASwap(t *testing.T) {
	s := New(Config{})
	must.Eq(t, 200*time.Millisecond, s.rest(time.Millisecond))
	must.Eq(t, DefaultMaxSwapWait, s.rest(time.Second))
}

func TestPollInterval(t *testing.T) {
	must.Eq(t, time.Second, PollInterval(8, 2000))
	must.Eq(t, 2150*time.Millisecond, PollInterval(430, 2000))
	must.Eq(t, time.Second, PollInterval(8, 0))
}
