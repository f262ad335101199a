package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/breaker"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/stream"
	"anvilwick.example/anvilwick/lib/target"
)

// Causes of attempts that fail within an engine's stream.
var (
	errEngine       = errors.New("the engine ended the stream with an error")
	errPreempted    = errors.New("the engine preempted the sequence")
	errMissingToken = errors.New("a token is missing from the stream")
)

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	reason          sched.EndReason
	cause           error
	final           *result.Error // ends the generation; nil: completed, or another attempt may follow
	nothingToCancel bool          // the engine ended or refused the attempt itself, so there is nothing to cancel
}

// endFrame holds the finish frame until [DONE] follows it.
type endFrame struct {
	generation ids.Generation
	attempt    uint32
	count      uint32
	reason     string
	raw        []byte
}

// attemptRun is one attempt running on its target.
type attemptRun struct {
	server   *Server
	g        *generation
	client   *target.Client
	number   uint32
	priority int
	ticket   breaker.Ticket
	tokens   int
	sentAt   time.Time
	firstAt  time.Time // of the first token
	answered func()    // the engine has answered: its silence is no measure any more
	watch    uint64
}

// execute sends the attempt and forwards its tokens until it ends.
func (r *attemptRun) execute() attemptEnd {
	g := r.g
	ctx, cancel := context.WithCancelCause(g.ctx)
	defer cancel(nil)
	body, err := g.attemptBody(r.number, r.priority)
	if err != nil {
		return attemptEnd{reason: sched.EndTargetRefused, final: result.Wrap(result.BadRequest, err, "encode the request")}
	}
	now := r.server.now()
	g.startAttempt(r.client.Name(), r.server.view.Load().softwareOf(g.service.Name, r.client.Name()), now, cancel)
	r.watch = r.server.watches.start(now, g, r.client.Name())
	defer r.server.watches.end(r.watch)
	r.sentAt, r.answered = now, r.server.times.Sent(g.kind())
	defer func() { r.answered() }()
	st, err := r.client.Open(ctx, g.completion.Path(), body)
	if err != nil {
		return openEnd(ctx, g, err)
	}
	defer st.Close()
	g.markMayHaveRun()
	if !g.arriveAt(st.Software) {
		return attemptEnd{reason: sched.EndTargetRefused, cause: errOtherSoftware}
	}
	end := r.forward(ctx, st)
	if end.reason == sched.EndCompleted {
		r.observeTimes()
	}
	return end
}

// observeTimes records how long a complete attempt took. The time of one that went on after tokens of another says nothing about a whole generation.
func (r *attemptRun) observeTimes() {
	now, times := r.server.now(), &r.server.times
	if int(r.g.delivered()) == r.tokens {
		times.ObserveAnswer(r.g.kind(), now.Sub(r.sentAt))
	}
	times.ObserveTokens(r.g.kind(), r.tokens-1, now.Sub(r.firstAt))
}

func (g *generation) attemptBody(number uint32, priority int) ([]byte, error) {
	ext := &engineapi.Ext{Generation: g.idText, Attempt: number, Priority: priority}
	g.mu.Lock()
	ext.StartIndex = g.state.Next()
	ext.Resume = g.text.Tokens(0)
	g.mu.Unlock()
	if !g.deadline.IsZero() {
		ext.DeadlineMS = max(1, time.Until(g.deadline).Milliseconds())
	}
	return g.template.WithExt(ext)
}

// openEnd classifies a failure before the first frame. The attempt counts as not run only if the error proves it.
func openEnd(ctx context.Context, g *generation, err error) attemptEnd {
	var refusal *target.RefusedError
	switch {
	case errors.Is(err, target.ErrNotSent):
		return attemptEnd{reason: sched.EndTargetDied, cause: err, nothingToCancel: true}
	case errors.As(err, &refusal):
		return refusalEnd(g, refusal)
	}
	g.markMayHaveRun()
	return breakEnd(ctx, err)
}

func refusalEnd(g *generation, r *target.RefusedError) attemptEnd {
	end := attemptEnd{reason: sched.EndTargetRefused, cause: r, nothingToCancel: true}
	if !r.Err.NotRun {
		g.markMayHaveRun()
	}
	switch {
	case r.Err.Type == engineapi.ErrBad || r.Status == http.StatusBadRequest:
		end.final = result.Wrap(result.BadRequest, r, r.Err.Message)
	case r.Err.Type == engineapi.ErrNoResume:
		end.final = result.Wrap(result.CannotResume, r, "resume at the next token")
	}
	return end
}

