package limit

import (
	"math"
	"time"
)

// Verdict is the result of one admission request.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota + 1 // Release must be called when the request ends
	Refused                     // reject the request now
	Pending                     // the holder may lend more: send RequestMore, wait for the answer, acquire again
)

// Answer is a Verdict and, for Refused, the estimated time until the caller could be admitted.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// client admits requests of its instance under the shares that it has borrowed.
type client struct {
	cfg    Config
	clock  clock
	limits LimitFunc
	keys   map[Key]*clientKey
}

// clientKey is the client's state for one key.
type clientKey struct {
	inUse        int
	slots        int
	slotsExpire  time.Time // when slots expires
	tokens       []borrowedTokens
	ack          uint64
	lastSentAt   time.Time // when the last Up with this key was sent; zero: never
	pendingSince time.Time // when the first Up with this key since the last share was sent; zero: none
	lastShareAt  time.Time // when the last share arrived; zero: never
	lastDemand   Demand    // last demand sent
	sendDue      bool      // must be included in the next Up

	satisfied   bool // the last share covered the whole demand
	floorTokens float64
	floorFilled time.Time
	meter       meter
}

type borrowedTokens struct {
	n       int
	expires time.Time
}

func newClient(now time.Time, cfg Config, epoch uint64, limits LimitFunc) *client {
	return &client{cfg: cfg, clock: clock{epoch, now}, limits: limits, keys: make(map[Key]*clientKey)}
}

func (c *client) key(now time.Time, key Key) *clientKey {
	k := c.keys[key]
	if k == nil {
		k = &clientKey{floorFilled: now, meter: meter{windowStart: now}}
		c.keys[key] = k
	}
	return k
}

// acquire decides on one request without blocking.
func (c *client) acquire(now time.Time, key Key) Answer {
	lim := c.limits(key)
	k := c.key(now, key)
	k.refresh(now, c.cfg, lim)
	slotFree := c.slotFree(now, key, k)
	if slotFree && (lim.RatePerSecond <= 0 || k.takeToken()) {
		k.inUse++
		k.meter.admit(k.inUse)
		return Answer{Verdict: Admitted}
	}
	k.sendDue = true
	k.meter.unmet++
	if k.mayBorrowMore(now, c.cfg) {
		return Answer{Verdict: Pending}
	}
	k.meter.arrivals++
	return Answer{Verdict: Refused, RetryAfter: k.retryAfter(c.cfg, slotFree)}
}

// mayBorrowMore reports whether requesting more from the holder may help: the last share covered the whole demand, or a request
// was sent less than HolderTimeout ago. A holder that lent less has no more to lend, and a holder that does not answer must
// not delay every request.
func (k *clientKey) mayBorrowMore(now time.Time, cfg Config) bool {
	if k.pendingSince.IsZero() {
		return k.satisfied || now.Sub(k.lastShareAt) > cfg.TTL
	}
	return now.Sub(k.pendingSince) < cfg.HolderTimeout
}

// release ends an admitted request.
func (c *client) release(key Key) {
	k := c.keys[key]
	if k == nil || k.inUse == 0 {
		return
	}
	k.inUse--
	k.meter.released++
}

func (c *client) slotFree(now time.Time, key Key, k *clientKey) bool {
	lim := c.limits(key)
	return lim.Concurrency <= 0 || k.inUse < k.borrowedSlots(now)+c.cfg.floorSlots(lim)
}

// borrowedSlots is the borrowed part of the concurrency limit.
func (k *clientKey) borrowedSlots(now time.Time) int {
	if now.Before(k.slotsExpire) {
		return k.slots
	}
	return 0
}

// refresh drops expired tokens and refills the floor's token bucket.
func (k *clientKey) refresh(now time.Time, cfg Config, lim Limit) {
	kept := k.tokens[:0]
	for _, t := range k.tokens {
		if now.Before(t.expires) && t.n > 0 {
			kept = append(kept, t)
		}
	}
	k.tokens = kept
	rate := cfg.floorRate(lim)
	if rate > 0 {
		k.floorTokens = min(k.floorTokens+rate*now.Sub(k.floorFilled).Seconds(), bucketSize(rate))
	}
	k.floorFilled = now
}

func (k *clientKey) takeToken() bool {
	for i := range k.tokens {
		if k.tokens[i].n > 0 {
			k.tokens[i].n--
			return true
		}
	}
	if k.floorTokens >= 1 {
		k.floorTokens--
		return true
	}
	return false
}

