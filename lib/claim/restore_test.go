package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// restoreBackup restores the table from a backup of the given age.
func restoreBackup(s *standin.Server, age time.Duration) {
	s.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: age.Milliseconds()})
}

// A request was sent, and the table is restored from a backup without its claim. The key is sent again to another entry: it must not run
// a second time, neither while the first run continues nor after it has ended.
func TestClaimMissingAfterRestoreIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b")
		go a.Run(t.Context())
		go b.Run(t.Context())
		time.Sleep(time.Second)
		c := mustSend(t, a, request("x"))
		restoreBackup(s, 500*time.Millisecond)
		must.Eq(t, result.StoreDown, refusal(t, b, request("x")))
		time.Sleep(10 * time.Second)
		must.Eq(t, result.AlreadyRunning, refusal(t, b, request("x")))
		mustFinish(t, a, c)
		restoreBackup(s, 2*time.Second)
		time.Sleep(idleProbeInterval + settlePeriod + time.Second) // b has nothing to rewrite, and checks at the longer interval
		mustReplay(t, b, request("x"))
	})
}

// New keys wait while other processes may be rewriting their claims, and no longer. An entry that was idle at the restore notices it
// before its next caller arrives.
func TestNewClaimsResumeSoonAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		active, idle := entry(s, "a"), entry(s, "b")
		go active.Run(t.Context())
		go idle.Run(t.Context())
		time.Sleep(time.Minute)
		c := mustBegin(t, active, request("x"))
		c.Release()
		mustFlush(t, active)
		restoreBackup(s, time.Second)
		time.Sleep(probeInterval + time.Millisecond)
		other := request("y")
		other.Key = "key-2"
		must.Eq(t, result.StoreDown, refusal(t, active, other))
		time.Sleep(settlePeriod)
		mustBegin(t, active, other)
		time.Sleep(idleProbeInterval)
		third := request("z")
		third.Key = "key-3"
		mustBegin(t, idle, third)
	})
}

// An entry learns of a restore from the answer to a claim. The claim is released, and its caller is told that nothing ran.
func TestClaimBegunDuringRestoreIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a := entry(s, "a")
		key := mustBegin(t, a, request("x")).key
		restoreBackup(s, time.Hour)
		other := request("y")
		other.Key = "key-2"
		must.Eq(t, result.StoreDown, refusal(t, a, other))
		mustFlush(t, a)
		it, ok := s.Item(tableKey(other.Workspace, other.Key))
		must.True(t, ok)
		r, err := decode(it)
		must.NoError(t, err)
		must.Eq(t, Released, r.State)
		_, ok = s.Item(key)
		must.False(t, ok)
	})
}

// A request was sent, and its key is sent again to the same entry right after a restore that lost the claim. Refusing the resend must not
// make the entry lose its record that the first was sent.
func TestRefusedResendKeepsRetainedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b")
		go a.Run(t.Context())
		go b.Run(t.Context())
		time.Sleep(time.Second)
		c := mustSend(t, a, request("x"))
		mustFinish(t, a, c)
		restoreBackup(s, 500*time.Millisecond)
		must.Eq(t, result.StoreDown, refusal(t, a, request("x")))
		time.Sleep(idleProbeInterval + settlePeriod + time.Second)
		mustReplay(t, b, request("x"))
	})
}

// The table is restored from a backup without the claim while the outcome of its run is being written. The outcome is still written:
// otherwise resends would get "in progress" for as long as the entry lives.
func TestOutcomeIsWrittenAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a := entry(s, "a")
		c := mustSend(t, a, request("x"))
		restoreBackup(s, time.Hour)
		mustFinish(t, a, c)
		it, ok := s.Item(c.key)
		must.True(t, ok)
		r, err := decode(it)
		must.NoError(t, err)
		must.Eq(t, Finished, r.State)
	})
}
