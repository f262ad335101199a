package settingsync

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/settings"
)

// swapLoop brings the highest revision seen into force. Parsing costs processor time in proportion to the tree, so
// after each swap it rests in proportion to what the swap took; what arrives meanwhile is swapped in one step.
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
		if !pause(ctx, s.rest(time.Since(start))) {
			return
		}
	}
}

// rest is how long a swap that took d holds the next one back.
func (s *Sync) rest(d time.Duration) time.Duration {
	return min(time.Duration(float64(d)/s.cfg.SwapShare), s.cfg.MaxSwapWait)
}

// swap parses and resolves the highest revision seen. One that this program can't read changes nothing but the
// status: the last good one stays in force.
func (s *Sync) swap() {
	s.mu.Lock()
	c := s.seen
	s.mu.Unlock()
	held, err := build(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.refuse(c, err)
		return
	}
	if s.held != nil && s.held.Snapshot.Revision >= c.revision {
		return
	}
	s.held = held
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

func (s *Sync) refuse(c candidate, err error) {
	refusedTotal.Inc()
	inForce := uint64(0)
	if s.held != nil {
		inForce = s.held.Snapshot.Revision
	}
	logRefused(c, inForce, err)
	if s.seen.revision == c.revision {
		s.refused = err.Error()
	}
}
