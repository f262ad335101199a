package target

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/standin/raw"
)

// Guards against reports and results that are accepted although they are broken off, contradict themselves or are followed by other bytes: a part of one may be
// a sound document.
func TestBrokenReportsAreErrors(t *testing.T) {
	const part = `{"running":1,"capacity":9}`
	answers := map[string]string{
		"cut length":     "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + part,
		"cut chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n" + part + "\r\n",
		"unframed":       "HTTP/1.1 200 OK\r\n\r\n" + part,
		"two documents":  "HTTP/1.1 200 OK\r\nContent-Length: 52\r\n\r\n" + part + part,
		"refusal, cut":   "HTTP/1.1 404 Not Found\r\nContent-Length: 99\r\n\r\n{}",
		"refusal chunks": "HTTP/1.1 501 None\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
	}
	for name, text := range raw.MalformedAnswers("") {
		answers[name] = text
	}
	clients := NewClients()
	t.Cleanup(clients.Close)
	for name, text := range answers {
		srv := httptest.NewServer(http.HandlerFunc(raw.Answer{Text: text, Wait: 2 * time.Millisecond, End: raw.Reset}.Send))
		c := clients.Client("t", srv.Listener.Addr().String())
		for call, send := range map[string]func() error{
			"load":    func() error { _, err := c.Load(t.Context()); return err },
			"service": func() error { _, err := c.ServiceLoad(t.Context()); return err },
			"events":  func() error { _, err := c.CacheEvents(t.Context(), 0, false); return err },
			"cancel":  func() error { _, err := c.Cancel(t.Context(), ids.From(1, 1), 1); return err },
		} {
			err := send()
			must.Error(t, err, must.Sprint(name, call))
			var refused *RefusedError
			must.False(t, errors.As(err, &refused), must.Sprint(name, call, err))
		}
		srv.Close()
	}
}
