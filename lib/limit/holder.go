package limit

import (
	"slices"
	"time"
)

// holder lends shares of the keys that its instance holds.
type holder struct {
	cfg    Config
	self   string
	clock  clock
	limits LimitFunc
	views  *history
	peers  map[string]*peer
	keys   map[Key]*heldKey
	gone   map[string]uint64 // epochs of processes known to be dead
}

// clock makes stamps of one process.
type clock struct {
	epoch uint64
	start time.Time
}

func (c clock) stamp(now time.Time) Stamp {
	return Stamp{Epoch: c.epoch, Nanos: int64(now.Sub(c.start)) + 1}
}

// at turns an echo of an own stamp back into a time. The zero time stands for none.
func (c clock) at(s Stamp) time.Time {
	if s.Epoch != c.epoch || s.Nanos <= 0 {
		return time.Time{}
	}
	return c.start.Add(time.Duration(s.Nanos - 1))
}

// peer is what a holder knows of a member.
type peer struct {
	last  Stamp
	asOf  time.Time // the last message was sent at this time or later
	views []uint64
	full  time.Time // the last Full message was sent at this time or later
	whole uint64    // digest of the view under which it named every key
}

type heldKey struct {
	seq     uint64
	tokens  float64
	filled  time.Time // when tokens was brought up to date; zero: not lending
	clients map[string]*borrower
}

func newHolder(now time.Time, cfg Config, self string, epoch uint64, views *history, limits LimitFunc) *holder {
	return &holder{
		cfg: cfg, self: self, clock: clock{epoch, now}, limits: limits, views: views,
		peers: make(map[string]*peer), keys: make(map[Key]*heldKey), gone: make(map[string]uint64),
	}
}

// forget takes in that an instance's process is known to be gone, and its requests in progress with it. Messages of that
// process that are still under way change nothing.
func (h *holder) forget(instance string) {
	h.gone[instance] = 0
	if p := h.peers[instance]; p != nil {
		h.gone[instance] = p.last.Epoch
	}
	h.drop(instance)
}

func (h *holder) drop(instance string) {
	delete(h.peers, instance)
	for _, k := range h.keys {
		delete(k.clients, instance)
	}
}

// handle answers an Up of client from; ok is false when it is late or repeated.
func (h *holder) handle(now time.Time, from string, up Up) (down Down, ok bool) {
	if dead, ok := h.gone[from]; ok && up.Stamp.Epoch <= dead {
		return Down{}, false
	}
	p := h.peers[from]
	if p != nil && up.Stamp.Epoch > p.last.Epoch {
		h.drop(from)
		p = nil
	}
	if p == nil {
		p = &peer{}
		h.peers[from] = p
	}
	if up.Stamp.Epoch < p.last.Epoch || up.Stamp.Nanos <= p.last.Nanos {
		return Down{}, false
	}
	delete(h.gone, from)
	h.note(p, up)
	down = Down{Stamp: h.clock.stamp(now), Echo: up.Stamp, WantFull: h.wantFull(now, p)}
	for _, d := range up.Demands {
		if s, lent := h.lend(now, from, p.asOf, d); lent {
			down.Shares = append(down.Shares, s)
		}
	}
	return down, true
}

// note dates an Up by the stamp that it echoes, never by its receipt.
//
// Failure: an Up waits in a frozen link while its sender moves on to another holder. Dated by receipt, it would keep
// this holder lending beside the new one.
func (h *holder) note(p *peer, up Up) {
	p.last = up.Stamp
	p.views = up.Views
	p.asOf = h.clock.at(up.Echo)
	if up.Full && len(up.Views) > 0 {
		p.full, p.whole = p.asOf, up.Views[0]
	}
}

// took returns when old holders' shares of a key ended that this holder has held since.
func (h *holder) took(since time.Time) time.Time {
	if since.Before(h.clock.start) {
		since = h.clock.start
	}
	return since.Add(h.cfg.HandoverDelay())
}

// wantFull asks for a Full message sent under the current view, after the change to it was waited out.
func (h *holder) wantFull(now time.Time, p *peer) bool {
	took := h.took(h.views.changed())
	cur := h.views.current()
	return cur != nil && !now.Before(took) && (p.full.Before(took) || p.whole != cur.digest)
}

