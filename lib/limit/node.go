package limit

import (
	"cmp"
	"slices"
	"time"
)

// Node combines the client and the holder of one instance. It is not safe for concurrent use; Service is.
type Node struct {
	cfg       Config
	self      string
	views     history
	client    *client
	holder    *holder
	links     map[string]*holderLink
	lastSweep time.Time
	lastStamp Stamp // of the last Up sent
}

// holderLink is the client's state for one holder.
type holderLink struct {
	echo       Stamp
	lastSentAt time.Time
	wantFull   bool
}

// Outgoing is a message to send. Delivery is not required.
type Outgoing struct {
	To string
	Up Up
}

// NewNode returns a Node that neither lends nor supports a holder until HandoverDelay has passed, because it does not know
// what an earlier process of the same instance lent or supported. epoch is the process's incarnation; it increases with each
// restart.
func NewNode(now time.Time, cfg Config, self string, epoch uint64, limits LimitFunc) *Node {
	n := &Node{cfg: cfg, self: self, links: make(map[string]*holderLink), lastSweep: now}
	n.client = newClient(now, cfg, epoch, limits)
	n.holder = newHolder(now, cfg, self, epoch, &n.views, limits)
	return n
}

// SetView replaces the members. They must come from the platform's instance list, not from which instances respond: an
// instance that can reach nobody must not consider itself a majority of one. Two views in force at the same time must have a
// common majority; views that differ by one member always do.
func (n *Node) SetView(now time.Time, members []string) {
	if !n.views.set(now, members) {
		return
	}
	for _, m := range members {
		delete(n.holder.deadEpochs, m)
	}
	for _, k := range n.client.keys {
		k.sendDue, k.pendingSince = true, time.Time{}
	}
}

// MarkDead reports that an instance's process is known to be dead, and its requests in progress with it. Without it, a new
// holder of its keys lends no more than is in progress until OrphanTimeout has passed. A later view that includes the
// instance reverts it.
func (n *Node) MarkDead(instance string) {
	n.holder.markDead(instance)
	delete(n.links, instance)
}

// Ready reports whether this process has a view and HandoverDelay has passed since it started. A later view change does not
// make it unready.
func (n *Node) Ready(now time.Time) bool {
	return n.views.current() != nil && now.Sub(n.holder.clock.start) >= n.cfg.HandoverDelay()
}

// Acquire decides on one request. It returns Pending only when another instance is the holder.
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

// Refuse ends a Pending request whose answer did not arrive in time.
func (n *Node) Refuse(now time.Time, key Key) Answer {
	k := n.client.key(now, key)
	k.meter.arrivals++
	slotFree := n.client.slotFree(now, key, k)
	return Answer{Verdict: Refused, RetryAfter: k.retryAfter(n.cfg, slotFree)}
}

// Release ends an admitted request.
func (n *Node) Release(key Key) { n.client.release(key) }

// RequestMore returns a message that requests more from key's holder at once; ok is false when there is no remote holder.
func (n *Node) RequestMore(now time.Time, key Key) (out Outgoing, ok bool) {
	to := n.holderOf(key)
	if to == "" || to == n.self {
		return Outgoing{}, false
	}
	return Outgoing{To: to, Up: n.buildUp(now, to, []Key{key}, false)}, true
}

// Tick exchanges messages with the local holder and returns those due to remote holders. Call it each Interval.
func (n *Node) Tick(now time.Time) []Outgoing {
	cur := n.views.current()
	if cur == nil {
		return nil
	}
	n.sweep(now)
	byHolder := n.keysByHolder()
	n.exchangeLocally(now, byHolder[n.self], true)
	var out []Outgoing
	for _, m := range cur.members {
		if m == n.self {
			continue
		}
		if len(byHolder[m]) == 0 && !n.supportDue(now, m) {
			continue
		}
		up := n.buildUp(now, m, byHolder[m], true)
		if len(up.Demands) > 0 || n.supportDue(now, m) {
			out = append(out, Outgoing{To: m, Up: up})
		}
	}
	for _, o := range out {
		n.link(o.To).lastSentAt = now
	}
	return out
}

