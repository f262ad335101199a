package feed

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// firstVersion is the version of rows that were written before a test begins.
const firstVersion = 1

// retentionPeriod is the retention period in these tests.
const retentionPeriod = 5 * time.Second

// parseWriteSeq parses values such as "3: text" or "incarnation.3: text".
func parseWriteSeq(row Row) (WriteSeq, bool) {
	head, _, _ := strings.Cut(string(row.Value), ":")
	incarnation, n, ok := strings.Cut(head, ".")
	if !ok {
		incarnation, n = "0", head
	}
	inc, err := strconv.ParseInt(incarnation, 10, 64)
	if err != nil {
		return WriteSeq{}, false
	}
	i, err := strconv.ParseInt(n, 10, 64)
	return WriteSeq{Incarnation: inc, Number: i}, err == nil
}

// restoredReplica is a replica of a store that is restored from backups.
type restoredReplica struct {
	r       *Replica
	visible map[string]string
	last    Update
	written map[string]Row // last write of each row
}

func newRestoredReplica() *restoredReplica {
	c := &restoredReplica{visible: make(map[string]string), written: make(map[string]Row)}
	c.r = NewReplica(func(u Update) {
		c.last = u
		for _, row := range u.Rows {
			if row.Removed {
				delete(c.visible, row.Key)
			} else {
				c.visible[row.Key] = string(row.Value)
			}
		}
	}).WithRetention(Retention{Period: retentionPeriod, WriteSeq: parseWriteSeq})
	return c
}

// snapshot merges a whole table given as alternating keys and values. Backups keep the versions of rows: a row with the value of its last
// write is that write, with the version that it had. A row that is new here was written when the history began, before all backups.
func (c *restoredReplica) snapshot(at Position, rows ...string) {
	page := Page{Era: at.Era, Version: at.Version}
	for i := 0; i < len(rows); i += 2 {
		row := Row{Key: rows[i], Value: []byte(rows[i+1]), Version: at.Version}
		if last, known := c.written[row.Key]; !known {
			row.Version = firstVersion
		} else if string(last.Value) == rows[i+1] {
			row.Version = last.Version
		}
		page.Rows = append(page.Rows, row)
	}
	c.merge(page, true)
}

// changes merges changes, each a new write; an empty value is a removal.
func (c *restoredReplica) changes(at Position, rows ...string) {
	page := Page{Era: at.Era, Version: at.Version}
	for i := 0; i < len(rows); i += 2 {
		page.Rows = append(page.Rows, Row{Key: rows[i], Value: []byte(rows[i+1]), Version: at.Version, Removed: rows[i+1] == ""})
	}
	c.merge(page, false)
}

func (c *restoredReplica) merge(page Page, whole bool) {
	for _, row := range page.Rows {
		if !row.Removed {
			c.written[row.Key] = row
		}
	}
	c.r.Merge(page, whole, time.Now())
}

// The backup has older settings. The newer ones stay in force through repeated older writes until a newer write: a revoked key stays
// revoked.
func TestNewerWriteSurvivesRestore(t *testing.T) {
	c := newRestoredReplica()
	c.snapshot(Position{1, 10}, "s", "7: held")
	c.snapshot(Position{2, 5}, "s", "3: copy")
	must.Eq(t, "7: held", c.visible["s"])
	must.Eq(t, RetainedCounts{Writes: 1}, c.last.RetainedCounts)
	c.changes(Position{2, 6}, "s", "5: again")
	must.Eq(t, "7: held", c.visible["s"])
	c.changes(Position{2, 7}, "s", "7: again")
	c.changes(Position{2, 8}, "s", "9: next")
	must.Eq(t, "9: next", c.visible["s"])
	c.snapshot(Position{3, 1}, "s", "1: copy")
	must.Eq(t, "9: next", c.visible["s"])
}

