package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/target"
)

const (
	relayChunk    = 32 << 10
	maxHTTP10Body = 4 << 20 // bound on an answer without a length, buffered whole for an HTTP/1.0 caller
	minWrite      = time.Second
)

var (
	errReadTarget = errors.New("read the target's answer")
	errHTTP10Body = errors.New("answer without a length exceeds the buffer for HTTP/1.0 callers")
)

// relay streams a target's answer to the caller. On error, started reports whether the caller received part of it. memory grants the buffer for an answer
// that can't be streamed.
func (pc *plainCall) relay(w http.ResponseWriter, r *http.Request, resp *http.Response, memory *membudget.Budget) (started bool, err *result.Error) {
	if !r.ProtoAtLeast(1, 1) && resp.ContentLength < 0 && r.Method != http.MethodHead {
		return pc.relayHTTP10(w, resp, memory)
	}
	writeAnswerHead(w, resp)
	return true, pc.relayBody(w, resp)
}

func writeAnswerHead(w http.ResponseWriter, resp *http.Response) {
	target.CopyEndToEndHeaders(w.Header(), resp.Header)
	w.Header().Set(callerapi.HeaderCode, strconv.Itoa(int(result.OK)))
	w.WriteHeader(resp.StatusCode)
}

func (pc *plainCall) relayBody(w http.ResponseWriter, resp *http.Response) *result.Error {
	conn := http.NewResponseController(w)
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	buf := make([]byte, relayChunk)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			pc.retainAnswer(buf[:n])
			_ = conn.SetWriteDeadline(time.Now().Add(max(pc.policy.SlowReaderWait, minWrite)))
			if werr := writeChunk(w, conn, buf[:n]); werr != nil {
				pc.drain(resp)
				return result.Wrap(writeCode(werr), werr, "deliver the answer")
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			pc.complete = true
			return nil
		case err != nil:
			return result.Wrap(brokenCode(err), err, errReadTarget.Error())
		}
	}
}

// drain reads the rest of a claimed call's answer after its caller disconnected, so that a resend gets the outcome.
func (pc *plainCall) drain(resp *http.Response) {
	if pc.claim == nil {
		return
	}
	rest, err := io.ReadAll(io.LimitReader(resp.Body, claim.DefaultMaxBody+1))
	pc.retainAnswer(rest)
	pc.complete = err == nil
}

func writeChunk(w http.ResponseWriter, conn *http.ResponseController, chunk []byte) error {
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return conn.Flush()
}

// brokenCode distinguishes an answer that stalled from one whose connection was cut.
func brokenCode(err error) result.Code {
	if errors.Is(err, errSilent) {
		return result.TargetSilent
	}
	return result.TargetCutShort
}

func writeCode(err error) result.Code {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return result.CallerTooSlow
	}
	return result.CallerGone
}

// relayHTTP10 serves HTTP/1.0 callers, for whom an answer without a length ends with the connection. They could not tell
// a truncated answer from a complete one, so the answer is buffered and sent with a Content-Length.
func (pc *plainCall) relayHTTP10(w http.ResponseWriter, resp *http.Response, memory *membudget.Budget) (started bool, err *result.Error) {
	body, rerr := memory.ReadAll(resp.Body, membudget.UnknownLength, maxHTTP10Body)
	if errors.Is(rerr, membudget.ErrTooLong) {
		rerr = errHTTP10Body
	}
	if rerr != nil {
		return false, result.Wrap(brokenCode(rerr), rerr, errReadTarget.Error())
	}
	pc.retainAnswer(body)
	pc.complete = true
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writeAnswerHead(w, resp)
	if _, werr := w.Write(body); werr != nil {
		return true, result.Wrap(writeCode(werr), werr, "deliver the answer")
	}
	return true, nil
}
