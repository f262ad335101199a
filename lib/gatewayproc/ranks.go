package gatewayproc

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/owner"
)

// The reader of the store keeps a small row there for each failure domain, which names the readers and the relays. A starting instance
// finds its assignment with one small call.
//
// Load pattern: all instances of a large site restart at once. If each of them read the list of instances to find its assignment, the
// store would send a thousand rows to each, a million in total; with seeds alone, each would wait until a seed has started and read
// the list.

const (
	// joinTimeout bounds one call for the ranks at the start.
	joinTimeout = 300 * time.Millisecond
	// joinTries bounds the attempts, and joinSpread the random pause before each: the store accepts only so many new connections at
	// once, and the instance that is to read for all must not be rejected along with a thousand others.
	joinTries  = 6
	joinSpread = 100 * time.Millisecond
)

// join finds this instance's assignment from the ranks in the store, while seeds are queried in parallel and may answer sooner.
func (p *Process) join(ctx context.Context) {
	for range joinTries {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(joinSpread)):
		}
		if p.assigned.Load() != nil || p.readRanks(ctx) {
			return
		}
	}
}

// readRanks makes one call for the ranks and reports whether the store answered.
func (p *Process) readRanks(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	b, err := p.site.ReadRanks(callCtx, p.cfg.Domain)
	if err != nil {
		logline.Send(log.Info().Str("event", "join_failed"), err)
		return false
	}
	p.applyRanks(b)
	return true
}

// applyRanks derives this instance's assignment from ranks read from the store or a peer, and reports whether the assignment is known.
// An assignment from the list of instances takes precedence.
func (p *Process) applyRanks(b []byte) bool {
	if p.assigned.Load() != nil {
		return true
	}
	var r ranks
	if err := json.Unmarshal(b, &r); err != nil || len(r.Readers) == 0 || len(r.Relays) == 0 {
		return false
	}
	r.Serving = min(max(1, r.Serving), len(r.Relays))
	assigned := r.assign(p.cfg.Instance)
	assigned.Upstreams = withSeeds(assigned.Upstreams, p.cfg.Link, p.cfg.Seeds)
	return p.assigned.CompareAndSwap(nil, &assigned)
}

// ranksOf returns the encoded ranks of a failure domain by the list of instances; nil while there is no list.
func (p *Process) ranksOf(domain string) []byte {
	list := p.listedInstances()
	if len(list) == 0 {
		return nil
	}
	return encodeRanks(owner.NewCandidates(list), domain)
}

func encodeRanks(c *owner.Candidates, domain string) []byte {
	b, err := json.Marshal(ranksIn(c, domain))
	if err != nil {
		return nil // unreachable: strings and numbers only
	}
	return b
}

// updateRanks writes the ranks of the failure domains whose ranks have changed.
func (p *Process) updateRanks(ctx context.Context, written map[string][]byte) {
	list := p.listedInstances()
	if len(list) == 0 {
		return
	}
	c := owner.NewCandidates(list)
	changed := make(map[string][]byte)
	for _, domain := range c.Domains() {
		if b := encodeRanks(c, domain); !bytes.Equal(b, written[domain]) {
			changed[domain] = b
		}
	}
	if len(changed) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := p.site.WriteRanks(callCtx, changed); err != nil {
		logline.Send(log.Warn().Str("event", "ranks_not_written"), err)
		return
	}
	for domain, b := range changed {
		written[domain] = b
	}
}
