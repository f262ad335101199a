package limit

import (
	"cmp"
	"slices"
	"time"
)

// Node is the client and the holder of one instance. It is not safe for concurrent use; Service is.
type Node struct {
	cfg    Config
	self   string
	views  history
	client *client
	holder *holder
	links  map[string]*nodeLink
	swept  time.Time
	last   Stamp // of the last Up
}

// nodeLink is what a client keeps of one holder.
type nodeLink struct {
	echo     Stamp
	sent     time.Time
	wantFull bool
}

// Outgoing is a message to send; it may be lost.
type Outgoing struct {
	To string
	Up Up
}

// NewNode returns a Node that neither lends nor supports a holder before WaitOut has passed: what an earlier process
// of the same instance promised is not known. Epoch is the process's incarnation and grows with each restart.
func NewNode(now time.Time, cfg Config, self string, epoch uint64, limits LimitFunc) *Node {
	n := &Node{cfg: cfg, self: self, links: make(map[string]*nodeLink), swept: now}
	n.client = newClient(now, cfg, epoch, limits)
	n.holder = newHolder(now, cfg, self, epoch, &n.views, limits)
	return n
}

// SetView replaces the members. They come from the platform's instance list, not from who answers: an instance that
// can reach nobody must not think itself a majority of one. Two views in force at the same time must share a majority;
// views that differ by one member always do.
func (n *Node) SetView(now time.Time, members []string) {
	if !n.views.set(now, members) {
		return
	}
	for _, m := range members {
		delete(n.holder.gone, m)
	}
	for _, k := range n.client.keys {
		k.due, k.open = true, time.Time{}
	}
}

// MarkDead tells that an instance's process is known to be gone, and its requests in progress with it. Without it, a new
// holder of its keys lends no more than is in progress until OrphanHold has passed. A view that names it again takes it
// back.
func (n *Node) MarkDead(instance string) {
	n.holder.forget(instance)
	delete(n.links, instance)
}

// Ready reports whether this process has a view and has waited out its predecessor. A later change of view does not make
// it unready.
func (n *Node) Ready(now time.Time) bool {
	return n.views.current() != nil && now.Sub(n.holder.clock.start) >= n.cfg.HandoverDelay()
}

// Acquire decides on one request. Pending is only given when this instance is not itself the holder.
func (n *Node) Acquire(now time.Time, key Key) Answer {
	a := n.client.acquire(now, key)
	if a.Verdict != Pending || n.holderOf(key) != n.self {
		return a
	}
	n.exchangeLocally(now, []Key{key}, false)
	if a = n.client.acquire(now, key); a.Verdict == Pending {
		return n.Refuse(now, key)
	}
	return a
}

// Refuse ends a Pending request whose answer did not come in time.
func (n *Node) Refuse(now time.Time, key Key) Answer {
	k := n.client.key(now, key)
	k.meter.arrivals++
	slotFree := n.client.slotFree(now, key, k)
	return Answer{Verdict: Refused, RetryAfter: k.retryAfter(n.cfg, slotFree)}
}

// Release ends a request that was admitted.
func (n *Node) Release(key Key) { n.client.release(key) }

// RequestMore returns the message that asks key's holder for more at once; ok is false when there is no holder to ask.
func (n *Node) RequestMore(now time.Time, key Key) (out Outgoing, ok bool) {
	to := n.holderOf(key)
	if to == "" || to == n.self {
		return Outgoing{}, false
	}
	return Outgoing{To: to, Up: n.up(now, to, []Key{key}, false)}, true
}

// Tick exchanges with the own holder and returns the messages that are due to others. Call it each Interval.
func (n *Node) Tick(now time.Time) []Outgoing {
	cur := n.views.current()
	if cur == nil {
		return nil
	}
	n.sweep(now)
	held := n.keysByHolder()
	n.exchangeLocally(now, held[n.self], true)
	var out []Outgoing
	for _, m := range cur.members {
		if m == n.self {
			continue
		}
		if len(held[m]) == 0 && !n.supportDue(now, m) {
			continue
		}
		up := n.up(now, m, held[m], true)
		if len(up.Demands) > 0 || n.supportDue(now, m) {
			out = append(out, Outgoing{To: m, Up: up})
		}
	}
	for _, o := range out {
		n.link(o.To).sent = now
	}
	return out
}

