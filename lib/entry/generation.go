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

// Causes that end a generation or one of its attempts.
var (
	errCallerGone = errors.New("the caller closed its connection")
	errCallerSlow = errors.New("the caller reads too slowly")
	errDeadline   = errors.New("the deadline passed")
	errStalled    = errors.New("no token within the stall bound")
	errMoved      = errors.New("moved by the scheduler")
	errTakenOver  = errors.New("another entry goes on with it")
	errDiverged   = errors.New("the caller has other tokens than were decoded again")
)

// generation is one caller's request for a text, over its whole life.
type generation struct {
	// Fixed when it is accepted.
	id       ids.Generation
	idText   string
	request  string // request id, on every log line
	subject  Subject
	key      string // Idempotency-Key; empty: none
	policy   *settings.Policy
	view     *view
	service  *settings.Service
	asked    *callerapi.Completion
	body     []byte
	template callerapi.Template
	shape    callerapi.Shape
	prefixes []uint64
	accepted time.Time
	deadline time.Time // zero: none
	metrics  *entrymetrics.Pair
	claim    Claim
	release  func()
	ctx      context.Context
	cancel   context.CancelCauseFunc
	done     chan struct{} // closed when ended

	mu         sync.Mutex
	state      *stream.State
	text       stream.Text
	sink       *sink     // nil: no caller attached, or an unstreamed answer
	detached   time.Time // since when a keyed generation has had no caller; zero: it has one
	attempt    attempt
	mayHaveRun bool          // some engine may have executed a part of it
	lastToken  time.Time     // when the last token came, or the first grant
	stalled    time.Duration // all stalls added up
	reported   uint32        // tokens told to the placer
	reportedAt time.Time
	begun      bool // run or finished by this entry, no longer only asked for; from then on it is recorded
	recorded   int  // tokens given to Records
	recordedAt time.Time
	ended      bool
	endedAt    time.Time
	err        *result.Error // nil when ended well
	finish     string        // finish reason of the end mark
	finishRaw  []byte        // frame of the end mark
}

// attempt is the current attempt of a generation.
type attempt struct {
	number    uint32
	target    string
	decisions chan sched.Action
	cancel    context.CancelCauseFunc // nil while no target runs it
	since     time.Time               // sent, or its last token
	tokens    int
	silent    bool // the stall monitor calls it overdue
}

// log returns a log entry that carries the request's id.
func (g *generation) log(e *log.Entry, event string) *log.Entry {
	return e.Str("event", event).Str("request", g.request).Str("generation", g.idText)
}

// decide takes a decision of the placer. It is called under the placer's lock and calls nothing back.
func (g *generation) decide(a sched.Action) {
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

// beginAt sets the number of the first attempt, before there is any.
func (g *generation) beginAt(first uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = stream.Restore(g.id, first-1, 0)
}

// own notes that the generation is this entry's to run and to record. Before its claim is held, a record would stand in
// place of that of the entry which held it before, or holds it.
func (g *generation) own() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = true
}

// owned reports whether own was called.
func (g *generation) owned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun
}

// begin numbers the next attempt. The caller has fenced the one before.
func (g *generation) begin() (uint32, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, err := g.state.Begin()
	if err != nil {
		return 0, err
	}
	g.attempt = attempt{number: n, decisions: make(chan sched.Action, 1)}
	return n, nil
}

// start notes that the attempt is about to be sent to a target.
func (g *generation) start(target string, now time.Time, cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempt.target = target
	g.attempt.cancel = cancel
	g.attempt.since = now
	if g.lastToken.IsZero() {
		g.lastToken = now
	}
}

// stop fences the attempt: from here on no frame of it can be delivered.
func (g *generation) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Fence()
	g.attempt.cancel = nil
}

// noteRan notes that an engine may have executed a part.
func (g *generation) noteRan() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mayHaveRun = true
}

// ran reports whether an engine may have executed a part.
func (g *generation) ran() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mayHaveRun
}