// A row missing from the backup stays for the retention period and is removed if nobody has written it again; a removal in the new era
// takes effect at once.
func TestRowMissingAfterRestoreIsRetainedForPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestoredReplica()
		c.snapshot(Position{1, 10}, "a", "x", "b", "x", "c", "x")
		c.snapshot(Position{2, 5})
		must.MapLen(t, 3, c.visible)
		must.Eq(t, RetainedCounts{Rows: 3}, c.last.RetainedCounts)
		c.changes(Position{2, 6}, "b", "x")
		c.changes(Position{2, 7}, "c", "")
		must.Eq(t, map[string]string{"a": "x", "b": "x"}, c.visible)
		time.Sleep(retentionPeriod + time.Millisecond)
		c.changes(Position{2, 7})
		must.Eq(t, map[string]string{"b": "x"}, c.visible)
	})
}

// The store becomes unreachable right after a restore. Retained rows stay until it is reachable again: nobody could write meanwhile.
func TestRetentionDoesNotExpireDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestoredReplica()
		c.snapshot(Position{1, 10}, "a", "x")
		restoredAt := time.Now()
		c.snapshot(Position{2, 5})
		time.Sleep(retentionPeriod + time.Second)
		c.r.Merge(Page{Era: 2, Version: 5}, false, restoredAt) // from a peer that has not reached the store since
		must.MapLen(t, 1, c.visible)
	})
}

// A removed row is back after a restore and stays hidden for the retention period; one written by a new incarnation is shown at once.
func TestRemovedRowStaysHiddenAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestoredReplica()
		c.snapshot(Position{1, 10}, "a", "1.4: x", "b", "1.4: x")
		c.changes(Position{1, 12}, "a", "", "b", "")
		c.snapshot(Position{2, 5}, "a", "1.3: x", "b", "1.3: x")
		must.MapEmpty(t, c.visible)
		must.Eq(t, RetainedCounts{Removals: 2}, c.last.RetainedCounts)
		must.Len(t, 2, c.r.Resurrected())
		c.changes(Position{2, 6}, "a", "2.1: new start")
		must.Eq(t, map[string]string{"a": "2.1: new start"}, c.visible)
		time.Sleep(retentionPeriod + time.Millisecond)
		c.changes(Position{2, 6})
		must.Eq(t, "1.3: x", c.visible["b"])
	})
}

// A removed row that is back in a restored store may belong to a writer that has left. Shown as soon as missing rows are given up, it would be taken
// for written again; it is hidden for a period of its own, in which the store removes it.
func TestRemovedRowIsHiddenForItsOwnPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestoredReplica()
		c.r.retention.HiddenPeriod = 2 * retentionPeriod
		c.snapshot(Position{Era: 1, Version: 10}, "gone", "1: x", "kept", "1: y")
		c.changes(Position{Era: 1, Version: 11}, "gone", "")
		c.snapshot(Position{Era: 2, Version: 10}, "gone", "1: x")
		time.Sleep(retentionPeriod + time.Second)
		c.changes(Position{Era: 2, Version: 11})
		must.MapEmpty(t, c.visible)
		time.Sleep(retentionPeriod)
		c.changes(Position{Era: 2, Version: 12})
		must.Eq(t, map[string]string{"gone": "1: x"}, c.visible)
	})
}

// A row was removed and written again by a writer without sequence numbers, before anything of the new era was read. Its value differs
// from before, so the restore did not bring back the old row.
func TestRewrittenRowIsShownAfterRestore(t *testing.T) {
	c := newRestoredReplica()
	c.snapshot(Position{1, 10}, "a", "before", "b", "before")
	c.changes(Position{1, 12}, "a", "", "b", "")
	c.snapshot(Position{2, 9}, "a", "anew", "b", "before")
	must.Eq(t, map[string]string{"a": "anew"}, c.visible)
	must.Eq(t, RetainedCounts{Removals: 1}, c.last.RetainedCounts)
}

// A removed row is missing after the first restore, and back after the next, from an older backup.
func TestRemovedRowStaysHiddenAfterSecondRestore(t *testing.T) {
	c := newRestoredReplica()
	c.snapshot(Position{1, 10}, "a", "x")
	c.changes(Position{1, 12}, "a", "")
	c.snapshot(Position{2, 11})
	c.snapshot(Position{3, 5}, "a", "x")
	must.MapEmpty(t, c.visible)
}

