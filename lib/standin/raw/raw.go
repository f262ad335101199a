// Package raw sends answers that net/http's server can't send: any bytes, at any point of a request, ended in any way.
package raw

import (
	"io"
	"net"
	"net/http"
	"time"
)

// End is how a connection ends after an answer.
type End uint8

const (
	Close End = iota // in order, unless a part of the request is unread
	Reset
)

// Answer is what a target sends once it has read the head of a request.
type Answer struct {
	Text     string        // head and body
	ReadBody bool          // the request's body is read before
	Wait     time.Duration // between the text and the end of the connection
	End      End
}

// Send sends the answer to a request in place of the handler's.
func (a Answer) Send(w http.ResponseWriter, r *http.Request) {
	if a.ReadBody {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	// A write fails only if the caller has left; then nobody reads the answer.
	_, _ = io.WriteString(conn, a.Text)
	time.Sleep(a.Wait)
	if tcp, ok := conn.(*net.TCPConn); ok && a.End == Reset {
		_ = tcp.SetLinger(0)
	}
}