// token judges a token frame and, when it is the next one, hands it to the caller.
func (g *generation) token(now time.Time, f *target.Frame) (stream.Verdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.state.Token(f.Generation, f.Attempt, f.Index)
	if v != stream.Deliver {
		return v, 0
	}
	g.text.Append(f.Text)
	g.offer(now, f.Index, f.Raw)
	gap := now.Sub(g.lastToken)
	if floor := g.policy.StallFloor; f.Index > 0 && gap > floor {
		g.stalled += gap - floor
	}
	g.lastToken = now
	g.attempt.since = now
	g.attempt.tokens++
	g.attempt.silent = false
	return v, gap
}

// current reports whether a frame belongs to the current attempt. An error frame may leave out whose it is; the
// connection then vouches for it.
func (g *generation) current(f *target.Frame) bool {
	if f.Err != nil && f.Generation.IsZero() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Current(f.Generation, f.Attempt)
}

// endMark judges the end mark, which counts when [DONE] has followed it.
func (g *generation) endMark(f *endFrame) stream.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.state.Finish(f.generation, f.attempt, f.count)
	if v == stream.End {
		g.finish, g.finishRaw = f.reason, f.raw
	}
	return v
}

// end closes the generation with err, or well when err is nil, and tells the attached caller.
func (g *generation) end(now time.Time, err *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Fence()
	g.ended, g.endedAt, g.err = true, now, err
	if g.sink != nil {
		g.sink.finish(now, g.ending())
	}
	close(g.done)
}

// released reports whether the generation was stopped for want of a caller and can be gone on with. The caller holds mu,
// or the generation has ended.
func (g *generation) released() bool {
	return g.ended && g.key != "" && g.err != nil && g.err.Code != result.TakenOver &&
		result.Lookup(g.err.Code).Again == result.AgainWithKey
}

// ending is the last bytes of the stream.
func (g *generation) ending() []byte {
	if g.err != nil {
		return callerapi.AppendErrorEvent(nil, g.err, g.request)
	}
	raw := g.finishRaw
	if raw == nil {
		raw = g.shape.Finish(g.state.Next(), g.finish)
	}
	return append(callerapi.AppendEvent(nil, g.idText, g.state.Next(), g.text.Digest(), raw), callerapi.Done...)
}

// offer appends the last token to the caller's sink, unless the caller has it.
func (g *generation) offer(now time.Time, index uint32, raw []byte) {
	if g.sink == nil || g.sink.quiet {
		return
	}
	needed, err := g.sink.lacks(index, g.text.Digest())
	if err == nil && needed {
		err = g.sink.token(now, g.idText, index, g.text.Digest(), raw)
	}
	if err != nil {
		g.cancel(err)
	}
}

// attach makes s the caller's connection. With takeover any other connection loses the stream; without, it keeps it. s
// may ask for tokens that are not there yet: then the entry that gave them died, and they are decoded again.
func (g *generation) attach(now time.Time, s *sink, takeover bool) *result.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sink != nil && !g.ended && !takeover {
		err := result.New(result.AlreadyRunning, "its answer goes to another connection")
		err.RetryAfter = time.Second
		return err
	}
	if g.ended && s.from > g.state.Next() {
		return result.New(result.UnknownStream, "%s: the stream has %d tokens", callerapi.HeaderLastEvent, g.state.Next())
	}
	if err := g.replay(s); err != nil {
		return err
	}
	if g.sink != nil {
		g.sink.close()
	}
	g.sink = s
	g.detached = time.Time{}
	if g.ended {
		s.finish(now, g.ending())
	}
	s.signal()
	return nil
}

// replay gives s what was delivered before it came.
func (g *generation) replay(s *sink) *result.Error {
	if s.quiet {
		return nil
	}
	var sum stream.Digest
	for i := range g.state.Next() {
		token := g.text.Token(int(i))
		sum = sum.Add(token)
		needed, err := s.lacks(i, sum)
		if err != nil {
			return result.Wrap(result.UnknownStream, err, "go on after "+callerapi.HeaderLastEvent)
		}
		if needed {
			s.buf = callerapi.AppendEvent(s.buf, g.idText, i, sum, g.shape.Token(i, token))
			s.next = i + 1
			s.events = true
		}
	}
	return nil
}

// detach notes that the connection of s is gone. It reports whether the generation now has no caller.
func (g *generation) detach(s *sink, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sink != s {
		return false
	}
	g.sink = nil
	g.detached = now
	return true
}

// delivered returns the count of tokens delivered.
func (g *generation) delivered() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Next()
}
