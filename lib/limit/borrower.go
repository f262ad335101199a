package limit

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// borrower is what a holder knows of one client of a key.
type borrower struct {
	demand Demand
	heard  time.Time
	loans  []loan // those that its requests in progress may have been admitted under, the oldest first
	credit float64
	earned time.Time // when credit was last added
}

type loan struct {
	seq   uint64
	slots int
	until time.Time
}

func (k *heldKey) borrower(now time.Time, id string) *borrower {
	b := k.clients[id]
	if b == nil {
		b = &borrower{earned: now}
		k.clients[id] = b
	}
	return b
}

// update takes in a demand that was sent at asOf or later. It tells of all requests admitted under loans that the
// client had replaced, or that had ended, when it was sent.
func (b *borrower) update(now, asOf time.Time, d Demand) {
	b.demand = d
	b.heard = now
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
		return l.seq < d.Ack || !l.until.After(asOf)
	})
}

// committed is the most that the client can have in progress above its floor.
func (b *borrower) committed() int {
	most := b.demand.InUse
	for _, l := range b.loans {
		most = max(most, l.slots)
	}
	return most
}

// want is the client's demand; one that is silent keeps what it may have, no more.
func (b *borrower) want(now time.Time, cfg Config) int {
	if now.Sub(b.heard) > cfg.lent() {
		return b.committed()
	}
	return b.demand.Slots
}

// expire drops clients that are silent for OrphanHold after their last loan ended. Until then a loan counts even after
// its end: requests admitted under it run on, and nobody has told that they ended.
func (k *heldKey) expire(now time.Time, cfg Config) {
	for id, b := range k.clients {
		end := b.heard
		for _, l := range b.loans {
			if l.until.After(end) {
				end = l.until
			}
		}
		if now.Sub(end) > cfg.OrphanTimeout {
			delete(k.clients, id)
		}
	}
}

// burstWindow is how much of a rate may be lent at once after a quiet time.
const burstWindow = time.Second

// tokens lends admissions out of the key's bucket, which starts empty at a new holder. When the clients ask for more
// than the rate together, each earns credit at its fair part of it.
func (h *holder) tokens(now time.Time, k *heldKey, b *borrower, lim Limit) int {
	if lim.RatePerSecond <= 0 {
		return 0
	}
	rate := h.cfg.lendableRate(lim)
	k.fill(now, rate)
	wants := make([]float64, 0, len(k.clients))
	for _, c := range k.clients {
		if now.Sub(c.heard) <= h.cfg.lent() {
			wants = append(wants, c.demand.Rate)
		}
	}
	n := min(float64(b.demand.Tokens), k.tokens)
	fair, scarce := waterLevel(wants, rate)
	if scarce {
		b.earn(now, min(fair, b.demand.Rate))
		n = min(n, b.credit)
	}
	n = max(0, math.Floor(n))
	b.credit = max(0, b.credit-n)
	k.tokens -= n
	return int(n)
}

// bucketSize bounds what a rate lends at once.
func bucketSize(rate float64) float64 { return max(1, rate*burstWindow.Seconds()) }

func (k *heldKey) fill(now time.Time, rate float64) {
	if k.filled.IsZero() {
		k.tokens = 0
	} else {
		k.tokens = min(k.tokens+rate*now.Sub(k.filled).Seconds(), bucketSize(rate))
	}
	k.filled = now
}

func (b *borrower) earn(now time.Time, rate float64) {
	dt := min(now.Sub(b.earned), burstWindow)
	b.earned = now
	b.credit = min(b.credit+rate*dt.Seconds(), bucketSize(rate))
}

// rank orders clients at random, anew for each round.
func rank(client string, round uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(round)
	_, _ = d.WriteString(client)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], round)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
