package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

// An entry is frozen for so long that it is taken for dead, and its caller keeps the connection. A second process of the
// caller sends the request again through another entry, which takes the generation over. Then the first entry wakes. Its
// caller must hear that another entry goes on, or have the whole answer if that had come to it already; it may get no token
// twice, and no part that ends as if it were the whole. The second caller sees nothing of all this.
func TestFrozenEntryGivesItsStreamUp(t *testing.T) {
	site, ctx := siteOf(t, 2, 3)
	const tokens = 1500
	call := caller.Call{Entry: 0, Key: "extraction-frozen"}
	old := start(ctx, clientOf(site), "kept connection", tokens, call)
	old.reach(t, ctx, 100)
	must.NoError(t, site.Entries[0].Freeze())
	call.Entry = 1
	var next *stream
	must.NoError(t, proc.Until(ctx, "another entry to take it over", func(ctx context.Context) error {
		next = start(ctx, clientOf(site), "kept connection", tokens, call)
		return next.begun()
	}))
	must.NoError(t, site.Entries[0].Thaw())
	thawed := time.Now()
	select {
	case <-old.done:
	case <-ctx.Done():
		t.Fatal("the old connection does not end")
	}
	t.Logf("old connection ends %v after SIGCONT: %+v %v, %d tokens", time.Since(thawed), old.res, old.err, old.res.Tokens)
	next.whole(t, ctx)
	must.StrHasPrefix(t, old.text.String(), next.text.String())
	if old.err == nil {
		must.NoError(t, engine.CheckAnswer(old.prompt, old.text.String(), tokens))
		return
	}
	must.False(t, old.res.Done)
	must.Eq(t, result.TakenOver, old.res.Code)
}

// The entry of a keyed stream is killed, and two processes of its caller ask the two others for the same key at once.
// One of them gets the stream; the other hears that it runs, and starts nothing.
func TestTwoCallersAfterTheDeathOfAnEntry(t *testing.T) {
	site, ctx := siteOf(t, 2, 3)
	const tokens = 800
	call := caller.Call{Entry: 0, Key: "extraction-two"}
	first := start(ctx, clientOf(site), "asked twice", tokens, call)
	first.reach(t, ctx, 100)
	must.NoError(t, site.Entries[0].Kill())
	<-first.done
	var both [2]*stream
	must.NoError(t, proc.Until(ctx, "one of them to get the stream", func(ctx context.Context) error {
		for i := range both {
			call.Entry = i + 1
			both[i] = start(ctx, clientOf(site), "asked twice", tokens, call)
		}
		err := both[0].begun()
		if err == nil {
			return nil
		}
		return both[1].begun()
	}))
	got, refused := both[0], both[1]
	if got.begun() != nil {
		got, refused = refused, got
	}
	must.Error(t, refused.begun())
	must.Eq(t, result.AlreadyRunning, refused.res.Code)
	got.whole(t, ctx)
}

// begun waits until a stream has given a token, or has ended without one, and then returns why.
func (s *stream) begun() error {
	select {
	case tok := <-s.seen:
		s.seen <- tok
		return nil
	case <-s.done:
		return s.err
	}
}
