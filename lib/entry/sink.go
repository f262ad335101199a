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

// maxSinkBytes bounds the bytes buffered for a slow caller, whatever the size of the tokens.
const maxSinkBytes = 8 << 20

// smallSinkBytes is the size up to which a slow caller's buffer does not count where memory is short.
const smallSinkBytes = 64 << 10

// sink buffers the events for one caller's connection. The engine's side appends and the caller's side takes everything at
// once; neither waits for the other. Its fields are guarded by the generation's mutex.
type sink struct {
	unstreamed bool // non-streamed answer: only the end is signalled
	buf        []byte
	hasEvents  bool // buf has held a token
	tokens     int  // tokens in buf
	inFlight   int  // tokens taken and not yet known to be written
	maxPending int  // pending tokens above which the caller counts as slow
	slowSince  time.Time
	ended      bool // buf holds the end of the stream
	closed     bool // another connection has taken over the stream

	next          uint32        // index of the next token to append to buf
	firstNeeded   uint32        // index of the first token the caller lacks
	resumeDigest  stream.Digest // digest of the caller's tokens before firstNeeded; compared once they are all known here
	digestChecked bool          // resumeDigest has been compared, or there is none

	wake         chan struct{}
	conn         *http.ResponseController
	writeTimeout time.Duration // time limit for the final writes
}

func newSink(w http.ResponseWriter, p *settings.Policy, unstreamed bool) *sink {
	return &sink{
		unstreamed:    unstreamed,
		maxPending:    max(1, p.SlowReaderBuffer),
		digestChecked: true,
		wake:          make(chan struct{}, 1),
		conn:          http.NewResponseController(w),
		writeTimeout:  p.SlowReaderWait,
	}
}

// resume sets the sink up for a caller that has every token up to that of id.
func (s *sink) resume(id callerapi.EventID) {
	s.firstNeeded = id.Index + 1
	s.next = s.firstNeeded
	s.resumeDigest = id.Digest
	s.digestChecked = false
}

func (s *sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// needs reports whether the caller still needs token index, given the digest of all tokens up to it. It returns an error
// if the caller's tokens differ from those of this generation.
func (s *sink) needs(index uint32, sum stream.Digest) (bool, error) {
	if index+1 == s.firstNeeded && !s.digestChecked {
		s.digestChecked = true
		if sum != s.resumeDigest {
			return false, errDiverged
		}
	}
	return index >= s.firstNeeded, nil
}

// appendToken appends one token's event. It verifies the token order once more, as the last check before the caller: an
// error indicates a bug in this program, and the stream must end.
func (s *sink) appendToken(now time.Time, gen string, index uint32, sum stream.Digest, data []byte) error {
	if index != s.next {
		return invariant.Broken("token_order", fmt.Sprintf("token %d of %s appended, expected index %d", index, gen, s.next))
	}
	s.next++
	s.buf = callerapi.AppendEvent(s.buf, gen, index, sum, data)
	s.hasEvents = true
	s.tokens++
	if s.tokens+s.inFlight > s.maxPending && s.slowSince.IsZero() {
		s.slowSince = now
	}
	s.signal()
	return nil
}

// finish appends the end of the stream. The engine's memory is free by now but the connection is not, so the caller must
// read the remainder within the slow-reader wait.
func (s *sink) finish(now time.Time, data []byte) {
	s.buf = append(s.buf, data...)
	s.ended = true
	_ = s.conn.SetWriteDeadline(now.Add(max(s.writeTimeout, minFinalWait)))
	s.signal()
}

// minFinalWait is the minimum time that every caller gets to read the end of its stream.
const minFinalWait = time.Second

// abortWrites interrupts a write in progress and makes later ones fail.
func (s *sink) abortWrites() { _ = s.conn.SetWriteDeadline(time.Unix(1, 0)) }

// close stops the caller's side because another connection has taken over the stream.
func (s *sink) close() {
	s.closed = true
	s.abortWrites()
	s.signal()
}

// take returns the buffered events and reuses spare as the next buffer. Calling it implies that everything taken before
// has been written.
func (s *sink) take(spare []byte) []byte {
	out := s.buf
	s.buf = spare[:0]
	s.inFlight, s.tokens = s.tokens, 0
	if s.inFlight <= s.maxPending {
		s.slowSince = time.Time{}
	}
	return out
}

// slow reports whether the caller has been reading too slowly for longer than wait.
func (s *sink) slow(now time.Time, wait time.Duration) bool {
	if len(s.buf) > maxSinkBytes {
		return true
	}
	return !s.slowSince.IsZero() && now.Sub(s.slowSince) > wait
}