// keysByHolder groups the client's keys, in order.
func (n *Node) keysByHolder() map[string][]Key {
	held := make(map[string][]Key)
	for key := range n.client.keys {
		to := n.holderOf(key)
		held[to] = append(held[to], key)
	}
	for _, keys := range held {
		slices.SortFunc(keys, compareKeys)
	}
	return held
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
}

// supportParts: support is renewed so many times within its life.
const supportParts = 3

func (n *Node) supportDue(now time.Time, to string) bool {
	l := n.link(to)
	return l.wantFull || now.Sub(l.sent) >= n.cfg.SupportTTL/supportParts
}

// HandleUp answers a client; ok is false when the message is late.
func (n *Node) HandleUp(now time.Time, from string, up Up) (Down, bool) {
	return n.holder.handle(now, from, up)
}

// HandleDown takes in a holder's answer. Shares from an instance that is not the key's holder in the current view are
// dropped.
func (n *Node) HandleDown(now time.Time, from string, d Down) {
	l := n.link(from)
	if d.Stamp.Epoch < l.echo.Epoch || d.Stamp.Epoch == l.echo.Epoch && d.Stamp.Nanos < l.echo.Nanos {
		return
	}
	l.echo = d.Stamp
	l.wantFull = d.WantFull
	sent := n.client.clock.at(d.Echo)
	if sent.IsZero() {
		return
	}
	for _, s := range d.Shares {
		if n.holderOf(s.Key) == from {
			n.client.apply(now, s.Key, s, sent)
		}
	}
}

func (n *Node) holderOf(key Key) string {
	if cur := n.views.current(); cur != nil {
		return cur.holder(key)
	}
	return ""
}

func (n *Node) link(to string) *nodeLink {
	l := n.links[to]
	if l == nil {
		l = &nodeLink{}
		n.links[to] = l
	}
	return l
}

// exchangeLocally is Up and Down between the own client and the own holder.
func (n *Node) exchangeLocally(now time.Time, keys []Key, all bool) {
	l := n.link(n.self)
	l.echo = n.holder.clock.stamp(now)
	up := n.up(now, n.self, keys, all)
	if d, ok := n.holder.handle(now, n.self, up); ok {
		n.HandleDown(now, n.self, d)
	}
}

// up builds the message to one holder, of keys that it holds; all tells that there are no others. A key goes into it
// when the holder should hear of it.
func (n *Node) up(now time.Time, to string, keys []Key, all bool) Up {
	l := n.link(to)
	up := Up{
		Stamp: n.nextStamp(now), Echo: l.echo,
		Views: n.views.recent(now.Add(-n.cfg.HandoverDelay())), Full: all && l.wantFull,
	}
	for _, key := range keys {
		k := n.client.key(now, key)
		d := n.client.demand(now, key, k)
		if !up.Full && !k.needsSending(now, n.cfg, d) {
			continue
		}
		k.due, k.asked, k.sent = false, now, d
		if k.open.IsZero() {
			k.open = now
		}
		up.Demands = append(up.Demands, d)
	}
	return up
}

// nextStamp is now, or just after the last stamp: receivers drop a message that is not newer than the last.
func (n *Node) nextStamp(now time.Time) Stamp {
	s := n.client.clock.stamp(now)
	s.Nanos = max(s.Nanos, n.last.Nanos+1)
	n.last = s
	return s
}

func (n *Node) sweep(now time.Time) {
	if now.Sub(n.swept) < n.cfg.OrphanTimeout {
		return
	}
	n.swept = now
	n.client.sweep(now)
	n.holder.sweep(now)
}
