package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/routes"
)

// An instance terminates in 8 s. A stream that takes longer would be cut, and lost if it can't be repeated, so it is refused at
// once, while other instances can start it in time. Short streams, repeatable ones, and all streams while the engines' pace
// is unknown are served.
func TestLongStreamsAreRefusedWhileStopping(t *testing.T) {
	g := newTestGateway()
	long := &call{service: "s", output: 1000, route: &routes.Route{Kind: routes.Stream}}
	must.False(t, g.outlastsInstance(long))
	g.Stop(time.Now().Add(8 * time.Second))
	must.False(t, g.outlastsInstance(long))
	g.pace.observe("s", 100, time.Second)
	must.True(t, g.outlastsInstance(long))
	must.False(t, g.outlastsInstance(&call{service: "s", output: 100, route: long.route}))
	must.False(t, g.outlastsInstance(&call{service: "s", output: 1000, route: &routes.Route{Kind: routes.Stream, Resumable: true}}))
}
