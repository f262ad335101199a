package httpresp

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/standin/raw"
)

// Guards against answers that are none and are passed on; against sound ones that are refused; and, since each request may run, against net/http sending one again by
// itself after a faulty answer on a connection that it had used before.
func TestTransportChecksHeads(t *testing.T) {
	malformed, unusual := raw.MalformedAnswers(""), raw.UnusualAnswers("")
	var sends atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get("Answer")
		text, ok := malformed[name]
		if !ok {
			text, ok = unusual[name]
		}
		if !ok {
			return // an ordinary answer, after which the connection is used again
		}
		sends.Add(1)
		raw.Answer{Text: text}.Send(w, r)
	}))
	t.Cleanup(srv.Close)
	client := &http.Client{Transport: NewTransport(new(http.Transport))}
	t.Cleanup(client.CloseIdleConnections)
	get := func(answer string) (string, error) {
		req, err := http.NewRequest(http.MethodGet, srv.URL, nil)
		must.NoError(t, err)
		req.Header.Set("Answer", answer)
		resp, err := client.Do(req)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return fmt.Sprintf("%d %s", resp.StatusCode, body), err
	}
	for name := range malformed {
		_, err := get("")
		must.NoError(t, err)
		sends.Store(0)
		_, err = get(name)
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(name))
		must.Eq(t, 1, sends.Load(), must.Sprint(name))
	}
	for name := range unusual {
		_, err := get("")
		must.NoError(t, err)
		got, err := get(name)
		must.NoError(t, err, must.Sprint(name))
		must.StrHasPrefix(t, "2", got)
		must.Eq(t, !strings.HasPrefix(name, "204"), strings.HasSuffix(got, " body"), must.Sprint(name, got))
	}
}
