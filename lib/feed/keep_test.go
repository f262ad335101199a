package feed

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// keepFor is how long rows are kept here.
const keepFor = 5 * time.Second

// countOf reads values such as "3: text" or "life.3: text".
func countOf(row Row) (WriteSeq, bool) {
	head, _, _ := strings.Cut(string(row.Value), ":")
	life, n, ok := strings.Cut(head, ".")
	if !ok {
		life, n = "0", head
	}
	l, err := strconv.ParseInt(life, 10, 64)
	if err != nil {
		return WriteSeq{}, false
	}
	i, err := strconv.ParseInt(n, 10, 64)
	return WriteSeq{Incarnation: l, Number: i}, err == nil
}

// copied is a replica whose store comes back from copies.
type copied struct {
	r     *Replica
	shown map[string]string
	last  Update
}

func newCopied() *copied {
	c := &copied{shown: make(map[string]string)}
	c.r = NewReplica(func(u Update) {
		c.last = u
		for _, row := range u.Rows {
			if row.Removed {
				delete(c.shown, row.Key)
			} else {
				c.shown[row.Key] = string(row.Value)
			}
		}
	}).WithRetention(Retention{Period: keepFor, WriteSeq: countOf})
	return c
}

// state takes a whole table, key and value by turns.
func (c *copied) state(at Position, rows ...string) { c.take(at, true, rows...) }

// changes takes changes; an empty value is a removal.
func (c *copied) changes(at Position, rows ...string) { c.take(at, false, rows...) }

func (c *copied) take(at Position, whole bool, rows ...string) {
	page := Page{Era: at.Era, Version: at.Version}
	for i := 0; i < len(rows); i += 2 {
		page.Rows = append(page.Rows, Row{Key: rows[i], Value: []byte(rows[i+1]), Version: at.Version, Removed: rows[i+1] == ""})
	}
	c.r.Merge(page, whole, time.Now())
}

// Settings that the copy has older stay, through each older write that comes again, until a newer one comes: a revoked key stays revoked.
func TestNewerWriteOutlivesACopy(t *testing.T) {
	c := newCopied()
	c.state(Position{1, 10}, "s", "7: held")
	c.state(Position{2, 5}, "s", "3: copy")
	must.Eq(t, "7: held", c.shown["s"])
	must.Eq(t, RetainedCounts{Writes: 1}, c.last.RetainedCounts)
	c.changes(Position{2, 6}, "s", "5: again")
	must.Eq(t, "7: held", c.shown["s"])
	c.changes(Position{2, 7}, "s", "7: again")
	c.changes(Position{2, 8}, "s", "9: next")
	must.Eq(t, "9: next", c.shown["s"])
	c.state(Position{3, 1}, "s", "1: copy")
	must.Eq(t, "9: next", c.shown["s"])
}

// A row that the copy lacks stays for a while, and is gone when nobody has written it again; a removal in the new era counts at once.
func TestRowThatACopyLacksStaysForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopied()
		c.state(Position{1, 10}, "a", "x", "b", "x", "c", "x")
		c.state(Position{2, 5})
		must.MapLen(t, 3, c.shown)
		must.Eq(t, RetainedCounts{Rows: 3}, c.last.RetainedCounts)
		c.changes(Position{2, 6}, "b", "x")
		c.changes(Position{2, 7}, "c", "")
		must.Eq(t, map[string]string{"a": "x", "b": "x"}, c.shown)
		time.Sleep(keepFor + time.Millisecond)
		c.changes(Position{2, 7})
		must.Eq(t, map[string]string{"b": "x"}, c.shown)
	})
}

// The store falls silent right after it came back. What it lacks stays until it is heard again: nobody could have written meanwhile.
func TestNothingExpiresWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopied()
		c.state(Position{1, 10}, "a", "x")
		back := time.Now()
		c.state(Position{2, 5})
		time.Sleep(keepFor + time.Second)
		c.r.Merge(Page{Era: 2, Version: 5}, false, back) // a page from a peer that has not reached the store since
		must.MapLen(t, 1, c.shown)
	})
}