// breakEnd maps a broken connection to its reason: cancelled by this entry, or broken by the target.
func breakEnd(ctx context.Context, err error) attemptEnd {
	switch cause := context.Cause(ctx); cause {
	case errStalled:
		return attemptEnd{reason: sched.EndStalled, cause: cause}
	case errMoved:
		return attemptEnd{reason: sched.EndMoved, cause: cause}
	case nil:
		return attemptEnd{reason: sched.EndTargetDied, cause: err}
	default:
		return attemptEnd{reason: sched.EndCancelled, cause: cause, final: causeError(cause)}
	}
}

// causeError returns the error reported to the caller when the whole generation was cancelled.
func causeError(cause error) *result.Error {
	switch {
	case errors.Is(cause, errDeadline):
		return result.Wrap(result.DeadlinePassed, cause, "finish in time")
	case errors.Is(cause, errStopLimit):
		return stoppingError()
	case errors.Is(cause, errCallerSlow):
		return result.Wrap(result.CallerTooSlow, cause, "deliver tokens")
	case errors.Is(cause, invariant.ErrBroken):
		return result.Wrap(result.InvariantBroken, cause, "deliver tokens")
	case errors.Is(cause, errTakenOver):
		return result.Wrap(result.TakenOver, cause, "ask again with the key")
	case errors.Is(cause, errDiverged):
		return result.Wrap(result.CannotResume, cause, "go on with the caller's stream")
	}
	return result.Wrap(result.CallerGone, cause, "deliver tokens")
}

// forward delivers frames to the caller until the attempt ends.
func (r *attemptRun) forward(ctx context.Context, st *target.Stream) attemptEnd {
	s, g := r.server, r.g
	var end *endFrame
	for {
		f, err := st.Next()
		switch {
		case errors.Is(err, io.EOF):
			return s.closeStream(g, end)
		case errors.Is(err, target.ErrBadFrame):
			return attemptEnd{reason: sched.EndTargetDied, cause: err}
		case err != nil:
			return breakEnd(ctx, err)
		case (f.Err != nil || f.Finish != "") && !g.isCurrent(f):
			s.metrics.CountDroppedFrame(stream.Foreign.String())
			continue
		case f.Err != nil:
			return errorFrameEnd(f.Err)
		case f.Finish != "":
			end = copyEndFrame(f)
			continue
		}
		if v := r.handleToken(f); v.Failed() {
			return attemptEnd{reason: sched.EndTargetDied, cause: errMissingToken}
		}
	}
}

// handleToken delivers one token frame. It is the hot path, called once per token.
func (r *attemptRun) handleToken(f *target.Frame) stream.Verdict {
	g := r.g
	now := r.server.now()
	v, gap := g.acceptToken(now, f)
	if v != stream.Deliver {
		r.server.metrics.CountDroppedFrame(v.String())
		return v
	}
	r.server.watches.monitor.Token(now, r.watch)
	r.tokens++
	if r.tokens == 1 {
		r.ticket.Done(now, breaker.Success)
		r.firstAt = now
		r.answered()
		r.server.times.ObserveFirst(g.kind(), now.Sub(r.sentAt))
	}
	g.metrics.Tokens.Inc()
	if f.Index == 0 {
		g.metrics.FirstToken.Update(now.Sub(g.accepted).Seconds())
		return v
	}
	g.metrics.InterToken.Update(gap.Seconds())
	return v
}

func copyEndFrame(f *target.Frame) *endFrame {
	return &endFrame{
		generation: f.Generation,
		attempt:    f.Attempt,
		count:      f.Index,
		reason:     f.Finish,
		raw:        append([]byte(nil), f.Raw...),
	}
}

// closeStream classifies a stream that was closed by [DONE]. Unless a finish frame confirms the token count, the stream
// was truncated, and the caller must not take the partial answer for the complete one.
func (s *Server) closeStream(g *generation, end *endFrame) attemptEnd {
	if end == nil {
		return attemptEnd{reason: sched.EndTargetDied, cause: target.ErrTruncated}
	}
	v := g.acceptFinish(end)
	if v != stream.End {
		s.metrics.CountDroppedFrame(v.String())
		return attemptEnd{reason: sched.EndTargetDied, cause: target.ErrTruncated}
	}
	return attemptEnd{reason: sched.EndCompleted, nothingToCancel: true}
}

func errorFrameEnd(e *engineapi.Error) attemptEnd {
	if e.Type == engineapi.ErrPreempted {
		return attemptEnd{reason: sched.EndPreempted, cause: errPreempted}
	}
	return attemptEnd{reason: sched.EndTargetDied, cause: errors.Join(errEngine, errors.New(e.Type+": "+e.Message))}
}
