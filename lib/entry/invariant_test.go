package entry

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/stream"
	"anvilwick.example/anvilwick/lib/target"
)

// A bug in this program lets a token through out of order. The last check before the caller must catch it: the violation is
// counted and only that stream ends, with its own code and nothing out of order written.
func TestTokenOutOfOrderStopsStream(t *testing.T) {
	violations := 0
	invariant.SetHook(func(string, string) { violations++ })
	t.Cleanup(func() {
		invariant.SetHook(func(name, detail string) { panic("invariant " + name + ": " + detail) })
	})
	before := invariant.Count("token_order")
	s := New(Options{})
	g, sk := benchGeneration(s)
	v, _ := g.acceptToken(time.Now(), &target.Frame{Generation: g.id, Attempt: 1, Index: 0, Raw: []byte("{}")})
	must.Eq(t, stream.Deliver, v)
	good := string(sk.buf)
	sk.next = 5
	_, _ = g.acceptToken(time.Now(), &target.Frame{Generation: g.id, Attempt: 1, Index: 1, Raw: []byte("{}")})
	must.Eq(t, good, string(sk.buf))
	must.Eq(t, 1, violations)
	must.Eq(t, before+1, invariant.Count("token_order"))
	must.ErrorIs(t, context.Cause(g.ctx), invariant.ErrBroken)
	must.Eq(t, result.InvariantBroken, causeError(context.Cause(g.ctx)).Code)
}
