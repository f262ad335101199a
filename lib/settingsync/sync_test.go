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

// The table's replicas lag: after revision 2 came into force, reads return revision 1 for a while. An instance that
// followed them would undo an accepted change.
func TestStaleReadDoesNotRevert(t *testing.T) {
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

// A peer that was partitioned comes back with revision 1, which late replies also carry. Revision 2 must stay in force.
func TestOlderPeerRevisionIsIgnored(t *testing.T) {
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

// The store is down and every instance is replaced in turn, as in a rolling restart. Each new one starts without settings
// and must get the newest revision from peers, which got it from peers; in the end no instance is left that read it from
// the table.
func TestRollingRestartDuringOutage(t *testing.T) {
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
		time.Sleep(2 * time.Second) // until the client's circuit breaker closes
		commit(t, table, 2, tree(3))
		time.Sleep(5 * time.Second)
		for name, s := range f.syncs {
			must.Eq(t, 3, inForce(s), must.Sprint(name))
		}
	})
}

// An instance is replaced while the table's replicas lag: its first read returns revision 1, though its peers have 2. It
// must not activate revision 1.
func TestReplacementWaitsForPeersWhenTableIsStale(t *testing.T) {
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

// An instance that had revision 2 in force slightly before its peers is replaced. The new one receives revision 1 from its
// peers at once and revision 2 from its control process a little later. It must not activate revision 1 in between, or an
// accepted change would disappear for a while.
func TestReplacementWaitsForControlProcess(t *testing.T) {
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

// Some instances lose the store but not their peers. They must get committed changes from the peers.
func TestInstanceWithoutStoreFetchesFromPeers(t *testing.T) {
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

// A newer anvilwick-ctl commits a key that this program does not know. The instance keeps the last valid revision and
// reports the rejection, still offers the new one to peers, and activates the next one that it can parse.
func TestUnreadableRevisionKeepsActiveSettings(t *testing.T) {
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

// Two texts under one revision number would make instances diverge. The second must be ignored and counted.
func TestConflictingTextForRevisionIsRejected(t *testing.T) {
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

func TestSwapDelayIsProportionalToSwapTime(t *testing.T) {
	s := New(Config{})
	must.Eq(t, 200*time.Millisecond, s.swapDelay(time.Millisecond))
	must.Eq(t, DefaultMaxSwapWait, s.swapDelay(time.Second))
}

func TestPollInterval(t *testing.T) {
	must.Eq(t, time.Second, PollInterval(8, 2000))
	must.Eq(t, 2150*time.Millisecond, PollInterval(430, 2000))
	must.Eq(t, time.Second, PollInterval(8, 0))
}
