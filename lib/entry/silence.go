package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/target"
)

// errSilent cancels a call whose target sent nothing for the policy's max_silence.
var errSilent = errors.New("target sent nothing within max_silence")

// doBounded sends the call and cancels it if the target is silent for longer than the policy allows, before the answer or
// between two parts of it.
//
// A frozen target keeps its connections open. Without the bound, a call without a deadline waits as long as the target is
// frozen, and blocks a planned shutdown of this entry. Calls with a deadline are bounded by that alone, since the caller
// has chosen how long to wait.
func (pc *plainCall) doBounded(ctx context.Context, c *target.Client) (*http.Response, error) {
	bound := pc.policy.MaxSilence
	if bound <= 0 || !pc.deadline(pc.policy).IsZero() {
		return c.Do(ctx, &pc.call)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(bound, func() { cancel(errSilent) })
	resp, err := c.Do(ctx, &pc.call)
	timer.Stop()
	if err != nil {
		defer cancel(nil)
		return nil, wrapSilence(ctx, err)
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, timer: timer, bound: bound}
	return resp, nil
}

// wrapSilence adds errSilent to err if silence caused the failure. What err proves, such as ErrNotSent, is preserved.
func wrapSilence(ctx context.Context, err error) error {
	if context.Cause(ctx) == errSilent {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

// boundedBody applies the silence bound to each read of an answer. Time that the caller takes between reads doesn't count.
type boundedBody struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	bound  time.Duration
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.bound)
	n, err := b.ReadCloser.Read(p)
	b.timer.Stop()
	if err != nil && !errors.Is(err, io.EOF) {
		err = wrapSilence(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
