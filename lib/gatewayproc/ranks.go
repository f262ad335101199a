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

// The one that reads the store keeps a row there for each failure domain: who reads and who relays. One that starts finds its place by it
// with one small call.
//
// Load pattern: all instances of a large site start again at once. Each that reads the list of all of them to find its place has a
// thousand rows sent, a million together; told by a seed, it waits until seeds have started and read the list.

const (
	// joinTimeout bounds the call for the ranks at the start.
	joinTimeout = 300 * time.Millisecond
	// joinTries and joinSpread bound the tries, and the pause before each: the store takes so many new connections at once, and the one that
	// is to read for all must not be turned away with a thousand others.
	joinTries  = 6
	joinSpread = 100 * time.Millisecond
)

// join finds this instance's place by the ranks that the store has, beside the seeds that may tell it sooner.
func (p *Process) join(ctx context.Context) {
	for range joinTries {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(joinSpread)):
		}
		if p.placed.Load() != nil || p.readRanks(ctx) {
			return
		}
	}
}

// readRanks makes one call for the ranks, and reports whether the store has answered.
func (p *Process) readRanks(ctx context.Context) bool {
	try, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	b, err := p.site.ReadRanks(try, p.cfg.Domain)
	if err != nil {
		logline.Cause(log.Info().Str("event", "join_failed"), err)
		return false
	}
	p.takeRanks(b)
	return true
}

// takeRanks takes in what the store or a peer says of who reads and relays, and reports whether this instance knows its place by it. The
// list of instances goes before it.
func (p *Process) takeRanks(b []byte) bool {
	if p.placed.Load() != nil {
		return true
	}
	var r ranks
	if err := json.Unmarshal(b, &r); err != nil || len(r.Readers) == 0 || len(r.Relays) == 0 {
		return false
	}
	r.Serving = min(max(1, r.Serving), len(r.Relays))
	at := r.place(p.cfg.Instance)
	at.Upstreams = withSeeds(at.Upstreams, p.cfg.Link, p.cfg.Seeds)
	return p.placed.CompareAndSwap(nil, &at)
}

// ranksOf says who reads and relays in a failure domain by the list of instances; nil while there is none.
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
		return nil // it holds strings and numbers only
	}
	return b
}

// keepRanks writes the ranks of failure domains in which they have changed.
func (p *Process) keepRanks(ctx context.Context, written map[string][]byte) {
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
	try, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := p.site.WriteRanks(try, changed); err != nil {
		logline.Cause(log.Warn().Str("event", "ranks_not_written"), err)
		return
	}
	for domain, b := range changed {
		written[domain] = b
	}
}
