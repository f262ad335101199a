package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/target"
)

const (
	relayChunk = 32 << 10
	maxOldBody = 4 << 20 // an answer without a length, kept whole for an HTTP/1.0 caller
	minWrite   = time.Second
)

var (
	errReadTarget = errors.New("read the target's answer")
	errOldBody    = errors.New("the answer is too large for an HTTP/1.0 caller")
)

// relay passes a target's answer on as it comes. After an error the caller has a part of it when started, else nothing.
func relay(w http.ResponseWriter, r *http.Request, resp *http.Response, p *settings.Policy) (started bool, err *result.Error) {
	if !r.ProtoAtLeast(1, 1) && resp.ContentLength < 0 && r.Method != http.MethodHead {
		return relayOld(w, resp)
	}
	passAnswer(w, resp)
	return true, relayBody(w, resp, p)
}

func passAnswer(w http.ResponseWriter, resp *http.Response) {
	target.PassHeaders(w.Header(), resp.Header)
	w.Header().Set(callerapi.HeaderCode, strconv.Itoa(int(result.OK)))
	w.WriteHeader(resp.StatusCode)
}

func relayBody(w http.ResponseWriter, resp *http.Response, p *settings.Policy) *result.Error {
	conn := http.NewResponseController(w)
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	buf := make([]byte, relayChunk)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(max(p.SlowReaderWait, minWrite)))
			if werr := writeChunk(w, conn, buf[:n]); werr != nil {
				return result.Wrap(writeCode(werr), werr, "deliver the answer")
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return result.Wrap(result.TargetCutShort, err, errReadTarget.Error())
		}
	}
}

func writeChunk(w http.ResponseWriter, conn *http.ResponseController, chunk []byte) error {
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return conn.Flush()
}

func writeCode(err error) result.Code {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return result.CallerTooSlow
	}
	return result.CallerGone
}

// relayOld serves HTTP/1.0, where an answer without a length ends with the connection. Its caller could not tell a cut
// answer from a whole one, so the whole is read first and given a length.
func relayOld(w http.ResponseWriter, resp *http.Response) (started bool, err *result.Error) {
	body, rerr := io.ReadAll(io.LimitReader(resp.Body, maxOldBody+1))
	if rerr == nil && len(body) > maxOldBody {
		rerr = errOldBody
	}
	if rerr != nil {
		return false, result.Wrap(result.TargetCutShort, rerr, errReadTarget.Error())
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	passAnswer(w, resp)
	if _, werr := w.Write(body); werr != nil {
		return true, result.Wrap(writeCode(werr), werr, "deliver the answer")
	}
	return true, nil
}
