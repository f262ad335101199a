package entry

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/result"
)

const (
	stopPoll       = 50 * time.Millisecond
	stopRetryAfter = time.Second // another entry takes the request at once
)

// BeginShutdown marks the instance as not ready; requests are still taken.
func (s *Server) BeginShutdown() { s.leaving.Store(true) }

// ShuttingDown reports whether a planned stop has begun.
func (s *Server) ShuttingDown() bool { return s.leaving.Load() }

// RejectNew refuses new requests from now on; those in progress go on.
func (s *Server) RejectNew() {
	s.leaving.Store(true)
	s.stopping.Store(true)
}

// Stopping reports whether new requests are refused.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Stop refuses new requests and waits until every request in progress has ended, however long it runs, or until ctx is
// done. Balancers learn of it from the health page before that; what they still send is refused, not run.
func (s *Server) Stop(ctx context.Context) error {
	s.RejectNew()
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for {
		active, generations := s.table.counts()
		if active+generations == 0 {
			s.background.Wait()
			return nil
		}
		select {
		case <-ctx.Done():
			log.Warn().Str("event", "stop_cut").Int("requests", active).Int("generations", generations).Msg("")
			return ctx.Err()
		case <-t.C:
		}
	}
}

// enter counts a request in progress, or refuses it while stopping. The count comes first, so that Stop can't see zero
// between the two.
func (s *Server) enter() *result.Error {
	if err := s.table.enter(); err != nil {
		return err
	}
	if s.stopping.Load() {
		s.table.leave()
		err := result.New(result.Stopping, "another instance takes it")
		err.RetryAfter = stopRetryAfter
		return err
	}
	return nil
}
