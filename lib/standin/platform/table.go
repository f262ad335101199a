package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

const (
	// versionRetention bounds how far back stale reads and restores can go.
	versionRetention = 2 * time.Minute
	// maxKeptOps is the number of transaction results kept for reads by operation id.
	maxKeptOps = 200_000
	// defaultRangeLimit is the page size when a range request sets none.
	defaultRangeLimit = 1000
)

// version is one written state of a key, or the time of one commit.
type version struct {
	at      time.Time
	rev     uint64
	value   []byte
	deleted bool
}

// table is a transactional key-value table. Transactions are serialised by one lock and see the newest state;
// reads can request an earlier state.
type table struct {
	mu       sync.Mutex
	era      uint64
	rev      uint64
	keys     map[string][]version // oldest first
	ops      map[string]platformapi.TxnResult
	opOrder  []string
	revTimes []version // rev and at of each commit, to find the revision of a stale read
}

func newTable() *table {
	return &table{era: 1, keys: map[string][]version{}, ops: map[string]platformapi.TxnResult{}}
}

// apply runs a transaction. Repeating an operation id returns the first result and writes nothing.
func (t *table) apply(txn platformapi.Txn, now time.Time) (res platformapi.TxnResult, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if res, ok := t.ops[txn.OpID]; ok {
		return res, t.era
	}
	res = platformapi.TxnResult{Rev: t.rev, Failed: t.failedConds(txn.Conds)}
	if len(res.Failed) == 0 {
		t.write(txn, now)
		res = platformapi.TxnResult{Committed: true, Rev: t.rev}
	}
	t.recordResult(txn.OpID, res)
	return res, t.era
}

// failedConds returns the current items of the conditions that do not hold.
func (t *table) failedConds(conds []platformapi.Cond) []platformapi.Item {
	var out []platformapi.Item
	for _, c := range conds {
		it, _ := t.item(c.Key, time.Time{})
		if it.Rev != c.Rev {
			out = append(out, it)
		}
	}
	return out
}

func (t *table) write(txn platformapi.Txn, now time.Time) {
	t.rev++
	t.revTimes = append(t.revTimes, version{at: now, rev: t.rev})
	t.revTimes = trim(t.revTimes, now)
	for _, p := range txn.Puts {
		t.appendVersion(p.Key, version{at: now, rev: t.rev, value: p.Value})
	}
	for _, k := range txn.Deletes {
		t.appendVersion(k, version{at: now, rev: t.rev, deleted: true})
	}
}

func (t *table) appendVersion(key string, v version) {
	vs := trim(append(t.keys[key], v), v.at)
	if len(vs) == 1 && v.deleted {
		delete(t.keys, key)
		return
	}
	t.keys[key] = vs
}

// trim removes versions superseded more than keepVersions ago; the newest always stays.
func trim(vs []version, now time.Time) []version {
	cut := 0
	for cut < len(vs)-1 && now.Sub(vs[cut+1].at) > versionRetention {
		cut++
	}
	return vs[cut:]
}

func (t *table) recordResult(op string, res platformapi.TxnResult) {
	if op == "" {
		return
	}
	t.ops[op] = res
	t.opOrder = append(t.opOrder, op)
	if len(t.opOrder) > maxKeptOps {
		delete(t.ops, t.opOrder[0])
		t.opOrder = t.opOrder[1:]
	}
}

// op returns the result of a transaction; ok is false unless it committed.
func (t *table) op(id string) (res platformapi.TxnResult, era uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	res, ok = t.ops[id]
	return res, t.era, ok && res.Committed
}

// restore resets the table to its state at a time: later writes are lost and their revisions are assigned again.
func (t *table) restore(to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era++
	t.rev = t.revAt(to)
	for key, vs := range t.keys {
		n := len(vs)
		for n > 0 && vs[n-1].rev > t.rev {
			n--
		}
		if n == 0 {
			delete(t.keys, key)
			continue
		}
		t.keys[key] = vs[:n:n]
	}
	for len(t.revTimes) > 0 && t.revTimes[len(t.revTimes)-1].rev > t.rev {
		t.revTimes = t.revTimes[:len(t.revTimes)-1]
	}
	for id, res := range t.ops {
		if res.Rev > t.rev || !res.Committed {
			delete(t.ops, id)
		}
	}
}

// item returns the state of a key; a zero asOf means the newest. An absent key has revision 0.
func (t *table) item(key string, asOf time.Time) (platformapi.Item, bool) {
	vs := t.keys[key]
	for i := len(vs) - 1; i >= 0; i-- {
		if !asOf.IsZero() && vs[i].at.After(asOf) {
			continue
		}
		if vs[i].deleted {
			break
		}
		return platformapi.Item{Key: key, Value: vs[i].value, Rev: vs[i].rev}, true
	}
	return platformapi.Item{Key: key}, false
}

func (t *table) get(key string, asOf time.Time) (it platformapi.Item, era uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	it, ok = t.item(key, asOf)
	return it, t.era, ok
}

// scan returns the items under prefix written after a revision, ordered by revision.
func (t *table) scan(prefix string, after uint64, limit int, asOf time.Time) (res platformapi.RangeResult, era uint64) {
	if limit <= 0 {
		limit = defaultRangeLimit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := platformapi.RangeResult{Rev: t.revAt(asOf)}
	for k := range t.keys {
		if !strings.HasPrefix(k, prefix) {
			continue
		}
		if it, ok := t.item(k, asOf); ok && it.Rev > after {
			out.Items = append(out.Items, it)
		}
	}
	sort.Slice(out.Items, func(i, j int) bool {
		a, b := out.Items[i], out.Items[j]
		if a.Rev != b.Rev {
			return a.Rev < b.Rev
		}
		return a.Key < b.Key
	})
	return truncatePage(out, limit), t.era
}

// truncatePage cuts a result to limit items, but never between items of one revision: a caller that continues after the last
// revision it saw would miss the rest of that transaction.
func truncatePage(r platformapi.RangeResult, limit int) platformapi.RangeResult {
	if len(r.Items) <= limit {
		return r
	}
	end := limit
	for end < len(r.Items) && r.Items[end].Rev == r.Items[end-1].Rev {
		end++
	}
	r.More = end < len(r.Items)
	r.Items = r.Items[:end]
	return r
}

func (t *table) revAt(asOf time.Time) uint64 {
	if asOf.IsZero() {
		return t.rev
	}
	for i := len(t.revTimes) - 1; i >= 0; i-- {
		if !t.revTimes[i].at.After(asOf) {
			return t.revTimes[i].rev
		}
	}
	return 0
}
