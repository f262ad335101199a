package settingsync

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/settings"
)

// swapLoop activates the highest revision seen. Parsing takes CPU time in proportion to the size of the tree, so each swap
// is followed by a delay in proportion to its duration; revisions that arrive meanwhile are activated in one swap.
func (s *Sync) swapLoop(ctx context.Context) {
	if !s.awaitSources(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		start := time.Now()
		s.swap()
		if !ctxtime.Sleep(ctx, s.swapDelay(time.Since(start))) {
			return
		}
	}
}

// swapDelay returns how long to wait after a swap that took d, so that swaps use at most SwapShare of a core.
func (s *Sync) swapDelay(d time.Duration) time.Duration {
	return min(time.Duration(float64(d)/s.cfg.SwapShare), s.cfg.MaxSwapWait)
}

// swap parses and resolves the highest revision seen and activates it. If this program can't parse it, the active settings
// stay in force and only the status changes.
func (s *Sync) swap() {
	s.mu.Lock()
	c := s.seen
	s.mu.Unlock()
	active, err := build(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.reject(c, err)
		return
	}
	if s.active != nil && s.active.Snapshot.Revision >= c.revision {
		return
	}
	s.active = active
	close(s.updated)
	s.updated = make(chan struct{})
	swapsTotal.Inc()
	logInForce(c)
}

func build(c candidate) (*Active, error) {
	tree, err := settings.Parse(c.text, "revision")
	if err != nil {
		return nil, err
	}
	snap, err := tree.Resolve(c.revision)
	if err != nil {
		return nil, err
	}
	return &Active{Snapshot: snap, Tree: tree}, nil
}

func (s *Sync) reject(c candidate, err error) {
	refusedTotal.Inc()
	inForce := uint64(0)
	if s.active != nil {
		inForce = s.active.Snapshot.Revision
	}
	logRefused(c, inForce, err)
	if s.seen.revision == c.revision {
		s.rejected = err.Error()
	}
}
