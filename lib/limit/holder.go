package limit

import (
	"slices"
	"time"
)

// holder lends shares of the keys that this instance holds.
type holder struct {
	cfg        Config
	self       string
	clock      clock
	limits     LimitFunc
	views      *history
	peers      map[string]*peer
	keys       map[Key]*heldKey
	deadEpochs map[string]uint64 // last epochs of processes known to be dead, by instance
}

// clock creates the stamps of one process.
type clock struct {
	epoch uint64
	start time.Time
}

func (c clock) stamp(now time.Time) Stamp {
	return Stamp{Epoch: c.epoch, Nanos: int64(now.Sub(c.start)) + 1}
}

// timeOf converts an echo of this process's own stamp to a time. The zero time means that there is none.
func (c clock) timeOf(s Stamp) time.Time {
	if s.Epoch != c.epoch || s.Nanos <= 0 {
		return time.Time{}
	}
	return c.start.Add(time.Duration(s.Nanos - 1))
}

// peer is the holder's state for one member.
type peer struct {
	last       Stamp
	asOf       time.Time // lower bound on when the last message was sent
	views      []uint64
	fullAsOf   time.Time // lower bound on when the last Full message was sent
	fullDigest uint64    // digest of the view under which the last Full message named every key
}

type heldKey struct {
	seq        uint64
	tokens     float64   // available in the bucket
	refilledAt time.Time // when tokens was last updated; zero: not lending
	clients    map[string]*borrower
}

func newHolder(now time.Time, cfg Config, self string, epoch uint64, views *history, limits LimitFunc) *holder {
	return &holder{
		cfg: cfg, self: self, clock: clock{epoch, now}, limits: limits, views: views,
		peers: make(map[string]*peer), keys: make(map[Key]*heldKey), deadEpochs: make(map[string]uint64),
	}
}

// markDead records that an instance's process is known to be dead, and its requests in progress with it. Messages of that
// process that are still in flight are ignored.
func (h *holder) markDead(instance string) {
	h.deadEpochs[instance] = 0
	if p := h.peers[instance]; p != nil {
		h.deadEpochs[instance] = p.last.Epoch
	}
	h.removeClient(instance)
}

func (h *holder) removeClient(instance string) {
	delete(h.peers, instance)
	for _, k := range h.keys {
		delete(k.clients, instance)
	}
}

// handle answers an Up from a client; ok is false when the Up is out of order or a duplicate.
func (h *holder) handle(now time.Time, from string, up Up) (down Down, ok bool) {
	if dead, ok := h.deadEpochs[from]; ok && up.Stamp.Epoch <= dead {
		return Down{}, false
	}
	p := h.peers[from]
	if p != nil && up.Stamp.Epoch > p.last.Epoch {
		h.removeClient(from)
		p = nil
	}
	if p == nil {
		p = &peer{}
		h.peers[from] = p
	}
	if up.Stamp.Epoch < p.last.Epoch || up.Stamp.Nanos <= p.last.Nanos {
		return Down{}, false
	}
	delete(h.deadEpochs, from)
	h.recordUp(p, up)
	down = Down{Stamp: h.clock.stamp(now), Echo: up.Stamp, WantFull: h.wantFull(now, p)}
	for _, d := range up.Demands {
		if s, lent := h.lend(now, from, p.asOf, d); lent {
			down.Shares = append(down.Shares, s)
		}
	}
	return down, true
}

// recordUp dates an Up by the stamp that it echoes, never by its receipt.
//
// Failure: an Up is delayed in a stalled connection while its sender switches to another holder. Dated by receipt, it would
// let this holder keep lending alongside the new one.
func (h *holder) recordUp(p *peer, up Up) {
	p.last = up.Stamp
	p.views = up.Views
	p.asOf = h.clock.timeOf(up.Echo)
	if up.Full && len(up.Views) > 0 {
		p.fullAsOf, p.fullDigest = p.asOf, up.Views[0]
	}
}

// handoverEnd returns when the shares lent by previous holders of a key expire, given that this holder has held it since then.
func (h *holder) handoverEnd(since time.Time) time.Time {
	if since.Before(h.clock.start) {
		since = h.clock.start
	}
	return since.Add(h.cfg.HandoverDelay())
}

// wantFull reports whether to request a Full message: one sent under the current view, after HandoverDelay has passed since
// the view changed.
func (h *holder) wantFull(now time.Time, p *peer) bool {
	handover := h.handoverEnd(h.views.currentSince())
	cur := h.views.current()
	return cur != nil && !now.Before(handover) && (p.fullAsOf.Before(handover) || p.fullDigest != cur.digest)
}

// mayLend reports whether key may be lent in answer to a message that was sent at asOf or later.
func (h *holder) mayLend(now, asOf time.Time, key Key) bool {
	since, held := h.views.heldSince(h.self, key)
	if !held || asOf.Before(h.handoverEnd(since)) {
		return false
	}
	cur := h.views.current()
	votes := 0
	for _, m := range cur.members {
		if m == h.self || h.supports(now, m, key) {
			votes++
		}
	}
	return votes >= cur.majority()
}

