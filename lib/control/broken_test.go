package control

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/standin/raw"
)

// Guards against an engine's report that is accepted, and an order that counts as acknowledged, although the answer is broken off or its head is malformed.
func TestBrokenAnswersOfEnginesAreNotBelieved(t *testing.T) {
	const part = `{"KVTotal":7}`
	answers := raw.MalformedAnswers("")
	answers["cut length"] = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + part
	answers["cut chunks"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + part + "\r\n"
	answers["unframed"] = "HTTP/1.1 200 OK\r\n\r\n" + part
	for name, text := range answers {
		answer := raw.Answer{Text: text, ReadBody: true, Wait: 2 * time.Millisecond, End: raw.Reset}
		srv := httptest.NewServer(http.HandlerFunc(answer.Send))
		t.Cleanup(srv.Close)
		addr := srv.Listener.Addr().String()
		e := newEngines(countedTransport("test"), nil)
		e.poll(t.Context(), []settings.Target{{Name: "a", Addr: addr}})
		_, ok := e.report("a")
		must.False(t, ok, must.Sprint(name))
		must.Error(t, e.order(t.Context(), addr, engineapi.Order{}), must.Sprint(name))
	}
}
