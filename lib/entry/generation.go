package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/entrymetrics"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/stream"
	"anvilwick.example/anvilwick/lib/target"
)

// Causes for cancelling a generation or one of its attempts.
var (
	errCallerGone = errors.New("caller closed its connection")
	errCallerSlow = errors.New("caller reads too slowly")
	errDeadline   = errors.New("deadline passed")
	errStalled    = errors.New("no token within the stall bound")
	errMoved      = errors.New("attempt moved by the scheduler")
	errTakenOver  = errors.New("generation taken over by another entry")
	errStopLimit  = errors.New("the stop has reached its limit")
	errDiverged   = errors.New("tokens decoded again differ from those the caller received")
)

// generation is one caller's completion request, from acceptance to its end, across all attempts.
type generation struct {
	// Set at acceptance and not changed later.
	id         ids.Generation
	idText     string
	request    string // request id, on every log line
	subject    Subject
	key        string // Idempotency-Key; empty if none
	policy     *settings.Policy
	view       *view
	service    *settings.Service
	completion *callerapi.Completion
	body       []byte
	template   callerapi.Template
	shape      callerapi.ResponseBuilder
	prefixes   []uint64
	accepted   time.Time
	deadline   time.Time // zero if none
	metrics    *entrymetrics.Pair
	claim      Claim
	release    func()
	ctx        context.Context
	cancel     context.CancelCauseFunc
	done       chan struct{} // closed when the generation has ended

	mu             sync.Mutex
	state          *stream.State
	text           stream.Text
	software       string    // version that made the first token
	sink           *sink     // nil while no caller is attached
	detachedAt     time.Time // when a keyed generation lost its caller; zero while one is attached
	attempt        attempt
	mayHaveRun     bool          // some engine may have executed a part of it
	lastToken      time.Time     // time of the last token, or of the first send
	stalled        time.Duration // sum of all stalls
	reportedTokens uint32        // token count last reported to the placer
	reportedAt     time.Time
	owned          bool // this entry runs or finishes it, and no longer only requests its claim; only then is it recorded
	recordedTokens int  // token count last passed to Records
	recordedAt     time.Time
	ended          bool
	endedAt        time.Time
	err            *result.Error // nil if it completed
	finishReason   string        // finish reason from the finish frame
	finishFrame    []byte        // raw finish frame
}

// attempt is the current attempt of a generation.
type attempt struct {
	number       uint32
	target       string
	software     string // version of the target when the attempt was sent
	decisions    chan sched.Action
	lapsed       chan struct{}           // closed when it must not be sent any more, because a stop would cut it
	cancel       context.CancelCauseFunc // nil while no target runs it
	lastActivity time.Time               // when it was sent, or its last token arrived
	tokens       int
	overdue      bool // reported as overdue by the stall monitor
}

// log adds the event name and the request and generation IDs to a log entry.
func (g *generation) log(e *log.Entry, event string) *log.Entry {
	return e.Str("event", event).Str("request", g.request).Str("generation", g.idText)
}

// handleDecision receives a placer decision. It runs under the placer's lock and must not call back into the placer.
func (g *generation) handleDecision(a sched.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Attempt != g.attempt.number {
		return
	}
	if a.Kind == sched.ActPreempt {
		if g.attempt.cancel != nil {
			g.attempt.cancel(errMoved)
		}
		return
	}
	select {
	case g.attempt.decisions <- a:
	default:
	}
}

// setFirstAttempt sets the number of the first attempt. It must be called before any attempt begins.
func (g *generation) setFirstAttempt(first uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = stream.Restore(g.id, first-1, 0)
}

// markOwned notes that this entry runs the generation and may record it. A record written before the claim is held would
// overwrite that of the claim's previous or current holder.
func (g *generation) markOwned() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owned = true
}

// isOwned reports whether markOwned was called.
func (g *generation) isOwned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owned
}

// beginAttempt allocates the next attempt number. The previous attempt must be fenced.
func (g *generation) beginAttempt() (uint32, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, err := g.state.Begin()
	if err != nil {
		return 0, err
	}
	g.attempt = attempt{number: n, decisions: make(chan sched.Action, 1), lapsed: make(chan struct{})}
	return n, nil
}

// lapse ends the current attempt's wait for a place.
func (g *generation) lapse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.attempt.lapsed == nil {
		return
	}
	select {
	case <-g.attempt.lapsed:
	default:
		close(g.attempt.lapsed)
	}
}

// startAttempt notes that the attempt is about to be sent to a target.
func (g *generation) startAttempt(target, software string, now time.Time, cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempt.target, g.attempt.software = target, software
	g.attempt.cancel = cancel
	g.attempt.lastActivity = now
	if g.lastToken.IsZero() {
		g.lastToken = now
	}
}

// arriveAt notes the version of its software that the engine of the current attempt names; empty: it names none. It reports whether the engine may go on
// with the generation: the version in the settings may be that of the engine's process before or after.
func (g *generation) arriveAt(software string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case software == "" || g.attempt.software == "":
		return true
	case g.state.Next() > 0:
		return g.software == "" || software == g.software
	}
	g.attempt.software = software
	return true
}

// startedBy returns the version of the software that made the first token.
func (g *generation) startedBy() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.software
}