// An instance that starts right after a restore knows no earlier state. It takes the retained rows from a peer, for no longer than the
// peer retains them.
func TestNewInstanceTakesRetainedRowsFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, local := newRestoredReplica(), newRestoredReplica()
		peer.snapshot(Position{1, 10}, "s", "7: held", "gone", "x", "lacking", "x")
		peer.changes(Position{1, 11}, "gone", "")
		peer.snapshot(Position{2, 5}, "s", "3: copy", "gone", "x")
		time.Sleep(retentionPeriod / 2)
		page, whole, contact, _ := peer.r.Since(local.r.Position())
		page.Retained = peer.r.Retained(time.Now())
		local.r.Merge(page, whole, contact)
		want := map[string]string{"s": "7: held", "lacking": "x"}
		must.Eq(t, want, local.visible)
		must.Eq(t, want, peer.visible)
		time.Sleep(retentionPeriod/2 + time.Millisecond)
		local.changes(Position{2, 5})
		must.Eq(t, map[string]string{"s": "7: held", "gone": "x"}, local.visible)
	})
}

// An instance that was cut off before the restore gets from a peer of the same era the newer rows that the peer retains.
func TestNewerRetainedRowFromPeerOfSameEra(t *testing.T) {
	peer, local := newRestoredReplica(), newRestoredReplica()
	peer.snapshot(Position{1, 10}, "s", "7: held")
	peer.snapshot(Position{2, 5}, "s", "3: copy")
	local.snapshot(Position{1, 4}, "s", "5: older")
	local.snapshot(Position{2, 5}, "s", "3: copy")
	must.Eq(t, "5: older", local.visible["s"])
	local.r.Merge(Page{Era: 2, Version: 5, Retained: peer.r.Retained(time.Now())}, false, time.Now())
	must.Eq(t, "7: held", local.visible["s"])
}

// A new era in which nothing was lost is reported, without rows: nobody is notified of rows that are unchanged.
func TestEraWithoutLossesReportsNoRows(t *testing.T) {
	c := newRestoredReplica()
	c.snapshot(Position{1, 10}, "a", "x", "b", "y")
	c.snapshot(Position{2, 10}, "a", "x", "b", "y")
	must.True(t, c.last.Restored)
	must.SliceEmpty(t, c.last.Rows)
}

// An evacuation is lifted, the store comes back from a copy that still has it, and the operators evacuate again. An instance that was frozen
// meanwhile learns of all this from a peer at once, and must not take the new row for the one that the restore brought back: it would
// send to the domain for the retention period.
func TestRowWrittenAgainAfterRestoreIsShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, frozen := newRestoredReplica(), newRestoredReplica()
		for _, c := range []*restoredReplica{peer, frozen} {
			c.snapshot(Position{1, 10}, "evacuated", "x", "other", "y")
			c.changes(Position{1, 12}, "evacuated", "")
		}
		peer.snapshot(Position{2, 11}, "evacuated", "x", "other", "y")
		must.MapLen(t, 1, peer.visible)
		time.Sleep(time.Second)
		peer.changes(Position{2, 12}, "evacuated", "x")
		must.MapLen(t, 2, peer.visible)
		page, whole, contact, _ := peer.r.Since(frozen.r.Position())
		page.Retained = peer.r.Retained(time.Now())
		page.Restore, _ = peer.r.Restore(time.Now())
		frozen.r.Merge(page, whole, contact)
		must.MapLen(t, 2, frozen.visible)
	})
}

// An instance learns of a restore late. A removed row that is back stays hidden for the period from the restore, not from then on.
func TestRetentionCountsFromTheRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, late := newRestoredReplica(), newRestoredReplica()
		for _, c := range []*restoredReplica{peer, late} {
			c.snapshot(Position{1, 10}, "a", "x")
			c.changes(Position{1, 12}, "a", "")
		}
		peer.snapshot(Position{2, 11}, "a", "x")
		time.Sleep(retentionPeriod - time.Second)
		page, whole, contact, _ := peer.r.Since(late.r.Position())
		page.Restore, _ = peer.r.Restore(time.Now())
		late.r.Merge(page, whole, contact)
		must.MapEmpty(t, late.visible)
		time.Sleep(time.Second + time.Millisecond)
		late.changes(Position{2, 11})
		must.Eq(t, map[string]string{"a": "x"}, late.visible)
	})
}

