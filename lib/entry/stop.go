package entry

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/stopping"
)

const (
	stopPoll       = 50 * time.Millisecond
	abortWait      = 500 * time.Millisecond
	stopRetryAfter = time.Second // short, since another entry accepts the request immediately
)

// BeginShutdown marks the instance as not ready; requests are still accepted. With a schedule, those that can't be answered by its end are refused
// before they are sent; nil: the stop has no end.
func (s *Server) BeginShutdown(schedule *stopping.Schedule) {
	s.schedule.Store(schedule)
	s.shuttingDown.Store(true)
}

// ShuttingDown reports whether a planned shutdown has begun.
func (s *Server) ShuttingDown() bool { return s.shuttingDown.Load() }

// RejectNew refuses new requests from now on; those in progress continue.
func (s *Server) RejectNew() {
	s.shuttingDown.Store(true)
	s.stopping.Store(true)
}

// Stopping reports whether new requests are refused.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Stop refuses new requests and waits until all requests in progress have ended, however long they run, or until ctx is
// done; work that no caller waits for is awaited no longer either. Load balancers see the health page change before that; requests
// they still send are refused without being run.
func (s *Server) Stop(ctx context.Context) error {
	s.RejectNew()
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for {
		active, generations := s.table.counts()
		if active+generations == 0 {
			s.awaitBackground(ctx)
			return nil
		}
		select {
		case <-ctx.Done():
			log.Warn().Str("event", "stop_cut").Int("requests", active).Int("generations", generations).Msg("")
			s.abortUnkeyed()
			s.awaitAborted()
			return ctx.Err()
		case <-t.C:
		}
	}
}

// awaitBackground waits for the end of work that no caller waits for, or until ctx is done.
func (s *Server) awaitBackground(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.background.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// abortUnkeyed ends the requests in progress with an error that says whether they may have run. Those with a key are left as they are: their
// callers may return with it to another instance, which goes on with them.
func (s *Server) abortUnkeyed() {
	s.abort()
	for _, g := range s.table.appendRunning(nil) {
		if g.key == "" {
			g.cancel(errStopLimit)
		}
	}
}

// awaitAborted gives aborted requests the time to write their errors.
func (s *Server) awaitAborted() {
	for end := time.Now().Add(abortWait); time.Now().Before(end); time.Sleep(stopPoll) {
		if active, _ := s.table.counts(); active == 0 {
			return
		}
	}
}

// enter counts a request in progress, or refuses it while stopping. It counts first, so that Stop can't see a zero count
// between the check and the increment.
func (s *Server) enter() *result.Error {
	if err := s.table.enter(); err != nil {
		return err
	}
	if err := s.refuseStopping(); err != nil {
		s.table.leave()
		return err
	}
	return nil
}

// refuseStopping refuses a request while stopping. It is asked when a request arrives and again once its body has: a body may take as long as
// its caller likes, and what begins late in a stop may be cut at its end.
func (s *Server) refuseStopping() *result.Error {
	if !s.stopping.Load() {
		return nil
	}
	return stoppingError()
}

func stoppingError() *result.Error {
	err := result.New(result.Stopping, "another instance takes it")
	err.RetryAfter = stopRetryAfter
	return err
}
