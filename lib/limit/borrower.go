package limit

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// borrower is the holder's state for one client of a key.
type borrower struct {
	demand     Demand
	lastSeen   time.Time
	loans      []loan // loans that requests in progress may have been admitted under, oldest first
	credit     float64
	creditedAt time.Time // when credit was last updated
}

type loan struct {
	seq     uint64
	slots   int
	expires time.Time
}

func (k *heldKey) borrower(now time.Time, id string) *borrower {
	b := k.clients[id]
	if b == nil {
		b = &borrower{creditedAt: now}
		k.clients[id] = b
	}
	return b
}

// applyDemand applies a demand that was sent at asOf or later. The demand accounts for all requests admitted under loans that
// the client had replaced, or that had expired, by the time it was sent.
func (b *borrower) applyDemand(now, asOf time.Time, d Demand) {
	b.demand = d
	b.lastSeen = now
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
		return l.seq < d.Ack || !l.expires.After(asOf)
	})
}

// committed is the maximum number of requests that the client can have in progress above its floor.
func (b *borrower) committed() int {
	slots := b.demand.InUse
	for _, l := range b.loans {
		slots = max(slots, l.slots)
	}
	return slots
}

// demanded is the client's demand. A silent client keeps what it may still use, and gets no more.
func (b *borrower) demanded(now time.Time, cfg Config) int {
	if now.Sub(b.lastSeen) > cfg.loanTTL() {
		return b.committed()
	}
	return b.demand.Slots
}

// expire removes clients that have been silent for OrphanTimeout after their last loan expired. Until then an expired loan
// still counts: requests admitted under it keep running, and the client has not reported that they ended.
func (k *heldKey) expire(now time.Time, cfg Config) {
	for id, b := range k.clients {
		expiry := b.lastSeen
		for _, l := range b.loans {
			if l.expires.After(expiry) {
				expiry = l.expires
			}
		}
		if now.Sub(expiry) > cfg.OrphanTimeout {
			delete(k.clients, id)
		}
	}
}

// burstWindow is how much of a rate, as a duration, may be lent at once after an idle period.
const burstWindow = time.Second

// tokenShare lends admissions from the key's token bucket, which starts empty at a new holder. When the clients' combined demand
// exceeds the rate, each client accrues credit at its fair share of the rate.
func (h *holder) tokenShare(now time.Time, k *heldKey, b *borrower, lim Limit) int {
	if lim.RatePerSecond <= 0 {
		return 0
	}
	rate := h.cfg.lendableRate(lim)
	k.refill(now, rate)
	demands := make([]float64, 0, len(k.clients))
	for _, c := range k.clients {
		if now.Sub(c.lastSeen) <= h.cfg.loanTTL() {
			demands = append(demands, c.demand.Rate)
		}
	}
	n := min(float64(b.demand.Tokens), k.tokens)
	fair, scarce := waterLevel(demands, rate)
	if scarce {
		b.addCredit(now, min(fair, b.demand.Rate))
		n = min(n, b.credit)
	}
	n = max(0, math.Floor(n))
	b.credit = max(0, b.credit-n)
	k.tokens -= n
	return int(n)
}

// bucketSize is the capacity of a token bucket for rate, and so the most tokens lent at once.
func bucketSize(rate float64) float64 { return max(1, rate*burstWindow.Seconds()) }

func (k *heldKey) refill(now time.Time, rate float64) {
	if k.refilledAt.IsZero() {
		k.tokens = 0
	} else {
		k.tokens = min(k.tokens+rate*now.Sub(k.refilledAt).Seconds(), bucketSize(rate))
	}
	k.refilledAt = now
}

func (b *borrower) addCredit(now time.Time, rate float64) {
	dt := min(now.Sub(b.creditedAt), burstWindow)
	b.creditedAt = now
	b.credit = min(b.credit+rate*dt.Seconds(), bucketSize(rate))
}

// rank orders clients pseudorandomly, differently in each round.
func rank(client string, round uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(round)
	_, _ = d.WriteString(client)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], round)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