// lending reports whether key may be lent on a message that was sent at asOf or later.
func (h *holder) lending(now, asOf time.Time, key Key) bool {
	since, held := h.views.heldSince(h.self, key)
	if !held || asOf.Before(h.took(since)) {
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
	return p != nil && now.Sub(p.asOf) < h.cfg.SupportTTL && h.views.agree(h.self, key, p.views)
}

// accounted reports whether every member has told what it has in progress after old shares ended, or has been silent
// for too long to wait for. A member that takes another for the holder did not tell this one of the key. Former members
// count too: an instance that is leaving has requests in progress long after it has left the list.
func (h *holder) accounted(now time.Time, key Key) bool {
	since, _ := h.views.heldSince(h.self, key)
	took := h.took(since)
	if now.Sub(took) >= h.cfg.OrphanTimeout {
		return true
	}
	for _, v := range h.views.views {
		for _, m := range v.members {
			if !h.told(m, key, took) {
				return false
			}
		}
	}
	return true
}

func (h *holder) told(member string, key Key, took time.Time) bool {
	if _, dead := h.gone[member]; dead {
		return true
	}
	p := h.peers[member]
	return p != nil && !p.full.Before(took) && h.views.agree(h.self, key, []uint64{p.whole})
}

// lend works out the share of one client.
func (h *holder) lend(now time.Time, from string, asOf time.Time, d Demand) (Share, bool) {
	k := h.key(d.Key)
	b := k.borrower(now, from)
	b.update(now, asOf, d)
	if !h.lending(now, asOf, d.Key) {
		k.filled = time.Time{}
		return Share{}, false
	}
	k.expire(now, h.cfg)
	lim := h.limits(d.Key)
	k.seq = max(k.seq, d.Ack) + 1
	s := Share{Key: d.Key, Seq: k.seq, Slots: h.slots(now, k, from, lim), Tokens: h.tokens(now, k, b, lim)}
	b.loans = append(b.loans, loan{seq: s.Seq, slots: s.Slots, until: now.Add(h.cfg.lent())})
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

// sweep drops keys without clients.
func (h *holder) sweep(now time.Time) {
	for key, k := range h.keys {
		k.expire(now, h.cfg)
		if len(k.clients) == 0 && now.Sub(k.filled) > burstWindow {
			delete(h.keys, key)
		}
	}
}

// slots is the new share of a client: what it wants, at most its fair part, at most what is committed nowhere else.
func (h *holder) slots(now time.Time, k *heldKey, from string, lim Limit) int {
	if lim.Concurrency <= 0 {
		return 0
	}
	lendable := h.cfg.lendableSlots(lim)
	free := lendable
	wants := make(map[string]int, len(k.clients))
	for id, b := range k.clients {
		wants[id] = b.want(now, h.cfg)
		if id != from {
			free -= b.committed()
		}
	}
	b := k.clients[from]
	want := b.demand.Slots
	if !h.accounted(now, b.demand.Key) {
		want = min(want, b.demand.InUse)
	}
	fair := fairSlots(wants, lendable, from, rotation(now, h.clock.start))
	return max(0, min(want, fair, free))
}

// rotateEvery is how often the odd slots of a limit move on, so that with fewer slots than clients each has its turn.
const rotateEvery = 2 * time.Second

func rotation(now, start time.Time) uint64 { return uint64(now.Sub(start) / rotateEvery) }

// fairSlots is the max-min fair part of one client, in whole slots.
func fairSlots(wants map[string]int, total int, of string, round uint64) int {
	list := make([]float64, 0, len(wants))
	for _, w := range wants {
		list = append(list, float64(w))
	}
	level, scarce := waterLevel(list, float64(total))
	if !scarce {
		return wants[of]
	}
	base := int(level)
	odd := total
	for _, w := range wants {
		odd -= min(w, base)
	}
	if wants[of] <= base {
		return wants[of]
	}
	ahead := 0
	mine := rank(of, round)
	for id, w := range wants {
		if w > base && rank(id, round) > mine {
			ahead++
		}
	}
	if ahead < odd {
		return base + 1
	}
	return base
}

// waterLevel returns the level at which the sum of min(want, level) is total. It is not scarce when all wants fit.
func waterLevel(wants []float64, total float64) (level float64, scarce bool) {
	slices.Sort(wants)
	for i, w := range wants {
		each := total / float64(len(wants)-i)
		if w > each {
			return each, true
		}
		total -= w
	}
	return 0, false
}