// fenceAttempt fences the current attempt: no later frame of it is delivered.
func (g *generation) fenceAttempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Fence()
	g.attempt.cancel = nil
}

// markMayHaveRun notes that an engine may have executed a part.
func (g *generation) markMayHaveRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mayHaveRun = true
}

// possiblyRan reports whether an engine may have executed a part.
func (g *generation) possiblyRan() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mayHaveRun
}

// acceptToken checks a token frame and, if it is the next one, appends it to the caller's sink.
func (g *generation) acceptToken(now time.Time, f *target.Frame) (stream.Verdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.state.Token(f.Generation, f.Attempt, f.Index)
	if v != stream.Deliver {
		return v, 0
	}
	if f.Index == 0 {
		g.software = g.attempt.software
	}
	g.text.Append(f.Text)
	g.appendToSink(now, f.Index, f.Raw)
	gap := now.Sub(g.lastToken)
	if floor := g.policy.StallFloor; f.Index > 0 && gap > floor {
		g.stalled += gap - floor
	}
	g.lastToken = now
	g.attempt.lastActivity = now
	g.attempt.tokens++
	g.attempt.overdue = false
	return v, gap
}

// isCurrent reports whether a frame belongs to the current attempt. An error frame may omit its generation and attempt;
// it then belongs to the attempt of the connection it arrived on.
func (g *generation) isCurrent(f *target.Frame) bool {
	if f.Err != nil && f.Generation.IsZero() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Current(f.Generation, f.Attempt)
}

// acceptFinish checks the finish frame. It is called only after [DONE] has confirmed the frame.
func (g *generation) acceptFinish(f *endFrame) stream.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.state.Finish(f.generation, f.attempt, f.count)
	if v == stream.End {
		g.finishReason, g.finishFrame = f.reason, f.raw
	}
	return v
}

// end closes the generation with err, or as completed when err is nil, and passes the end to the attached caller.
func (g *generation) end(now time.Time, err *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Fence()
	g.ended, g.endedAt, g.err = true, now, err
	if g.sink != nil {
		g.sink.finish(now, g.closingEvents())
	}
	close(g.done)
}

// resumableLocked reports whether the generation was stopped for lack of a caller and can be resumed. The caller must
// hold mu, unless the generation has ended.
func (g *generation) resumableLocked() bool {
	return g.ended && g.key != "" && g.err != nil && g.err.Code != result.TakenOver &&
		result.Lookup(g.err.Code).RetryAdvice == result.RetryWithKey
}

// closingEvents returns the last bytes of the stream.
func (g *generation) closingEvents() []byte {
	if g.err != nil {
		return callerapi.AppendErrorEvent(nil, g.err, g.request)
	}
	raw := g.finishFrame
	if raw == nil {
		raw = g.shape.Finish(g.state.Next(), g.finishReason)
	}
	return append(callerapi.AppendEvent(nil, g.idText, g.state.Next(), g.text.Digest(), raw), callerapi.DoneEvent...)
}

// appendToSink appends the last token to the caller's sink, unless the caller already has it.
func (g *generation) appendToSink(now time.Time, index uint32, raw []byte) {
	if g.sink == nil || g.sink.unstreamed {
		return
	}
	needed, err := g.sink.needs(index, g.text.Digest())
	if err == nil && needed {
		err = g.sink.appendToken(now, g.idText, index, g.text.Digest(), raw)
	}
	if err != nil {
		g.cancel(err)
	}
}

// attach makes s the caller's connection. With takeover it replaces any other connection; without, an existing connection
// keeps the stream. s may start after tokens not decoded here yet: the entry that sent them died, and they are decoded
// again.
func (g *generation) attach(now time.Time, s *sink, takeover bool) *result.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sink != nil && !g.ended && !takeover {
		err := result.New(result.AlreadyRunning, "its answer goes to another connection")
		err.RetryAfter = time.Second
		return err
	}
	if g.ended && s.firstNeeded > g.state.Next() {
		return result.New(result.UnknownStream, "%s: the stream has %d tokens", callerapi.HeaderLastEvent, g.state.Next())
	}
	if err := g.replay(s); err != nil {
		return err
	}
	if g.sink != nil {
		g.sink.close()
	}
	g.sink = s
	g.detachedAt = time.Time{}
	if g.ended {
		s.finish(now, g.closingEvents())
	}
	s.signal()
	return nil
}

// replay appends to s the tokens that were delivered before it attached.
func (g *generation) replay(s *sink) *result.Error {
	if s.unstreamed {
		return nil
	}
	var sum stream.Digest
	for i := range g.state.Next() {
		token := g.text.Token(int(i))
		sum = sum.Add(token)
		needed, err := s.needs(i, sum)
		if err != nil {
			return result.Wrap(result.UnknownStream, err, "go on after "+callerapi.HeaderLastEvent)
		}
		if needed {
			s.buf = callerapi.AppendEvent(s.buf, g.idText, i, sum, g.shape.Token(i, token))
			s.next = i + 1
			s.hasEvents = true
		}
	}
	return nil
}

// detach removes s when its connection is closed. It reports whether the generation now has no caller.
func (g *generation) detach(s *sink, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sink != s {
		return false
	}
	g.sink = nil
	g.detachedAt = now
	return true
}

// delivered returns the number of delivered tokens.
func (g *generation) delivered() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Next()
}
