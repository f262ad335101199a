package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

const (
	// answerLimit bounds the body of a plain response, in bytes.
	answerLimit = 16 << 20
	// bufferLimit bounds the part of it that is buffered, in bytes. A response is buffered so that one which breaks off can be replaced by another
	// target's.
	bufferLimit = 4 << 20
	// forwardBuffer is the number of bytes forwarded at a time.
	forwardBuffer = 16 << 10
)

// errFailureTooLarge means that a target's failure has a body that can't be buffered.
var errFailureTooLarge = errors.New("gateway: no memory for the body of a failure")

// readAnswer reads the body of a response to a plain request, as far as the call may need it. A success that can't be buffered is forwarded as it
// arrives, with x.forwarded set.
func (g *Gateway) readAnswer(x *exchange, forward func() error) error {
	if x.verdict == verdictNotRun || x.verdict == verdictFaulty {
		return x.resp.Discard(answerLimit)
	}
	var whole bool
	var err error
	x.body, whole, err = g.bufferAnswer(x.resp)
	switch {
	case err != nil || whole:
		return err
	case x.verdict == verdictFailure:
		return errFailureTooLarge
	}
	x.forwarded = true
	return forward()
}

// bufferAnswer reads the body of a response as far as it may be buffered; whole reports that this is all of it.
func (g *Gateway) bufferAnswer(resp *wirehttp.Response) (body []byte, whole bool, err error) {
	if resp.Length > answerLimit {
		return nil, false, wirehttp.ErrBodyTooLarge
	}
	body, err = g.Memory.ReadAll(resp, resp.Length, bufferLimit)
	if errors.Is(err, membudget.ErrTooLong) || errors.Is(err, membudget.ErrNoMemory) {
		return body, false, nil
	}
	return body, err == nil, err
}

// forwardAnswer forwards a response of which x.body has been read, and the rest as it arrives.
func (g *Gateway) forwardAnswer(w http.ResponseWriter, x *exchange) error {
	g.copyHead(w, x.resp.Header)
	if x.resp.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(x.resp.Length, 10))
	}
	w.WriteHeader(x.resp.Status)
	buf := make([]byte, forwardBuffer)
	sent := 0
	for p := x.body; ; {
		x.body = nil // not held while the caller reads nothing
		if sent += len(p); sent > answerLimit {
			return wirehttp.ErrBodyTooLarge
		}
		if _, err := w.Write(p); err != nil {
			x.callerLeft = true
			return err
		}
		if x.resp.Ended() {
			return nil
		}
		n, err := x.resp.Read(buf)
		if err != nil && err != io.EOF {
			return err
		}
		p = buf[:n]
	}
}

// finishForwarded ends the response to a call whose answer was forwarded as it arrived. One that broke off must not look complete.
func (g *Gateway) finishForwarded(c *call, x *exchange) {
	if x.err != nil {
		g.Log.AnswerCut(c.entry(), x.target.ID, x.err)
		c.count(metricCut, "reason", "answer")
		panic(http.ErrAbortHandler)
	}
	g.recordAnswered(c, x)
}