func (h *holder) supports(now time.Time, member string, key Key) bool {
	p := h.peers[member]
	return p != nil && now.Sub(p.asOf) < h.cfg.SupportTTL && h.views.heldInAll(h.self, key, p.views)
}

// allReported reports whether every member has reported its requests in progress after the previous holder's shares expired, or
// has been silent for OrphanTimeout. A report sent under a view with another holder does not cover this key. Former members
// count too: an instance that is draining has requests in progress long after it has left the list.
func (h *holder) allReported(now time.Time, key Key) bool {
	since, _ := h.views.heldSince(h.self, key)
	handover := h.handoverEnd(since)
	if now.Sub(handover) >= h.cfg.OrphanTimeout {
		return true
	}
	for _, v := range h.views.views {
		for _, m := range v.members {
			if !h.reported(m, key, handover) {
				return false
			}
		}
	}
	return true
}

func (h *holder) reported(member string, key Key, handover time.Time) bool {
	if _, dead := h.deadEpochs[member]; dead {
		return true
	}
	p := h.peers[member]
	return p != nil && !p.fullAsOf.Before(handover) && h.views.heldInAll(h.self, key, []uint64{p.fullDigest})
}

// lend computes the share of one client.
func (h *holder) lend(now time.Time, from string, asOf time.Time, d Demand) (Share, bool) {
	k := h.key(d.Key)
	b := k.borrower(now, from)
	b.applyDemand(now, asOf, d)
	if !h.mayLend(now, asOf, d.Key) {
		k.refilledAt = time.Time{}
		return Share{}, false
	}
	k.expire(now, h.cfg)
	lim := h.limits(d.Key)
	k.seq = max(k.seq, d.Ack) + 1
	s := Share{Key: d.Key, Seq: k.seq, Slots: h.slotShare(now, k, from, lim), Tokens: h.tokenShare(now, k, b, lim)}
	b.loans = append(b.loans, loan{seq: s.Seq, slots: s.Slots, expires: now.Add(h.cfg.loanTTL())})
	return s, true
}

func (h *holder) key(key Key) *heldKey {
	k := h.keys[key]
	if k == nil {
		k = &heldKey{clients: make(map[string]*borrower)}
		h.keys[key] = k
	}
	return k
}

// sweep removes keys without clients.
func (h *holder) sweep(now time.Time) {
	for key, k := range h.keys {
		k.expire(now, h.cfg)
		if len(k.clients) == 0 && now.Sub(k.refilledAt) > burstWindow {
			delete(h.keys, key)
		}
	}
}

// slotShare is the new share of a client: its demand, capped by its fair share and by what is not committed to other clients.
func (h *holder) slotShare(now time.Time, k *heldKey, from string, lim Limit) int {
	if lim.Concurrency <= 0 {
		return 0
	}
	lendable := h.cfg.lendableSlots(lim)
	free := lendable
	demands := make(map[string]int, len(k.clients))
	for id, b := range k.clients {
		demands[id] = b.demanded(now, h.cfg)
		if id != from {
			free -= b.committed()
		}
	}
	b := k.clients[from]
	want := b.demand.Slots
	if !h.allReported(now, b.demand.Key) {
		want = min(want, b.demand.InUse)
	}
	fair := fairSlots(demands, lendable, from, rotationRound(now, h.clock.start))
	return max(0, min(want, fair, free))
}

// rotationInterval is how often the remainder slots of a limit rotate: with fewer slots than clients, each client gets a turn.
const rotationInterval = 2 * time.Second

func rotationRound(now, start time.Time) uint64 { return uint64(now.Sub(start) / rotationInterval) }

// fairSlots is the max-min fair share of one client, in whole slots.
func fairSlots(demands map[string]int, total int, client string, round uint64) int {
	values := make([]float64, 0, len(demands))
	for _, w := range demands {
		values = append(values, float64(w))
	}
	level, scarce := waterLevel(values, float64(total))
	if !scarce {
		return demands[client]
	}
	base := int(level)
	remainder := total
	for _, w := range demands {
		remainder -= min(w, base)
	}
	if demands[client] <= base {
		return demands[client]
	}
	ahead := 0
	ownRank := rank(client, round)
	for id, w := range demands {
		if w > base && rank(id, round) > ownRank {
			ahead++
		}
	}
	if ahead < remainder {
		return base + 1
	}
	return base
}

// waterLevel returns the max-min fair (water-filling) level, at which the sum of min(want, level) equals total. scarce is
// false when all demands fit.
func waterLevel(demands []float64, total float64) (level float64, scarce bool) {
	slices.Sort(demands)
	for i, w := range demands {
		each := total / float64(len(demands)-i)
		if w > each {
			return each, true
		}
		total -= w
	}
	return 0, false
}
