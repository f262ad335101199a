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

// An entry is frozen until its peers consider it dead, while its caller keeps the connection. A second client process of that
// caller sends the request again through another entry, which takes the generation over. Then the first entry continues. Its
// client must be told that another entry has taken over, or get the whole answer if that had already arrived; it must get no
// token twice, and no partial answer that looks complete. The second client must not be affected.
func TestFrozenEntryYieldsItsStream(t *testing.T) {
	site, ctx := startSite(t, 2, 3)
	const tokens = 1500
	call := caller.Call{Entry: 0, Key: "extraction-frozen"}
	old := startStream(ctx, newClient(site), "kept connection", tokens, call)
	old.awaitToken(t, ctx, 100)
	must.NoError(t, site.Entries[0].Freeze())
	call.Entry = 1
	var next *stream
	must.NoError(t, proc.Until(ctx, "another entry to take it over", func(ctx context.Context) error {
		next = startStream(ctx, newClient(site), "kept connection", tokens, call)
		return next.awaitFirstToken()
	}))
	must.NoError(t, site.Entries[0].Thaw())
	thawed := time.Now()
	select {
	case <-old.done:
	case <-ctx.Done():
		t.Fatal("the old connection did not end in time")
	}
	t.Logf("old connection ended %v after SIGCONT: %+v %v, %d tokens", time.Since(thawed), old.res, old.err, old.res.Tokens)
	next.checkComplete(t, ctx)
	must.StrHasPrefix(t, old.text.String(), next.text.String())
	if old.err == nil {
		must.NoError(t, engine.CheckAnswer(old.prompt, old.text.String(), tokens))
		return
	}
	must.False(t, old.res.Done)
	must.Eq(t, result.TakenOver, old.res.Code)
}

// The entry of a keyed stream is killed, and two clients request the same key at the two other entries at once. One must get
// the stream; the other must get AlreadyRunning, and nothing may be started for it.
func TestConcurrentRetriesAfterEntryIsKilled(t *testing.T) {
	site, ctx := startSite(t, 2, 3)
	const tokens = 800
	call := caller.Call{Entry: 0, Key: "extraction-two"}
	first := startStream(ctx, newClient(site), "asked twice", tokens, call)
	first.awaitToken(t, ctx, 100)
	must.NoError(t, site.Entries[0].Kill())
	<-first.done
	var both [2]*stream
	must.NoError(t, proc.Until(ctx, "one of them to get the stream", func(ctx context.Context) error {
		for i := range both {
			call.Entry = i + 1
			both[i] = startStream(ctx, newClient(site), "asked twice", tokens, call)
		}
		err := both[0].awaitFirstToken()
		if err == nil {
			return nil
		}
		return both[1].awaitFirstToken()
	}))
	got, refused := both[0], both[1]
	if got.awaitFirstToken() != nil {
		got, refused = refused, got
	}
	must.Error(t, refused.awaitFirstToken())
	must.Eq(t, result.AlreadyRunning, refused.res.Code)
	got.checkComplete(t, ctx)
}

// awaitFirstToken waits until a stream has delivered a token and returns nil, or until it has ended without one and returns its error.
func (s *stream) awaitFirstToken() error {
	select {
	case tok := <-s.seen:
		s.seen <- tok
		return nil
	case <-s.done:
		return s.err
	}
}