// The store is restored twice within the period, each time from a backup that has a removed row. The row must not stay hidden longer than
// the period from the first restore: operators have had that time to remove it again.
func TestSecondRestoreDoesNotHideRowsLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestoredReplica()
		c.snapshot(Position{1, 10}, "evacuated", "x")
		c.changes(Position{1, 12}, "evacuated", "")
		c.snapshot(Position{2, 13}, "evacuated", "x")
		must.MapEmpty(t, c.visible)
		time.Sleep(2 * time.Second)
		c.snapshot(Position{3, 13}, "evacuated", "x")
		must.MapEmpty(t, c.visible)
		time.Sleep(retentionPeriod - 2*time.Second + time.Millisecond)
		c.changes(Position{3, 13})
		must.MapLen(t, 1, c.visible)
	})
}

// An evacuation is lifted, the store is restored from a backup that still has it, and the operators evacuate the domain again. An instance
// that was frozen meanwhile reads the new era from the store, or from a peer that started in it: neither knows when the restore was. It
// must not hide the new row, which has the value of the removed one: it would send to an evacuated domain.
func TestRowWrittenAgainIsShownAlthoughTheRestoreIsUnknown(t *testing.T) {
	sources := map[string]func() Page{
		"read from the store": func() Page {
			return Page{Era: 2, Version: 40, Rows: []Row{{Key: "evacuated", Value: []byte("x"), Version: 25}}}
		},
		"from a peer started in the era": func() Page {
			peer := newRestoredReplica()
			peer.merge(Page{Era: 2, Version: 22, Rows: []Row{{Key: "other", Value: []byte("y"), Version: 5}}}, true)
			peer.changes(Position{2, 25}, "evacuated", "x")
			page, whole, _, _ := peer.r.Since(Position{1, 30})
			must.True(t, whole)
			page.Retained = peer.r.Retained(time.Now())
			page.Restore, _ = peer.r.Restore(time.Now())
			return page
		},
	}
	for name, read := range sources {
		t.Run(name, func(t *testing.T) {
			c := newRestoredReplica()
			c.snapshot(Position{1, 10}, "evacuated", "x")
			c.changes(Position{1, 30}, "evacuated", "")
			must.MapEmpty(t, c.visible)
			c.merge(read(), true)
			must.MapContainsKey(t, c.visible, "evacuated")
		})
	}
}

// The operators write a removed row again after a restore, before any instance has read the new era, and the store is restored once more.
// The row is shown from the first read on. Its version may be below that of the removed write, if the backup is from before that.
func TestRowWrittenAgainBeforeTheFirstReadIsShown(t *testing.T) {
	for _, version := range []int64{9, 11} {
		c := newRestoredReplica()
		c.snapshot(Position{1, 10}, "evacuated", "x")
		c.changes(Position{1, 12}, "evacuated", "")
		rewritten := []Row{{Key: "evacuated", Value: []byte("x"), Version: version}}
		c.merge(Page{Era: 2, Version: 13, Rows: rewritten}, true)
		must.MapLen(t, 1, c.visible)
		c.merge(Page{Era: 3, Version: 13, Rows: rewritten}, true)
		must.MapLen(t, 1, c.visible)
	}
}

// An instance that started in the new era shows a row that was written again. It then receives a page from a peer that still hides the row,
// and must continue to show it.
func TestPeerDoesNotHideRowWrittenAgain(t *testing.T) {
	c := newRestoredReplica()
	c.snapshot(Position{2, 40}, "other", "y")
	c.changes(Position{2, 41}, "evacuated", "x")
	removed := Row{Key: "evacuated", Value: []byte("x"), Version: 30, Removed: true, PriorVersion: 10}
	c.r.Merge(Page{Era: 2, Version: 41, Retained: []RetainedRow{{Row: removed, Remaining: time.Second}}}, false, time.Now())
	must.MapContainsKey(t, c.visible, "evacuated")
}
