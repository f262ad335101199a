package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/target"
)

// errOtherAnswered cancels a hedged call that another target answered first.
var errOtherAnswered = errors.New("another target answered first")

// hedgedCall is one of the concurrent calls made for a hedged request.
type hedgedCall struct {
	name   string
	resp   *http.Response
	err    error
	cancel context.CancelCauseFunc
}

// sendHedged sends an idempotent call and, if the target has not answered within the stall floor, sends it to another
// target too. The first answer is used.
//
// A frozen target, or one behind a stalled link, keeps its connections open and never answers. Without a second call, a
// status check without a deadline would wait for that target although a healthy one is available. A timeout instead would
// fail calls that are merely slow; the second call leaves the first running and is charged to the retry budget.
func (s *Server) sendHedged(ctx context.Context, pc *plainCall, name string, try uint32, avoid []string) (*http.Response, string, error) {
	maxCalls := max(1, pc.policy.MaxAttempts)
	answers := make(chan *hedgedCall, maxCalls)
	calls := []*hedgedCall{s.launchCall(ctx, pc, name, try, answers)}
	avoid = append(slices.Clone(avoid), name)
	hedgeTimer := time.NewTimer(pc.policy.StallFloor)
	defer hedgeTimer.Stop()
	var failed *hedgedCall
	for pending := 1; ; {
		select {
		case done := <-answers:
			pending--
			if done.err == nil {
				cancelOthers(calls, done, answers, pending)
				done.resp.Body = &cancelOnClose{done.resp.Body, done.cancel}
				return done.resp, done.name, nil
			}
			done.cancel(nil)
			if failed = moreSevere(failed, done); pending == 0 {
				return nil, failed.name, failed.err
			}
			hedgeTimer.Reset(pc.policy.StallFloor) // wait for the remaining calls, or hedge again
		case <-hedgeTimer.C:
			if len(calls) == maxCalls {
				continue
			}
			if other, ok := s.hedgeTarget(pc, avoid); ok {
				calls = append(calls, s.launchCall(ctx, pc, other, try+uint32(len(calls)), answers))
				avoid = append(avoid, other)
				pending++
			}
		}
	}
}

// moreSevere returns the failure to report. That of a sent call takes precedence: a call that was never sent does not
// prove that another was not.
func moreSevere(a, b *hedgedCall) *hedgedCall {
	if a == nil || errors.Is(a.err, target.ErrNotSent) {
		return b
	}
	return a
}

// hedgeTarget picks a target for a further call, if the retry budget allows one.
func (s *Server) hedgeTarget(pc *plainCall, avoid []string) (string, bool) {
	name, ok := s.pickTarget(pc.service.Name, s.targetsToAvoid(avoid, pc.subject.Fingerprint))
	if !ok {
		return "", false
	}
	if ok, _ := s.opts.Budgets.Take(s.now(), pc.subject.Workspace); !ok {
		return "", false
	}
	pc.metrics.Retries.Inc()
	return name, true
}

func (s *Server) launchCall(ctx context.Context, pc *plainCall, name string, try uint32, answers chan<- *hedgedCall) *hedgedCall {
	ctx, cancel := context.WithCancelCause(ctx)
	call := &hedgedCall{name: name, cancel: cancel}
	go func() {
		call.resp, call.err = s.sendOnce(ctx, pc, name, try)
		answers <- call
	}()
	return call
}

// cancelOthers cancels all calls except the winner and closes the answers they still return.
func cancelOthers(calls []*hedgedCall, winner *hedgedCall, answers <-chan *hedgedCall, pending int) {
	for _, call := range calls {
		if call != winner {
			call.cancel(errOtherAnswered)
		}
	}
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if late := <-answers; late.err == nil {
				_ = late.resp.Body.Close()
			}
		}
	}()
}

// cancelOnClose releases the call's context when the answer's body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancelOnClose) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
