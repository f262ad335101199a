package resume

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// More streams begin than a table holds. Those whose callers have the least time left are dropped, and none is kept beyond its expiry.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	table.limit = 10
	for i := range uint64(20) {
		table.Put(t0, Entry{Key: i, Software: 7, Expires: t0.Add(time.Duration(100-i) * time.Second)})
	}
	must.Len(t, 10, table.All(t0))
	_, ok := table.Get(t0, 19)
	must.False(t, ok)
	e, ok := table.Get(t0, 0)
	must.True(t, ok)
	must.Eq(t, 7, e.Software)
	_, ok = table.Get(t0.Add(101*time.Second), 0)
	must.False(t, ok)
	table.Put(t0.Add(200*time.Second), Entry{Key: 50, Software: 7, Expires: t0.Add(300 * time.Second)})
	must.MapLen(t, 1, table.entries)
	must.Len(t, 1, table.order)
}

// A caller uses one id for two streams of different versions. Its stream must not continue at either: the id doesn't say which is meant.
func TestRecordOfTwoVersionsIsUseless(t *testing.T) {
	table := NewTable()
	for _, software := range []uint64{7, 7, 8, 7} {
		table.Put(t0, Entry{Key: 1, Software: software, Expires: t0.Add(time.Minute)})
	}
	e, ok := table.Get(t0, 1)
	must.True(t, ok)
	must.Eq(t, 0, e.Software)
}

// A caller names the attempt of another workspace.
func TestKeyDependsOnWorkspace(t *testing.T) {
	must.NotEq(t, Key("a", "1"), Key("b", "1"))
	must.NotEq(t, Key("a", "1"), Key("", "a1"))
}
