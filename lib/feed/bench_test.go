package feed

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkEmptyPage merges an empty page into a table of 3,000 targets: the most common page that an instance receives.
func BenchmarkEmptyPage(b *testing.B) {
	r := NewReplica(func(Update) {})
	rows := make([]Row, 3000)
	for i := range rows {
		rows[i] = Row{Key: fmt.Sprint("t", i), Value: make([]byte, 150), Version: int64(i + 1)}
	}
	r.Merge(Page{Rows: rows, Version: 3000}, true, time.Now())
	b.ReportAllocs()
	for b.Loop() {
		r.Merge(Page{Version: 3000}, false, time.Now())
	}
}

// BenchmarkNewEra merges the whole table of a new era when nothing was lost.
func BenchmarkNewEra(b *testing.B) {
	rows := make([]Row, 3000)
	for i := range rows {
		rows[i] = Row{Key: fmt.Sprint("t", i), Value: make([]byte, 150), Version: int64(i + 1)}
	}
	r := NewReplica(func(Update) {}).WithRetention(Retention{Period: time.Second})
	era := int64(0)
	for b.Loop() {
		era++
		r.Merge(Page{Rows: rows, Version: 3000, Era: era}, true, time.Now())
	}
}
