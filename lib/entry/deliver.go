package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/result"
)

// keepAlive is the idle time after which an SSE comment is sent, so that load balancers keep the connection open and
// disconnected callers are detected.
const keepAlive = 15 * time.Second

const keepAliveComment = ": waiting\n\n"

// delivery writes a generation to one caller connection.
type delivery struct {
	w       http.ResponseWriter
	g       *generation
	sink    *sink
	buf     []byte
	started bool // stream headers have been sent
	idle    bool // nothing was written since the keep-alive timer last fired
}

// deliver writes the answer until the generation ends or the caller disconnects.
func (s *Server) deliver(w http.ResponseWriter, r *http.Request, g *generation, sk *sink) {
	d := &delivery{w: w, g: g, sink: sk, idle: true}
	complete := d.loop(r)
	if complete {
		_ = sk.conn.SetWriteDeadline(time.Time{})
		g.detach(sk, s.now())
		return
	}
	s.callerLeft(g, sk)
	panic(http.ErrAbortHandler)
}

// callerLeft cancels a generation whose caller has disconnected, which frees the engine's memory at once. A keyed
// generation keeps running for CallerGrace, since its caller may return for the rest.
func (s *Server) callerLeft(g *generation, sk *sink) {
	if g.detach(sk, s.now()) && g.key == "" {
		g.cancel(errCallerGone)
	}
}

// loop writes events as they arrive and reports whether the answer was written completely.
func (d *delivery) loop(r *http.Request) bool {
	timer := time.NewTimer(keepAlive)
	defer timer.Stop()
	for {
		select {
		case <-d.sink.wake:
			last, ok := d.writeBuffered()
			if !ok || last {
				return ok
			}
		case <-timer.C:
			if !d.keepAlive() {
				return false
			}
			timer.Reset(keepAlive)
		case <-r.Context().Done():
			return false
		}
	}
}

// writeBuffered writes all buffered events.
func (d *delivery) writeBuffered() (last, ok bool) {
	d.g.mu.Lock()
	d.buf = d.sink.take(d.buf)
	last, closed, events := d.sink.ended, d.sink.closed, d.sink.hasEvents
	d.g.mu.Unlock()
	switch {
	case closed:
		return false, false
	case d.sink.unstreamed:
		return last, !last || d.writeAnswer()
	case last && !events && !d.started && d.g.err != nil:
		callerapi.WriteError(d.w, d.g.err, d.g.request)
		return true, true
	case len(d.buf) == 0:
		return last, true
	}
	return last, d.write(d.buf)
}

func (d *delivery) write(data []byte) bool {
	if !d.started {
		callerapi.SetStreamHeaders(d.w)
		d.started = true
	}
	d.idle = false
	if _, err := d.w.Write(data); err != nil {
		return false
	}
	return d.sink.conn.Flush() == nil
}

func (d *delivery) keepAlive() bool {
	if d.sink.unstreamed || !d.idle {
		d.idle = true
		return true
	}
	ok := d.write([]byte(keepAliveComment))
	d.idle = true
	return ok
}

// writeAnswer writes the complete answer of a non-streamed request. The generation has ended, so its fields are fixed.
func (d *delivery) writeAnswer() bool {
	g := d.g
	if g.err != nil {
		callerapi.WriteError(d.w, g.err, g.request)
		return true
	}
	body, err := json.Marshal(g.answer())
	if err != nil {
		callerapi.WriteError(d.w, result.Wrap(result.TargetFailed, err, "encode the answer"), g.request)
		return true
	}
	h := d.w.Header()
	h.Set("Content-Type", contentJSON)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, err = d.w.Write(body)
	return err == nil
}

// answer returns the complete answer of a generation that ended without error.
func (g *generation) answer() callerapi.Answer {
	usage := callerapi.Usage{PromptTokens: g.completion.PromptTokens(), CompletionTokens: g.text.Len()}
	return g.shape.Answer(g.text.String(), g.finishReason, g.accepted.Unix(), usage)
}
