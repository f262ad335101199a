package entryproc

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request that is taken while the process stops: its head came before, the last byte of its body after new requests are
// refused. It would be cut at the end of the stop although any other instance can serve it.
func TestBodyThatEndsDuringAStopIsRefused(t *testing.T) {
	e := startEngine(t)
	p, err := Start(config(settingsFile(t, e.Addr())))
	must.NoError(t, err)
	conn, err := net.Dial("tcp", p.Addr())
	must.NoError(t, err)
	defer conn.Close()
	body := `{"model":"planner-llm","stream":true,"prompt":"narrative [len=3]"}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Anvilwick-Class: standard\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(body), body[:10])
	must.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- p.Stop() }()
	for !p.server.Stopping() {
		time.Sleep(time.Millisecond)
	}
	_, err = io.WriteString(conn, body[10:])
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	got, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode, must.Sprint(string(got)))
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	must.NoError(t, <-stopped)
}
