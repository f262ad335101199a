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

// errOvertaken cancels a call whose answer another target gave first.
var errOvertaken = errors.New("another target answered first")

// sending is one call under way at one target.
type sending struct {
	name   string
	resp   *http.Response
	err    error
	cancel context.CancelCauseFunc
}

// sendHedged sends an idempotent call, and again to another target when the first is silent for the stall floor. The first
// answer counts.
//
// A target that is frozen, or whose link stalls, keeps its connections and answers nothing. A status check without a
// deadline would wait as long as it does, beside a healthy target. A bound on the wait would fail calls that are only
// slow; the second call leaves the first running, and is paid for out of the retry budget.
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
			quiet.Reset(pc.policy.StallFloor) // the others may still answer; or a further one
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

// graver returns the failure that says more: one call that was never sent does not prove that another was not.
func graver(a, b *sending) *sending {
	if a == nil || errors.Is(a.err, target.ErrNotSent) {
		return b
	}
	return a
}

// second picks a target for the second call, if the retry budget allows one.
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

// overtake ends the calls other than the one whose answer counts, and drops what they bring.
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

// sentBody releases the call's context when its answer has been read.
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
