package settingsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/ctxtime"
)

// pollReadShare is the share of the site's read budget that polling may use.
const pollReadShare = 0.1

// PollInterval returns the interval between an instance's polls that keeps all instances together within pollReadShare of
// the site's read budget.
func PollInterval(instances int, readsPerSec float64) time.Duration {
	if readsPerSec <= 0 {
		return DefaultPoll
	}
	seconds := float64(instances) / (readsPerSec * pollReadShare)
	return max(DefaultPoll, time.Duration(seconds*float64(time.Second)))
}

// pollLoop reads the table's head and, if the head names a new revision, that revision.
func (s *Sync) pollLoop(ctx context.Context) {
	var base baseText
	for {
		base = s.poll(ctx, base)
		if !ctxtime.Sleep(ctx, withJitter(s.pollInterval())) {
			return
		}
	}
}

func (s *Sync) pollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		return s.cfg.Poll
	}
	return max(s.cfg.Poll, PollInterval(s.tableReaders, s.active.Snapshot.Site.StoreReadsPerSec))
}

// withJitter shortens d by up to a quarter, so that instances started together don't poll in lockstep.
func withJitter(d time.Duration) time.Duration { return d - rand.N(d/4+1) }

// poll makes one poll and returns the full text that later deltas refer to. If the store is down or slow, the active
// settings stay in force.
func (s *Sync) poll(ctx context.Context, base baseText) baseText {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PollTimeout)
	defer cancel()
	head, _, err := readHead(ctx, s.cfg.Table)
	if err != nil {
		reportPollError(err)
		return base
	}
	seen := s.Offer().GetRevision()
	if head.Revision < seen {
		staleTotal.Inc()
	}
	if head.Revision <= seen {
		s.markTableRead()
		return base
	}
	text, base, rec, err := readText(ctx, s.cfg.Table, head.Revision, base)
	if err != nil {
		// A lagging replica may return the new head but not yet the revision; the next poll will find it.
		if !errorx.IsOfType(err, Absent) {
			reportPollError(err)
		}
		return base
	}
	s.markTableRead()
	s.observe(candidate{revision: rec.Revision, text: text, digest: rec.Digest, source: sourceTable})
	return base
}

const sourceTable = "table"
