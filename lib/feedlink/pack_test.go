package feedlink

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
)

func manyRows(n int, firstVersion int64) []feed.Row {
	out := make([]feed.Row, n)
	for i := range out {
		out[i] = feed.Row{Key: fmt.Sprint("k", i), Value: bytes.Repeat([]byte{byte(i)}, 100), Version: firstVersion + int64(i)}
	}
	return out
}

// A change of many rows goes to all followers of a relay at the same moment. It is compressed once; an instance at another position gets
// what it lacks, and a later change is not answered from the cache.
func TestChangesArePackedOncePerPosition(t *testing.T) {
	p := newPacker()
	pack := func(after, version int64, rows []feed.Row) []byte {
		m := p.tableMessage("t", feed.Position{Version: after}, feed.Page{Rows: rows, Version: version}, false, time.Now())
		must.NotNil(t, m.Packed)
		return m.Packed
	}
	first := pack(10, 60, manyRows(50, 11))
	again := pack(10, 60, manyRows(50, 11))
	must.True(t, &first[0] == &again[0])
	must.NotEq(t, first, pack(9, 60, manyRows(51, 10)))
	must.NotEq(t, first, pack(10, 70, manyRows(60, 11)))
	must.MapLen(t, 1, p.pages)
}
