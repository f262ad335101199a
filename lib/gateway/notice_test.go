package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// Limits as targets write them. The lowest of several applies; an invalid one is ignored.
func TestReadLimit(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   fleet.Limit
		ok     bool
	}{
		{nil, fleet.Limit{}, true},
		{[]string{"4.5"}, fleet.Limit{On: true, PerSecond: 4.5}, true},
		{[]string{" 0.0 "}, fleet.Limit{On: true}, true},
		{[]string{"7", "3", "x"}, fleet.Limit{On: true, PerSecond: 3}, true},
		{[]string{"1e9"}, fleet.Limit{On: true, PerSecond: 1e9}, true},
		{[]string{"NaN"}, fleet.Limit{}, false},
		{[]string{"-1"}, fleet.Limit{}, false},
		{[]string{"+Inf"}, fleet.Limit{}, false},
		{[]string{""}, fleet.Limit{}, false},
		{[]string{"many"}, fleet.Limit{}, false},
	} {
		got, ok := readLimit(c.values)
		must.Eq(t, c.ok, ok, must.Sprint(c.values))
		must.Eq(t, c.want, got, must.Sprint(c.values))
	}
}

// Numbers of rejections as targets write them. The lowest of several applies; an invalid one is ignored.
func TestReadBrittle(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   fleet.Brittle
		ok     bool
	}{
		{nil, fleet.Brittle{}, true},
		{[]string{"5"}, fleet.Brittle{On: true, MaxRejected: 5}, true},
		{[]string{" 7 ", "3", "x"}, fleet.Brittle{On: true, MaxRejected: 3}, true},
		{[]string{"0"}, fleet.Brittle{On: true}, true},
		{[]string{"-2"}, fleet.Brittle{}, false},
		{[]string{"1e300"}, fleet.Brittle{}, false},
		{[]string{"NaN"}, fleet.Brittle{}, false},
		{[]string{""}, fleet.Brittle{}, false},
	} {
		got, ok := readBrittle(c.values)
		must.Eq(t, c.ok, ok, must.Sprint(c.values))
		must.Eq(t, c.want, got, must.Sprint(c.values))
	}
}

// A target is brittle and rejects a request: it is limited at once, until it says that it is not brittle any more. A rejection by a target
// that is not brittle limits nothing.
func TestRejectionLimitsBrittleTarget(t *testing.T) {
	g := newTestGateway()
	target := fleet.Info{ID: "t", Service: "s"}
	g.Fleet.Apply(time.Now(), []fleet.Info{target}, nil, 0)
	rejection := http.Header{"Not-Run": {"1"}}
	g.ReadNotices(target, &wirehttp.Response{Status: 503, Header: rejection}, time.Now())
	must.False(t, g.Fleet.LimitOf("t").On)
	rejection.Set("Brittle", "4")
	g.ReadNotices(target, &wirehttp.Response{Status: 503, Header: rejection}, time.Now())
	must.Eq(t, fleet.Limit{On: true, PerSecond: 1}, g.Fleet.LimitOf("t").Limit)
	time.Sleep(time.Millisecond)
	g.ReadNotices(target, &wirehttp.Response{Status: 200, Header: http.Header{"Seal": {"s"}, "Brittle": {"4"}}}, time.Now())
	must.True(t, g.Fleet.LimitOf("t").On)
	g.ReadNotices(target, &wirehttp.Response{Status: 200, Header: http.Header{"Seal": {"s"}}}, time.Now())
	must.False(t, g.Fleet.LimitOf("t").On)
}

// A response from another target that now has the address neither begins nor ends a limit.
func TestLimitFromAnotherTargetIsIgnored(t *testing.T) {
	g := newTestGateway()
	target := fleet.Info{ID: "t", Service: "s"}
	g.Fleet.Apply(time.Now(), []fleet.Info{target}, nil, 0)
	g.ReadNotices(target, &wirehttp.Response{Status: 421, Header: http.Header{"Limit": {"3"}}}, time.Now())
	must.False(t, g.Fleet.LimitOf("t").On)
	g.ReadNotices(target, &wirehttp.Response{Status: 200, Header: http.Header{"Limit": {"3"}}}, time.Now())
	must.True(t, g.Fleet.LimitOf("t").On)
	time.Sleep(time.Millisecond)
	g.ReadNotices(target, &wirehttp.Response{Status: 200, Header: http.Header{}}, time.Now())
	must.True(t, g.Fleet.LimitOf("t").On)
	g.ReadNotices(target, &wirehttp.Response{Status: 200, Header: http.Header{"Seal": {"s"}}}, time.Now())
	must.False(t, g.Fleet.LimitOf("t").On)
}

// Two responses name different back-offs: the one that ends later applies, whichever arrives last. Responses from another
// target at the address, or from an earlier incarnation, don't count.
func TestLongestBackoffApplies(t *testing.T) {
	g := newTestGateway()
	target := fleet.Info{ID: "t", Service: "s", Born: 2}
	g.Fleet.Apply(time.Now(), []fleet.Info{target}, nil, 0)
	respond := func(from fleet.Info, status int, after string) {
		g.ReadNotices(from, &wirehttp.Response{Status: status, Header: http.Header{"Retry-After": {after}}}, time.Now())
	}
	respond(target, 421, "9")
	respond(target, 200, "9")
	respond(fleet.Info{ID: "t", Service: "s", Born: 1}, 503, "9")
	must.False(t, g.Fleet.InBackoff(time.Now(), "t"))
	respond(target, 503, "9")
	respond(target, 503, "0.1")
	must.True(t, g.Fleet.InBackoff(time.Now().Add(8*time.Second), "t"))
	must.False(t, g.Fleet.InBackoff(time.Now().Add(9*time.Second), "t"))
	target.Born = 3
	g.Fleet.Apply(time.Now(), []fleet.Info{target}, nil, 0)
	must.False(t, g.Fleet.InBackoff(time.Now(), "t"))
}

// A target whose entry is gone says in a response that it leaves. Its notice must be reported, or its entry, written once more meanwhile, would bring it
// back at the other instances.
func TestDelistedTargetAnnouncesLeaving(t *testing.T) {
	g := newTestGateway()
	target := fleet.Info{ID: "t", Service: "s"}
	g.Fleet.Apply(time.Now(), []fleet.Info{target}, nil, 0)
	g.Fleet.Apply(time.Now(), nil, []string{"t"}, 0)
	reported := 0
	g.OnLeaving = func(t fleet.Info) {
		reported++
		g.Fleet.MarkLeaving(time.Now(), t.ID, t.Born)
	}
	for range 2 {
		g.ReadNotices(target, &wirehttp.Response{Status: 200, Header: http.Header{"Seal": {"s"}, "Leaving": {"1"}}}, time.Now())
	}
	must.Eq(t, 1, reported)
}