// A row that was removed is back in the copy, and stays away for a while; one that its writer has begun anew is shown at once.
func TestRemovedRowIsNoGhost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCopied()
		c.state(Position{1, 10}, "a", "1.4: x", "b", "1.4: x")
		c.changes(Position{1, 12}, "a", "", "b", "")
		c.state(Position{2, 5}, "a", "1.3: x", "b", "1.3: x")
		must.MapEmpty(t, c.shown)
		must.Eq(t, RetainedCounts{Removals: 2}, c.last.RetainedCounts)
		must.Len(t, 2, c.r.Resurrected())
		c.changes(Position{2, 6}, "a", "2.1: new start")
		must.Eq(t, map[string]string{"a": "2.1: new start"}, c.shown)
		time.Sleep(keepFor + time.Millisecond)
		c.changes(Position{2, 6})
		must.Eq(t, "1.3: x", c.shown["b"])
	})
}

// A row was removed and written anew by one who does not count, before anything of the new era was read. It says something else than before, so
// it is no ghost.
func TestRowWrittenAnewIsNoGhost(t *testing.T) {
	c := newCopied()
	c.state(Position{1, 10}, "a", "before", "b", "before")
	c.changes(Position{1, 12}, "a", "", "b", "")
	c.state(Position{2, 9}, "a", "anew", "b", "before")
	must.Eq(t, map[string]string{"a": "anew"}, c.shown)
	must.Eq(t, RetainedCounts{Removals: 1}, c.last.RetainedCounts)
}

// A removed row is missing from the first copy, and back in the next, which is older.
func TestRemovedRowIsNoGhostOfASecondCopy(t *testing.T) {
	c := newCopied()
	c.state(Position{1, 10}, "a", "x")
	c.changes(Position{1, 12}, "a", "")
	c.state(Position{2, 11})
	c.state(Position{3, 5}, "a", "x")
	must.MapEmpty(t, c.shown)
}

// An instance starts right after the store's return. It knows nothing of before, and takes from a peer what that one keeps, for no longer
// than the peer does.
func TestNewcomerTakesWhatPeersKeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, own := newCopied(), newCopied()
		peer.state(Position{1, 10}, "s", "7: held", "gone", "x", "lacking", "x")
		peer.changes(Position{1, 11}, "gone", "")
		peer.state(Position{2, 5}, "s", "3: copy", "gone", "x")
		time.Sleep(keepFor / 2)
		page, whole, contact, _ := peer.r.Since(own.r.Position())
		page.Retained = peer.r.Retained(time.Now())
		own.r.Merge(page, whole, contact)
		want := map[string]string{"s": "7: held", "lacking": "x"}
		must.Eq(t, want, own.shown)
		must.Eq(t, want, peer.shown)
		time.Sleep(keepFor/2 + time.Millisecond)
		own.changes(Position{2, 5})
		must.Eq(t, map[string]string{"s": "7: held", "gone": "x"}, own.shown)
	})
}

// An instance that reads the copy itself, and was cut off before, has from a peer of the same era what that one knows to be newer.
func TestPeerOfTheSameEraKnowsNewer(t *testing.T) {
	peer, own := newCopied(), newCopied()
	peer.state(Position{1, 10}, "s", "7: held")
	peer.state(Position{2, 5}, "s", "3: copy")
	own.state(Position{1, 4}, "s", "5: older")
	own.state(Position{2, 5}, "s", "3: copy")
	must.Eq(t, "5: older", own.shown["s"])
	own.r.Merge(Page{Era: 2, Version: 5, Retained: peer.r.Retained(time.Now())}, false, time.Now())
	must.Eq(t, "7: held", own.shown["s"])
}

// What a page says is no news changes nothing: one line is told of an era, and nobody is woken for rows that are as before.
func TestEraWithoutLossesShowsNothing(t *testing.T) {
	c := newCopied()
	c.state(Position{1, 10}, "a", "x", "b", "y")
	c.state(Position{2, 10}, "a", "x", "b", "y")
	must.True(t, c.last.Restored)
	must.SliceEmpty(t, c.last.Rows)
}
