package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
)

// What targets write as a limit. Of several the lowest holds, and what can't be read says nothing.
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

// An answer without the target's mark, of whoever has its address now, does not end its limit.
func TestOnlyATargetsOwnAnswerEndsItsLimit(t *testing.T) {
	g := newTestGateway()
	target := fleet.Info{ID: "t", Service: "s"}
	g.Fleet.Apply(time.Now(), []fleet.Info{target}, nil, 0)
	g.readNotices(target, http.Header{"Limit": {"3"}}, time.Now())
	must.True(t, g.Fleet.LimitOf("t").On)
	time.Sleep(time.Millisecond)
	g.readNotices(target, http.Header{}, time.Now())
	must.True(t, g.Fleet.LimitOf("t").On)
	g.readNotices(target, http.Header{"Seal": {"s"}}, time.Now())
	must.False(t, g.Fleet.LimitOf("t").On)
}