func (k *clientKey) tokensHeld() int {
	n := 0
	for _, t := range k.tokens {
		n += t.n
	}
	return n
}

// retryAfter estimates when a caller refused now would be admitted. Recently refused callers are expected to retry too, and
// all of them are served at the rate at which this instance admits requests.
func (k *clientKey) retryAfter(cfg Config, slotFree bool) time.Duration {
	rate := k.meter.releaseRate
	if slotFree {
		rate = k.meter.admitRate
	}
	contenders := float64(k.meter.recentlyRejected() + 1)
	if rate <= 0 {
		return maxRetryAfter / 6
	}
	d := time.Duration(contenders / rate * float64(time.Second))
	return min(max(d, cfg.Interval), maxRetryAfter)
}

// maxRetryAfter bounds the retry delay that callers are given; shares have been redistributed by then.
const maxRetryAfter = 30 * time.Second

// demand computes the client's current demand for a key.
func (c *client) demand(now time.Time, key Key, k *clientKey) Demand {
	lim := c.limits(key)
	k.refresh(now, c.cfg, lim)
	k.meter.roll(now, c.cfg.Interval, k.inUse)
	floor := c.cfg.floorSlots(lim)
	d := Demand{Key: key, InUse: max(0, k.inUse-floor), Ack: k.ack}
	if lim.Concurrency > 0 {
		d.Slots = min(k.meter.slotsWanted(k.inUse), lim.Concurrency) - floor
		d.Slots = max(0, d.Slots, d.InUse)
	}
	if lim.RatePerSecond > 0 {
		d.Rate = math.Round(k.meter.arrivalRate*10) / 10
		want := k.meter.arrivalRate*tokenHorizon(c.cfg).Seconds() + float64(k.meter.recentlyRejected())
		d.Tokens = max(0, int(math.Ceil(want))-k.tokensHeld())
	}
	return d
}

// tokenHorizon is how far ahead tokens are borrowed: until the answer to the next Up, allowing for one lost Up.
func tokenHorizon(cfg Config) time.Duration { return 2 * cfg.Interval }

// applyShare accepts a share from the holder.
func (c *client) applyShare(now time.Time, key Key, s Share, sent time.Time) {
	k := c.keys[key]
	expires := sent.Add(c.cfg.TTL)
	if k == nil || s.Seq <= k.ack {
		return
	}
	k.sendDue = k.sendDue || s.Slots < k.slots // the holder can lend the difference once it knows that this client dropped it
	k.satisfied = s.Slots >= k.lastDemand.Slots && s.Tokens >= k.lastDemand.Tokens
	k.ack = s.Seq
	k.lastShareAt = now
	k.pendingSince = time.Time{}
	k.slots = s.Slots
	k.slotsExpire = expires
	if s.Tokens > 0 {
		k.tokens = append(k.tokens, borrowedTokens{n: s.Tokens, expires: expires})
	}
}

// needsUpdate reports whether the next Up must include the key.
func (k *clientKey) needsUpdate(now time.Time, cfg Config, d Demand) bool {
	if k.sendDue || d.Tokens > 0 {
		return true
	}
	if d.InUse == 0 && d.Slots == 0 && d.Rate == 0 && k.lastDemand.Slots == 0 && k.lastDemand.Rate == 0 {
		return false
	}
	if now.Sub(k.lastSentAt) >= cfg.TTL/2 {
		return true
	}
	increase, decrease := d.Slots-k.lastDemand.Slots, k.lastDemand.Slots-d.Slots
	threshold := k.lastDemand.Slots / changeDivisor
	return increase > max(1, threshold) || decrease > max(minDecrease, threshold)
}

// An increase or decrease of demand by less than 1/changeDivisor is sent with the next renewal only. So is a decrease of up to
// minDecrease: lightly used keys would otherwise cause a message at the start and the end of each request.
const (
	changeDivisor = 8
	minDecrease   = 4
)

// sweep removes keys that have been idle long enough that nothing is lent on them.
func (c *client) sweep(now time.Time) {
	for key, k := range c.keys {
		idle := k.inUse == 0 && k.borrowedSlots(now) == 0 && k.meter.idle()
		if idle && now.Sub(k.lastSentAt) > 2*c.cfg.TTL {
			delete(c.keys, key)
		}
	}
}
