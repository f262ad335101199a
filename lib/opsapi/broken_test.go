package opsapi

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/standin/raw"
)

// Guards against an operator or a tool that accepts a part of a status, a list or the metrics: the process ended while it answered, or something else answered.
func TestBrokenAnswersAreErrors(t *testing.T) {
	answers := raw.MalformedAnswers("")
	for name, part := range map[string]string{"document": "{}", "list": "[]", "metrics": "x_total 1\n"} {
		answers["cut length, "+name] = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + part
		answers["unframed, "+name] = "HTTP/1.1 200 OK\r\n\r\n" + part
		answers["failure, "+name] = "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\n" + part[:2]
	}
	answers["cut chunks, metrics"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nx_total 1\n\r\n"
	for name, text := range answers {
		srv := httptest.NewServer(http.HandlerFunc(raw.Answer{Text: text, ReadBody: true, Wait: 2 * time.Millisecond, End: raw.Reset}.Send))
		t.Cleanup(srv.Close)
		c := NewClient(srv.Listener.Addr().String(), "")
		_, err := c.Status(t.Context())
		must.Error(t, err, must.Sprint(name))
		_, err = c.Targets(t.Context())
		must.Error(t, err, must.Sprint(name))
		_, err = c.Drain(t.Context(), DrainRequest{})
		must.Error(t, err, must.Sprint(name))
		series := 0
		must.Error(t, Scrape(t.Context(), srv.Listener.Addr().String(), func(string, float64) { series++ }), must.Sprint(name))
		must.Zero(t, series, must.Sprint(name))
	}
}
