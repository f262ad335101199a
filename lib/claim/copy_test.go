package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// comesBack puts the table back to a copy of some time ago.
func comesBack(s *standin.Server, age time.Duration) {
	s.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: age.Milliseconds()})
}

// A request was sent, and the table comes back from a copy without its claim. The key is sent again to another entry: it must not run a
// second time, neither while the first run goes on nor after it has ended.
func TestClaimThatACopyLacksIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b")
		go a.Run(t.Context())
		go b.Run(t.Context())
		time.Sleep(time.Second)
		c := mustSend(t, a, request("x"))
		comesBack(s, 500*time.Millisecond)
		must.Eq(t, result.StoreDown, refusal(t, b, request("x")))
		time.Sleep(10 * time.Second)
		must.Eq(t, result.AlreadyRunning, refusal(t, b, request("x")))
		finishes(t, a, c)
		comesBack(s, 2*time.Second)
		time.Sleep(lookSeldom + settleFor + time.Second) // b has nothing to write again, and looks seldom
		mustReplay(t, b, request("x"))
	})
}

// Keys that nobody has sent wait for as long as others may be writing theirs again, and no longer; an entry that had nothing to do when the
// table came back knows of it before its next caller comes.
func TestClaimsAreBegunAgainSoonAfterACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		busy, idle := entry(s, "a"), entry(s, "b")
		go busy.Run(t.Context())
		go idle.Run(t.Context())
		time.Sleep(time.Minute)
		c := mustBegin(t, busy, request("x"))
		c.Release()
		settled(t, busy)
		comesBack(s, time.Second)
		time.Sleep(lookEvery + time.Millisecond)
		other := request("y")
		other.Key = "key-2"
		must.Eq(t, result.StoreDown, refusal(t, busy, other))
		time.Sleep(settleFor)
		mustBegin(t, busy, other)
		time.Sleep(lookSeldom)
		third := request("z")
		third.Key = "key-3"
		mustBegin(t, idle, third)
	})
}

// The first that an entry hears of a copy is the answer to a claim. The claim is given back, and its caller is told that nothing ran.
func TestClaimThatCrossesACopyIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a := entry(s, "a")
		key := mustBegin(t, a, request("x")).key
		comesBack(s, time.Hour)
		other := request("y")
		other.Key = "key-2"
		must.Eq(t, result.StoreDown, refusal(t, a, other))
		settled(t, a)
		it, ok := s.Item(tableKey(other.Workspace, other.Key))
		must.True(t, ok)
		r, err := decode(it)
		must.NoError(t, err)
		must.Eq(t, Released, r.State)
		_, ok = s.Item(key)
		must.False(t, ok)
	})
}

// A request was sent, and its key is sent again to the same entry right after the table came back without the claim. Turning that one away
// must not make the entry forget that the first was sent.
func TestResendAtTheSameEntryDoesNotHideTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b := entry(s, "a"), entry(s, "b")
		go a.Run(t.Context())
		go b.Run(t.Context())
		time.Sleep(time.Second)
		c := mustSend(t, a, request("x"))
		finishes(t, a, c)
		comesBack(s, 500*time.Millisecond)
		must.Eq(t, result.StoreDown, refusal(t, a, request("x")))
		time.Sleep(lookSeldom + settleFor + time.Second)
		mustReplay(t, b, request("x"))
	})
}

// The outcome of a run is on its way to the table as that comes back from a copy without the claim. It is written all the same: resends
// would else hear for as long as the entry lives that the request is in progress.
func TestOutcomeThatCrossesACopyIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a := entry(s, "a")
		c := mustSend(t, a, request("x"))
		comesBack(s, time.Hour)
		finishes(t, a, c)
		it, ok := s.Item(c.key)
		must.True(t, ok)
		r, err := decode(it)
		must.NoError(t, err)
		must.Eq(t, Finished, r.State)
	})
}
