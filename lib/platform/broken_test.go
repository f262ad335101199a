package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/standin/raw"
)

// Guards against items, listings and objects that are accepted, and writes that count as acknowledged, although the platform's answer is broken off, continues after its document or has a
// malformed head.
func TestBrokenAnswersAreErrors(t *testing.T) {
	const part = `{"committed":true,"rev":7}`
	answers := raw.MalformedAnswers("")
	answers["cut length"] = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + part
	answers["cut chunks"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n" + part + "\r\n"
	answers["unframed"] = "HTTP/1.1 200 OK\r\n\r\n" + part
	answers["cut 404"] = "HTTP/1.1 404 Not Found\r\nContent-Length: 99\r\n\r\n"
	answers["cut 429"] = "HTTP/1.1 429 Busy\r\nContent-Length: 99\r\n\r\n"
	for name, text := range answers {
		answer := raw.Answer{Text: text, ReadBody: true, Wait: 2 * time.Millisecond, End: raw.Reset}
		srv := httptest.NewServer(http.HandlerFunc(answer.Send))
		t.Cleanup(srv.Close)
		c := New(Config{Addr: srv.Listener.Addr().String(), BreakerAfter: 1000, SettleTimeout: 50 * time.Millisecond})
		_, _, err := c.Get(t.Context(), "k")
		must.Error(t, err, must.Sprint(name))
		_, err = c.Range(t.Context(), "k", 0, 0)
		must.Error(t, err, must.Sprint(name))
		_, _, err = c.GetObject(t.Context(), "k")
		must.Error(t, err, must.Sprint(name))
		err = c.PutObject(t.Context(), "k", []byte("v"))
		must.True(t, err != nil && !IsNotCommitted(err), must.Sprint(name, err))
		_, _, err = c.StartTransfer(t.Context(), "m", "1")
		must.Error(t, err, must.Sprint(name))
		_, err = c.Txn(t.Context(), platformapi.Txn{})
		must.True(t, err != nil && !IsNotCommitted(err), must.Sprint(name, err))
	}
}
