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

// errOvertaken cancels a hedged call that another target answered first.
var errOvertaken = errors.New("another target answered first")

// hedgedCall is one of the concurrent calls made for a hedged request.
type sending struct {
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
	most := max(1, pc.policy.MaxAttempts)
	answers := make(chan *sending, most)
	under := []*sending{s.launch(ctx, pc, name, try, answers)}
	avoid = append(slices.Clone(avoid), name)
	quiet := time.NewTimer(pc.policy.StallFloor)
	defer quiet.Stop()
	var failed *sending
	for left := 1; ; {
		select {
		case got := <-answers:
			left--
			if got.err == nil {
				overtake(under, got, answers, left)
				got.resp.Body = &sentBody{got.resp.Body, got.cancel}
				return got.resp, got.name, nil
			}
			got.cancel(nil)
			if failed = graver(failed, got); left == 0 {
				return nil, failed.name, failed.err
			}
			quiet.Reset(pc.policy.StallFloor) // wait for the remaining calls, or hedge again
		case <-quiet.C:
			if len(under) == most {
				continue
			}
			if other, ok := s.second(pc, avoid); ok {
				under = append(under, s.launch(ctx, pc, other, try+uint32(len(under)), answers))
				avoid = append(avoid, other)
				left++
			}
		}
	}
}

// moreSevere returns the failure to report. That of a sent call takes precedence: a call that was never sent does not
// prove that another was not.
func graver(a, b *sending) *sending {
	if a == nil || errors.Is(a.err, target.ErrNotSent) {
		return b
	}
	return a
}

// hedgeTarget picks a target for a further call, if the retry budget allows one.
func (s *Server) second(pc *plainCall, avoid []string) (string, bool) {
	name, ok := s.pickTarget(pc.service.Name, s.avoidFor(avoid, pc.subject.Fingerprint))
	if !ok {
		return "", false
	}
	if ok, _ := s.opts.Budgets.Take(s.now(), pc.subject.Workspace); !ok {
		return "", false
	}
	pc.metrics.Retries.Inc()
	return name, true
}

func (s *Server) launch(ctx context.Context, pc *plainCall, name string, try uint32, answers chan<- *sending) *sending {
	ctx, cancel := context.WithCancelCause(ctx)
	snd := &sending{name: name, cancel: cancel}
	go func() {
		snd.resp, snd.err = s.sendOnce(ctx, pc, name, try)
		answers <- snd
	}()
	return snd
}

// cancelOthers cancels all calls except the winner and closes the answers they still return.
func overtake(under []*sending, got *sending, answers <-chan *sending, left int) {
	for _, snd := range under {
		if snd != got {
			snd.cancel(errOvertaken)
		}
	}
	if left == 0 {
		return
	}
	go func() {
		for range left {
			if late := <-answers; late.err == nil {
				_ = late.resp.Body.Close()
			}
		}
	}()
}

// cancelOnClose releases the call's context when the answer's body is closed.
type sentBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *sentBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
