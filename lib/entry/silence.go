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

// errSilent cancels a call at a target that sent nothing for the policy's bound.
var errSilent = errors.New("the target sent nothing within max_silence")

// doBounded sends the call, and gives it up when the target is silent for longer than the policy allows: before its
// answer, or between two parts of it.
//
// A frozen target keeps its connections. Without the bound a call that has no deadline waits as long as it is frozen, and
// a planned stop of this entry with it. A call with a deadline is left to that: its caller has said how long it waits.
func (pc *plainCall) doBounded(ctx context.Context, c *target.Client) (*http.Response, error) {
	bound := pc.policy.MaxSilence
	if bound <= 0 || !pc.deadline(pc.policy).IsZero() {
		return c.Do(ctx, &pc.call)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	quiet := time.AfterFunc(bound, func() { cancel(errSilent) })
	resp, err := c.Do(ctx, &pc.call)
	quiet.Stop()
	if err != nil {
		defer cancel(nil)
		return nil, silentOr(ctx, err)
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, ctx: ctx, cancel: cancel, quiet: quiet, bound: bound}
	return resp, nil
}

// silentOr names the silence when that is why the call broke. What err proves, such as that nothing was sent, stands.
func silentOr(ctx context.Context, err error) error {
	if context.Cause(ctx) == errSilent {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

// boundedBody holds each read of an answer to the bound. The time in which its caller is slow doesn't count.
type boundedBody struct {
	io.ReadCloser
	ctx    context.Context
	cancel context.CancelCauseFunc
	quiet  *time.Timer
	bound  time.Duration
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	b.quiet.Reset(b.bound)
	n, err := b.ReadCloser.Read(p)
	b.quiet.Stop()
	if err != nil && !errors.Is(err, io.EOF) {
		err = silentOr(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
