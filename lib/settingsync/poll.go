package settingsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
)

// pollShare is the part of the site's reads that polling may take.
const pollShare = 0.1

// PollInterval returns the time between an instance's polls, such that all instances together stay within their
// share of the site's reads.
func PollInterval(instances int, readsPerSec float64) time.Duration {
	if readsPerSec <= 0 {
		return DefaultPoll
	}
	seconds := float64(instances) / (readsPerSec * pollShare)
	return max(DefaultPoll, time.Duration(seconds*float64(time.Second)))
}

// pollLoop reads the table's head, and the revision that it names when that is new.
func (s *Sync) pollLoop(ctx context.Context) {
	var base baseText
	for {
		base = s.poll(ctx, base)
		if !pause(ctx, jittered(s.pollEvery())) {
			return
		}
	}
}

func (s *Sync) pollEvery() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		return s.cfg.Poll
	}
	return max(s.cfg.Poll, PollInterval(s.fleet, s.held.Snapshot.Site.StoreReadsPerSec))
}

// jittered spreads polls over a quarter of the interval, so that instances started together don't read together.
func jittered(d time.Duration) time.Duration { return d - rand.N(d/4+1) }

// poll makes one round and returns the whole text that later differences refer to. A store that is down or slow
// changes nothing: what is in force stays.
func (s *Sync) poll(ctx context.Context, base baseText) baseText {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PollTimeout)
	defer cancel()
	head, _, err := readHead(ctx, s.cfg.Table)
	if err != nil {
		pollFailed(err)
		return base
	}
	seen := s.Offer().GetRevision()
	if head.Revision < seen {
		staleTotal.Inc()
	}
	if head.Revision <= seen {
		s.hearTable()
		return base
	}
	text, base, rec, err := readText(ctx, s.cfg.Table, head.Revision, base)
	if err != nil {
		// A replica that lags may show the head and not yet the revision: the next round will.
		if !errorx.IsOfType(err, Absent) {
			pollFailed(err)
		}
		return base
	}
	s.hearTable()
	s.learn(candidate{revision: rec.Revision, text: text, digest: rec.Digest, source: sourceTable})
	return base
}

const sourceTable = "table"
