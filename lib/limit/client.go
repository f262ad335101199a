package limit

import (
	"math"
	"time"
)

// Verdict is the answer to one request for admission.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota + 1 // Release must be called when the request ends
	Refused                     // answer the caller now
	Pending                     // the holder may lend more: send Ask, wait for its answer, acquire again
)

// Answer is a Verdict with, for Refused, the time after which a caller may expect to be admitted.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// client admits requests of its instance under the shares it borrowed.
type client struct {
	cfg    Config
	clock  clock
	limits LimitFunc
	keys   map[Key]*ownKey
}

// ownKey is one key at one client.
type ownKey struct {
	inUse  int
	slots  int
	until  time.Time // end of slots
	tokens []lentTokens
	ack    uint64
	asked  time.Time // last Up that named it; zero: none
	open   time.Time // first Up that named it since the last share; zero: none
	told   time.Time // last share that came; zero: none
	sent   Demand    // as last sent
	due    bool      // must go into the next Up

	satisfied   bool // the last share was all that was wanted
	floorTokens float64
	floorFilled time.Time
	meter       meter
}

type lentTokens struct {
	n     int
	until time.Time
}

func newClient(now time.Time, cfg Config, epoch uint64, limits LimitFunc) *client {
	return &client{cfg: cfg, clock: clock{epoch, now}, limits: limits, keys: make(map[Key]*ownKey)}
}

func (c *client) key(now time.Time, key Key) *ownKey {
	k := c.keys[key]
	if k == nil {
		k = &ownKey{floorFilled: now, meter: meter{rolled: now}}
		c.keys[key] = k
	}
	return k
}

// acquire decides on one request. Nothing waits here.
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
	k.due = true
	k.meter.unmet++
	if k.mayGrow(now, c.cfg) {
		return Answer{Verdict: Pending}
	}
	k.meter.arrivals++
	return Answer{Verdict: Refused, RetryAfter: k.retryAfter(c.cfg, slotFree)}
}

// mayGrow reports whether asking the holder may help: it gave all that was wanted when it was last asked, or was asked
// just now. A holder that gave less has no more, and one that does not answer is not waited for again and again.
func (k *ownKey) mayGrow(now time.Time, cfg Config) bool {
	if k.open.IsZero() {
		return k.satisfied || now.Sub(k.told) > cfg.TTL
	}
	return now.Sub(k.open) < cfg.HolderTimeout
}

// release ends a request that was admitted.
func (c *client) release(key Key) {
	k := c.keys[key]
	if k == nil || k.inUse == 0 {
		return
	}
	k.inUse--
	k.meter.released++
}

func (c *client) slotFree(now time.Time, key Key, k *ownKey) bool {
	lim := c.limits(key)
	return lim.Concurrency <= 0 || k.inUse < k.allowed(now)+c.cfg.floorSlots(lim)
}

// allowed is the borrowed part of what may be in progress.
func (k *ownKey) allowed(now time.Time) int {
	if now.Before(k.until) {
		return k.slots
	}
	return 0
}

// refresh drops ended tokens and fills the floor's bucket.
func (k *ownKey) refresh(now time.Time, cfg Config, lim Limit) {
	kept := k.tokens[:0]
	for _, t := range k.tokens {
		if now.Before(t.until) && t.n > 0 {
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

func (k *ownKey) takeToken() bool {
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

func (k *ownKey) tokensInHand() int {
	n := 0
	for _, t := range k.tokens {
		n += t.n
	}
	return n
}

// retryAfter estimates when a caller that is refused now would be admitted: the callers refused lately come back too,
// and are served at the rate at which this instance admits.
func (k *ownKey) retryAfter(cfg Config, slotFree bool) time.Duration {
	drain := k.meter.releaseRate
	if slotFree {
		drain = k.meter.admitRate
	}
	waiting := float64(k.meter.waiting() + 1)
	if drain <= 0 {
		return maxRetryAfter / 6
	}
	d := time.Duration(waiting / drain * float64(time.Second))
	return min(max(d, cfg.Interval), maxRetryAfter)
}

// maxRetryAfter bounds what a caller is told; by then shares have moved anyway.
const maxRetryAfter = 30 * time.Second

// demand works out what the client asks of the holder now.
func (c *client) demand(now time.Time, key Key, k *ownKey) Demand {
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
		want := k.meter.arrivalRate*tokenHorizon(c.cfg).Seconds() + float64(k.meter.waiting())
		d.Tokens = max(0, int(math.Ceil(want))-k.tokensInHand())
	}
	return d
}

// tokenHorizon is how far ahead tokens are borrowed: until the answer to the next Up, with one Up lost.
func tokenHorizon(cfg Config) time.Duration { return 2 * cfg.Interval }

// apply takes in a share of the holder.
func (c *client) apply(now time.Time, key Key, s Share, sent time.Time) {
	k := c.keys[key]
	until := sent.Add(c.cfg.TTL)
	if k == nil || s.Seq <= k.ack {
		return
	}
	k.due = k.due || s.Slots < k.slots // the holder lends it on once it knows that we dropped it
	k.satisfied = s.Slots >= k.sent.Slots && s.Tokens >= k.sent.Tokens
	k.ack = s.Seq
	k.told = now
	k.open = time.Time{}
	k.slots = s.Slots
	k.until = until
	if s.Tokens > 0 {
		k.tokens = append(k.tokens, lentTokens{n: s.Tokens, until: until})
	}
}

// needsSending reports whether the holder should hear of a key again.
func (k *ownKey) needsSending(now time.Time, cfg Config, d Demand) bool {
	if k.due || d.Tokens > 0 {
		return true
	}
	if d.InUse == 0 && d.Slots == 0 && d.Rate == 0 && k.sent.Slots == 0 && k.sent.Rate == 0 {
		return false
	}
	if now.Sub(k.asked) >= cfg.TTL/2 {
		return true
	}
	more, less := d.Slots-k.sent.Slots, k.sent.Slots-d.Slots
	share := k.sent.Slots / changeShare
	return more > max(1, share) || less > max(smallLess, share)
}

// A change of demand under one part in changeShare waits for the next renewal. So does a small decrease, or quiet keys
// would be told of at the start and at the end of each request.
const (
	changeShare = 8
	smallLess   = 4
)

// sweep forgets keys that have been idle for so long that nothing is lent on them.
func (c *client) sweep(now time.Time) {
	for key, k := range c.keys {
		idle := k.inUse == 0 && k.allowed(now) == 0 && k.meter.quiet()
		if idle && now.Sub(k.asked) > 2*c.cfg.TTL {
			delete(c.keys, key)
		}
	}
}