// keysByHolder groups the client's keys by holder, in key order.
func (n *Node) keysByHolder() map[string][]Key {
	byHolder := make(map[string][]Key)
	for key := range n.client.keys {
		to := n.holderOf(key)
		byHolder[to] = append(byHolder[to], key)
	}
	for _, keys := range byHolder {
		slices.SortFunc(keys, compareKeys)
	}
	return byHolder
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
}

// supportRenewals is how often support is renewed within SupportTTL.
const supportRenewals = 3

func (n *Node) supportDue(now time.Time, to string) bool {
	l := n.link(to)
	return l.wantFull || now.Sub(l.lastSentAt) >= n.cfg.SupportTTL/supportRenewals
}

// HandleUp answers a client; ok is false when the message is out of order or a duplicate.
func (n *Node) HandleUp(now time.Time, from string, up Up) (Down, bool) {
	return n.holder.handle(now, from, up)
}

// HandleDown processes a holder's answer. Shares from an instance that is not the key's holder in the current view are
// ignored.
func (n *Node) HandleDown(now time.Time, from string, d Down) {
	l := n.link(from)
	if d.Stamp.Epoch < l.echo.Epoch || d.Stamp.Epoch == l.echo.Epoch && d.Stamp.Nanos < l.echo.Nanos {
		return
	}
	l.echo = d.Stamp
	l.wantFull = d.WantFull
	sent := n.client.clock.timeOf(d.Echo)
	if sent.IsZero() {
		return
	}
	for _, s := range d.Shares {
		if n.holderOf(s.Key) == from {
			n.client.applyShare(now, s.Key, s, sent)
		}
	}
}

func (n *Node) holderOf(key Key) string {
	if cur := n.views.current(); cur != nil {
		return cur.holder(key)
	}
	return ""
}

func (n *Node) link(to string) *holderLink {
	l := n.links[to]
	if l == nil {
		l = &holderLink{}
		n.links[to] = l
	}
	return l
}

// exchangeLocally runs one exchange of Up and Down between this instance's client and holder.
func (n *Node) exchangeLocally(now time.Time, keys []Key, all bool) {
	l := n.link(n.self)
	l.echo = n.holder.clock.stamp(now)
	up := n.buildUp(now, n.self, keys, all)
	if d, ok := n.holder.handle(now, n.self, up); ok {
		n.HandleDown(now, n.self, d)
	}
}

// buildUp builds the message to one holder about keys that it holds; all means that keys has every such key. A key is included
// when its demand is due to be sent.
func (n *Node) buildUp(now time.Time, to string, keys []Key, all bool) Up {
	l := n.link(to)
	up := Up{
		Stamp: n.nextStamp(now), Echo: l.echo,
		Views: n.views.recent(now.Add(-n.cfg.HandoverDelay())), Full: all && l.wantFull,
	}
	for _, key := range keys {
		k := n.client.key(now, key)
		d := n.client.demand(now, key, k)
		if !up.Full && !k.needsUpdate(now, n.cfg, d) {
			continue
		}
		k.sendDue, k.lastSentAt, k.lastDemand = false, now, d
		if k.pendingSince.IsZero() {
			k.pendingSince = now
		}
		up.Demands = append(up.Demands, d)
	}
	return up
}

// nextStamp returns the stamp of now, or just after the last stamp: receivers drop a message that is not newer than the last.
func (n *Node) nextStamp(now time.Time) Stamp {
	s := n.client.clock.stamp(now)
	s.Nanos = max(s.Nanos, n.lastStamp.Nanos+1)
	n.lastStamp = s
	return s
}

func (n *Node) sweep(now time.Time) {
	if now.Sub(n.lastSweep) < n.cfg.OrphanTimeout {
		return
	}
	n.lastSweep = now
	n.client.sweep(now)
	n.holder.sweep(now)
}
