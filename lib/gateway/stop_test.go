package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/routes"
)

// An instance is stopped and ends in 8 s. A stream that takes longer is cut then, and lost if it can't be run again: it
// is refused at once, while other instances can begin it in time. Short ones, those that can be run again, and all
// before anything is known of the engines' pace are served.
func TestLongStreamsAreRefusedWhileStopping(t *testing.T) {
	g := newTestGateway()
	long := &call{service: "s", output: 1000, route: &routes.Route{Kind: routes.Stream}}
	must.False(t, g.endsTooSoon(long))
	g.Stop(time.Now().Add(8 * time.Second))
	must.False(t, g.endsTooSoon(long))
	g.paces.saw("s", 100, time.Second)
	must.True(t, g.endsTooSoon(long))
	must.False(t, g.endsTooSoon(&call{service: "s", output: 100, route: long.route}))
	must.False(t, g.endsTooSoon(&call{service: "s", output: 1000, route: &routes.Route{Kind: routes.Stream, Resumable: true}}))
}

// A caller that was refused comes back with what is left of its time. That tells it from one that comes for the first
// time, although each call has an id of its own.
func TestCallersThatCameBack(t *testing.T) {
	now := time.Now()
	c := &call{arrived: now, deadline: now.Add(39 * time.Second), route: &routes.Route{Timeout: 39 * time.Second}}
	must.False(t, c.cameBack())
	c.deadline = now.Add(37 * time.Second)
	must.True(t, c.cameBack())
	c.route = &routes.Route{}
	must.False(t, c.cameBack())
}
