package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

const (
	// groupKeys bounds the conditions, and the writes, of a group, under the platform's own bound.
	groupKeys = 128
	// groupsAtOnce bounds groups on their way; while that many are, arrivals gather into larger ones.
	groupsAtOnce = 4
	// groupRounds is how often a member may be sent in a group that another member's condition failed, before it
	// goes alone.
	groupRounds = 3
)

// errGroupTimeout ends a member whose group was never sent.
var errGroupTimeout = errors.New("the group was not sent in time")

// member is one transaction that waits for its group.
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

func (m *member) end(res platformapi.TxnResult, err error) { m.done <- memberResult{res, err} }

// grouper gathers independent transactions into groups that the platform commits as one write.
type grouper struct {
	client  *Client
	mu      sync.Mutex
	waiting []*member // in order of arrival
	running bool      // a flush goroutine is at work
	slots   chan struct{}
}

// GroupTxn runs a transaction in a group with others that arrive meanwhile, so that they cost one write together.
//
// Outcomes stay independent. When a member's condition does not hold, the platform writes nothing of the group and
// names the conditions: their members are answered, the others are sent again without them. Two members that touch
// one key never share a group, so none can see, or be failed by, another's write. An unknown outcome of a group is
// an unknown outcome of each member. txn.OpID is not used: the group has its own.
func (c *Client) GroupTxn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if c.isOld(txn) {
		// Alone: with it, the others of its group would not be sent either.
		return platformapi.TxnResult{}, writeError(&exchangeError{fate: fateOtherEra, cause: errOtherEra}, "group")
	}
	m := &member{txn: txn, ctx: ctx, done: make(chan memberResult, 1)}
	c.group.add(m)
	select {
	case r := <-m.done:
		return r.res, r.err
	case <-ctx.Done():
	}
	if c.group.withdraw(m) {
		return platformapi.TxnResult{}, NotCommitted.Wrap(context.Cause(ctx), "withdrawn from its group")
	}
	return platformapi.TxnResult{}, Unknown.Wrap(context.Cause(ctx), "its group was on its way")
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
		g.slots = make(chan struct{}, groupsAtOnce)
	}
	go g.flush()
}

// withdraw takes a member back that was not sent; it reports false when it was.
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

// flush sends groups until nothing waits.
func (g *grouper) flush() {
	time.Sleep(g.client.cfg.GroupLinger)
	for g.more() {
		g.slots <- struct{}{}
		err := g.client.admit(context.Background(), useTxn, g.client.budget.writes)
		batch := g.takeBatch()
		if err != nil {
			endAll(batch, writeError(err, "group"))
			<-g.slots
			continue
		}
		go func() {
			g.send(batch)
			<-g.slots
		}()
	}
}

// more reports whether anything waits; when nothing does, the flush goroutine counts as gone.
func (g *grouper) more() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = len(g.waiting) > 0
	return g.running
}

// takeBatch takes members in order of arrival, passing over those that touch a key already seen.
func (g *grouper) takeBatch() []*member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch, rest []*member
	seen := map[string]bool{}
	conds, writes := 0, 0
	for _, m := range g.waiting {
		c, w := len(m.txn.Conds), len(m.txn.Puts)+len(m.txn.Deletes)
		full := len(batch) >= g.client.cfg.GroupMembers || conds+c > groupKeys || writes+w > groupKeys
		alone := m.rounds >= groupRounds
		if len(batch) > 0 && (full || alone || batch[0].rounds >= groupRounds || touches(seen, m.txn)) {
			rest = append(rest, m)
		} else {
			batch = append(batch, m)
			conds, writes = conds+c, writes+w
		}
		mark(seen, m.txn)
	}
	g.waiting = rest
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

// send commits one group; its token is taken. Members' contexts do not end it: they share its fate.
func (g *grouper) send(batch []*member) {
	if len(batch) == 0 {
		return
	}
	groupMembers.Update(float64(len(batch)))
	joined := join(batch)
	res, ferr := g.client.post(context.Background(), joined)
	var err error
	if ferr != nil && ferr.fate == fateLost {
		res, err = g.client.settle(context.Background(), joined, ferr)
	} else if ferr != nil {
		err = writeError(ferr, joined.OpID)
	}
	switch {
	case err != nil:
		endAll(batch, err)
	case res.Committed:
		for _, m := range batch {
			m.end(res, nil)
		}
	default:
		g.again(split(batch, res))
	}
}

func endAll(batch []*member, err error) {
	for _, m := range batch {
		m.end(platformapi.TxnResult{}, err)
	}
}

// join makes one transaction of a group.
func join(batch []*member) platformapi.Txn {
	out := platformapi.Txn{OpID: NewOpID()}
	for _, m := range batch {
		out.Conds = append(out.Conds, m.txn.Conds...)
		out.Puts = append(out.Puts, m.txn.Puts...)
		out.Deletes = append(out.Deletes, m.txn.Deletes...)
	}
	return out
}

// split answers the members whose conditions failed and returns the others. A member alone in its group is always
// answered.
func split(batch []*member, res platformapi.TxnResult) []*member {
	failed := map[string]platformapi.Item{}
	for _, it := range res.Failed {
		failed[it.Key] = it
	}
	var others []*member
	for _, m := range batch {
		own := platformapi.TxnResult{Rev: res.Rev}
		for _, c := range m.txn.Conds {
			if it, ok := failed[c.Key]; ok {
				own.Failed = append(own.Failed, it)
			}
		}
		if len(own.Failed) > 0 || len(batch) == 1 {
			m.end(own, nil)
			continue
		}
		m.rounds++
		others = append(others, m)
	}
	return others
}

// again puts members back, before later arrivals. A member whose caller has gone is dropped: nothing of it was
// written.
func (g *grouper) again(ms []*member) {
	live := ms[:0]
	for _, m := range ms {
		if m.ctx.Err() != nil {
			m.end(platformapi.TxnResult{}, NotCommitted.Wrap(errGroupTimeout, "regrouped"))
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
