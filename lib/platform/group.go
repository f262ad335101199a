package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

const (
	// maxGroupKeys limits the conditions and the writes of a group, below the platform's own limit.
	maxGroupKeys = 128
	// maxGroupsInFlight limits the groups in flight; while the limit is reached, arriving transactions gather into larger groups.
	maxGroupsInFlight = 4
	// maxGroupRounds is how often a member is sent in a group that fails by another member's condition before it
	// is sent alone.
	maxGroupRounds = 3
)

// errGroupTimeout is the error of a member whose context ended before its group was sent again.
var errGroupTimeout = errors.New("the group was not sent in time")

// member is one transaction that waits to be sent in a group.
type member struct {
	txn    platformapi.Txn
	rounds int
	ctx    context.Context
	done   chan memberResult
}

type memberResult struct {
	res platformapi.TxnResult
	err error
}

func (m *member) finish(res platformapi.TxnResult, err error) { m.done <- memberResult{res, err} }

// grouper batches independent transactions into groups that the platform commits as one write.
type grouper struct {
	client  *Client
	mu      sync.Mutex
	waiting []*member // in order of arrival
	running bool      // the flush goroutine is running
	slots   chan struct{}
}

// GroupTxn runs a transaction in a group with others that arrive at the same time, so that they cost one write together.
//
// Outcomes stay independent. When a member's condition does not hold, the platform writes nothing of the group and
// returns the failed conditions: their members are answered, the others are sent again without them. Two members that touch
// the same key never share a group, so no member can observe another's write or fail by it. If the outcome of a group is
// unknown, so is that of each member. txn.OpID is not used: the group has its own.
func (c *Client) GroupTxn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if c.hasStaleCond(txn) {
		// Not in a group: the other members would not be sent either.
		return platformapi.TxnResult{}, writeError(&exchangeError{fate: fateStaleEra, cause: errStaleEra}, "group")
	}
	m := &member{txn: txn, ctx: ctx, done: make(chan memberResult, 1)}
	c.group.add(m)
	select {
	case r := <-m.done:
		return r.res, r.err
	case <-ctx.Done():
	}
	if c.group.withdraw(m) {
		return platformapi.TxnResult{}, NotCommitted.Wrap(context.Cause(ctx), "transaction withdrawn before its group was sent")
	}
	return platformapi.TxnResult{}, Unknown.Wrap(context.Cause(ctx), "transaction abandoned while its group was in flight")
}

func (g *grouper) add(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = append(g.waiting, m)
	if g.running {
		return
	}
	g.running = true
	if g.slots == nil {
		g.slots = make(chan struct{}, maxGroupsInFlight)
	}
	go g.flush()
}

// withdraw removes a member that is still waiting; it reports false if the member was sent already.
func (g *grouper) withdraw(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.waiting {
		if w == m {
			g.waiting = append(g.waiting[:i:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// flush sends groups until no member is waiting.
func (g *grouper) flush() {
	time.Sleep(g.client.cfg.GroupLinger)
	for g.hasWaiting() {
		g.slots <- struct{}{}
		err := g.client.admit(context.Background(), useTxn, g.client.budget.writes)
		batch := g.takeBatch()
		if err != nil {
			finishAll(batch, writeError(err, "group"))
			<-g.slots
			continue
		}
		go func() {
			g.send(batch)
			<-g.slots
		}()
	}
}

// hasWaiting reports whether members are waiting; if not, it marks the flush goroutine as ended.
func (g *grouper) hasWaiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = len(g.waiting) > 0
	return g.running
}

// takeBatch takes members in order of arrival and skips those that touch a key of an earlier member.
func (g *grouper) takeBatch() []*member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch, skipped []*member
	seen := map[string]bool{}
	conds, writes := 0, 0
	for _, m := range g.waiting {
		c, w := len(m.txn.Conds), len(m.txn.Puts)+len(m.txn.Deletes)
		full := len(batch) >= g.client.cfg.GroupMembers || conds+c > maxGroupKeys || writes+w > maxGroupKeys
		alone := m.rounds >= maxGroupRounds
		if len(batch) > 0 && (full || alone || batch[0].rounds >= maxGroupRounds || touches(seen, m.txn)) {
			skipped = append(skipped, m)
		} else {
			batch = append(batch, m)
			conds, writes = conds+c, writes+w
		}
		mark(seen, m.txn)
	}
	g.waiting = skipped
	return batch
}

func eachKey(t platformapi.Txn, f func(string)) {
	for _, c := range t.Conds {
		f(c.Key)
	}
	for _, p := range t.Puts {
		f(p.Key)
	}
	for _, k := range t.Deletes {
		f(k)
	}
}

func touches(seen map[string]bool, t platformapi.Txn) (hit bool) {
	eachKey(t, func(k string) { hit = hit || seen[k] })
	return hit
}

func mark(seen map[string]bool, t platformapi.Txn) {
	eachKey(t, func(k string) { seen[k] = true })
}

// send commits one group, for which a token was taken. Members' contexts do not cancel it, since the members share one write.
func (g *grouper) send(batch []*member) {
	if len(batch) == 0 {
		return
	}
	groupMembers.Update(float64(len(batch)))
	txn := merge(batch)
	res, exErr := g.client.post(context.Background(), txn)
	var err error
	if exErr != nil && exErr.fate == fateLost {
		res, err = g.client.resolve(context.Background(), txn, exErr)
	} else if exErr != nil {
		err = writeError(exErr, txn.OpID)
	}
	switch {
	case err != nil:
		finishAll(batch, err)
	case res.Committed:
		for _, m := range batch {
			m.finish(res, nil)
		}
	default:
		g.requeue(split(batch, res))
	}
}

func finishAll(batch []*member, err error) {
	for _, m := range batch {
		m.finish(platformapi.TxnResult{}, err)
	}
}

// merge merges the members of a group into one transaction.
func merge(batch []*member) platformapi.Txn {
	out := platformapi.Txn{OpID: NewOpID()}
	for _, m := range batch {
		out.Conds = append(out.Conds, m.txn.Conds...)
		out.Puts = append(out.Puts, m.txn.Puts...)
		out.Deletes = append(out.Deletes, m.txn.Deletes...)
	}
	return out
}

// split answers the members whose conditions failed and returns the others. The only member of a group is always
// answered.
func split(batch []*member, res platformapi.TxnResult) []*member {
	failed := map[string]platformapi.Item{}
	for _, it := range res.Failed {
		failed[it.Key] = it
	}
	var others []*member
	for _, m := range batch {
		result := platformapi.TxnResult{Rev: res.Rev}
		for _, c := range m.txn.Conds {
			if it, ok := failed[c.Key]; ok {
				result.Failed = append(result.Failed, it)
			}
		}
		if len(result.Failed) > 0 || len(batch) == 1 {
			m.finish(result, nil)
			continue
		}
		m.rounds++
		others = append(others, m)
	}
	return others
}

// requeue requeues members ahead of later arrivals. A member whose context has ended is dropped: nothing of it was
// written.
func (g *grouper) requeue(ms []*member) {
	live := ms[:0]
	for _, m := range ms {
		if m.ctx.Err() != nil {
			m.finish(platformapi.TxnResult{}, NotCommitted.Wrap(errGroupTimeout, "regrouped"))
			continue
		}
		live = append(live, m)
	}
	if len(live) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = append(append([]*member{}, live...), g.waiting...)
	if !g.running {
		g.running = true
		go g.flush()
	}
}
