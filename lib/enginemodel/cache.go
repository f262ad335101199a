package enginemodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// maxCacheEvents bounds the log of cache events; a reader that is further behind needs a snapshot.
const maxCacheEvents = 4096

// CacheEvent reports that a prefix was stored or evicted. A gap in Seq means that events were lost.
type CacheEvent struct {
	Seq    uint64
	Stored bool
	Prefix Prefix
	At     time.Duration
}

// cached is a stored prefix and its cost: the tokens beyond the next shorter prefix.
type cached struct {
	Prefix
	cost int
}

// prefixCache keeps the most recently used prefixes within a token budget.
type prefixCache struct {
	budget int
	used   int
	lag    time.Duration
	gap    int
	rng    *rand.Rand
	lru    []cached // least recently used first
	seq    uint64
	log    []CacheEvent // published or waiting for the lag to pass
}

func (c *prefixCache) init(cfg Config, rng *rand.Rand) {
	c.budget = cfg.CacheTokens
	c.lag = cfg.CacheEventLag
	c.gap = cfg.CacheEventGap
	c.rng = rng
}

// match returns the token count of the longest cached prefix and marks it as used.
func (c *prefixCache) match(ps []Prefix) int {
	for _, p := range slices.Backward(ps) {
		if c.touch(p) {
			return p.Tokens
		}
	}
	return 0
}

// touch marks p as most recently used and reports whether it is cached.
func (c *prefixCache) touch(p Prefix) bool {
	i := slices.IndexFunc(c.lru, func(q cached) bool { return q.Hash == p.Hash })
	if i < 0 {
		return false
	}
	held := c.lru[i]
	c.lru = append(slices.Delete(c.lru, i, i+1), held)
	return true
}

// store caches the prefixes of a prompt and evicts the least recently used ones. Each prefix costs only the tokens beyond
// the next shorter one.
func (c *prefixCache) store(now time.Duration, ps []Prefix) {
	before := 0
	for _, p := range ps {
		cost := p.Tokens - before
		before = p.Tokens
		if cost > c.budget || c.touch(p) {
			continue
		}
		c.lru = append(c.lru, cached{Prefix: p, cost: cost})
		c.used += cost
		c.emit(now, true, p)
		c.evict(now)
	}
}

func (c *prefixCache) evict(now time.Duration) {
	for c.used > c.budget && len(c.lru) > 0 {
		oldest := c.lru[0]
		c.lru = slices.Delete(c.lru, 0, 1)
		c.used -= oldest.cost
		c.emit(now, false, oldest.Prefix)
	}
}

// emit logs an event. To simulate lost events it sometimes only consumes the sequence number.
func (c *prefixCache) emit(now time.Duration, stored bool, p Prefix) {
	c.seq++
	if c.gap > 0 && c.rng.IntN(c.gap) == 0 {
		return
	}
	c.log = append(c.log, CacheEvent{Seq: c.seq, Stored: stored, Prefix: p, At: now})
	if len(c.log) > maxCacheEvents {
		c.log = slices.Delete(c.log, 0, len(c.log)-maxCacheEvents/2)
	}
}

// CacheEvents returns the events after a sequence number that are old enough to be published.
func (e *Engine) CacheEvents(now time.Duration, after uint64) []CacheEvent {
	c := &e.cache
	from, _ := slices.BinarySearchFunc(c.log, after+1, func(ev CacheEvent, seq uint64) int {
		return int(int64(ev.Seq) - int64(seq))
	})
	to := from
	for to < len(c.log) && now-c.log[to].At >= c.lag {
		to++
	}
	return c.log[from:to]
}

// CacheSnapshot returns the sequence number of the last event and all cached prefixes.
func (e *Engine) CacheSnapshot() (uint64, []Prefix) {
	ps := make([]Prefix, 0, len(e.cache.lru))
	for _, c := range e.cache.lru {
		ps = append(ps, c.Prefix)
	}
	return e.cache.seq, ps
}
