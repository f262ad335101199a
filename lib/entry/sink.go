package entry

import (
	"fmt"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/stream"
)

// maxSinkBytes bounds what is kept for a caller that reads slowly, whatever the size of its tokens.
const maxSinkBytes = 8 << 20

// sink holds the events on their way to one caller's connection. The engine's side appends, the caller's side takes all
// at once; neither waits for the other. Its fields are guarded by the generation's lock.
type sink struct {
	quiet    bool // an unstreamed answer: the caller waits for the end only
	buf      []byte
	events   bool // buf has held a token
	tokens   int  // in buf
	inFlight int  // taken, and not yet known to be written
	limit    int  // tokens borne before the caller counts as slow
	over     time.Time
	last     bool // buf holds the end of the stream
	closed   bool // another connection has taken the stream over

	next    uint32        // index of the next token that goes into buf
	from    uint32        // index of the first token it lacks
	proof   stream.Digest // of the tokens before from, as the caller has them; checked once they are all here
	checked bool

	wake chan struct{}
	conn *http.ResponseController
	wait time.Duration // bound on the last writes
}

func newSink(w http.ResponseWriter, p *settings.Policy, quiet bool) *sink {
	return &sink{
		quiet:   quiet,
		limit:   max(1, p.SlowReaderBuffer),
		checked: true,
		wake:    make(chan struct{}, 1),
		conn:    http.NewResponseController(w),
		wait:    p.SlowReaderWait,
	}
}

// resume makes the sink one of a caller that has every token up to that of id.
func (s *sink) resume(id callerapi.EventID) {
	s.from = id.Index + 1
	s.next = s.from
	s.proof = id.Digest
	s.checked = false
}

func (s *sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// lacks reports whether the caller still needs token index, given the digest of the tokens up to it. An error means that
// the caller has other tokens than this generation.
func (s *sink) lacks(index uint32, sum stream.Digest) (bool, error) {
	if index+1 == s.from && !s.checked {
		s.checked = true
		if sum != s.proof {
			return false, errDiverged
		}
	}
	return index >= s.from, nil
}

// token appends one token's event. The order of what a caller sees is checked here once more, after everything that
// decides about it: an error means a defect of this program, and the stream must end.
func (s *sink) token(now time.Time, gen string, index uint32, sum stream.Digest, data []byte) error {
	if index != s.next {
		return invariant.Broken("token_order", fmt.Sprintf("token %d of %s where %d was due", index, gen, s.next))
	}
	s.next++
	s.buf = callerapi.AppendEvent(s.buf, gen, index, sum, data)
	s.events = true
	s.tokens++
	if s.tokens+s.inFlight > s.limit && s.over.IsZero() {
		s.over = now
	}
	s.signal()
	return nil
}

// finish appends the end of the stream. From here on the engine's memory is free, but the connection is not: what is left
// must be read within the wait that a slow caller is given.
func (s *sink) finish(now time.Time, data []byte) {
	s.buf = append(s.buf, data...)
	s.last = true
	_ = s.conn.SetWriteDeadline(now.Add(max(s.wait, minFinalWait)))
	s.signal()
}

// minFinalWait is given to every caller for the end of its stream.
const minFinalWait = time.Second

// cut ends a write in progress and makes later ones fail.
func (s *sink) cut() { _ = s.conn.SetWriteDeadline(time.Unix(1, 0)) }

// close tells the caller's side to stop, because the stream went to another connection.
func (s *sink) close() {
	s.closed = true
	s.cut()
	s.signal()
}

// take hands over all that is buffered and keeps spare for what comes next. It means that whatever was taken before is
// written.
func (s *sink) take(spare []byte) []byte {
	out := s.buf
	s.buf = spare[:0]
	s.inFlight, s.tokens = s.tokens, 0
	if s.inFlight <= s.limit {
		s.over = time.Time{}
	}
	return out
}

// slow reports whether the caller has read too slowly for longer than wait.
func (s *sink) slow(now time.Time, wait time.Duration) bool {
	if len(s.buf) > maxSinkBytes {
		return true
	}
	return !s.over.IsZero() && now.Sub(s.over) > wait
}
