package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// cutTarget answers each request with the first bytes of a text, and closes the connection.
type cutTarget struct {
	ln   net.Listener
	text string
	cut  atomic.Int32
}

func startCutTarget(t *testing.T, text string) *cutTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	target := &cutTarget{ln: ln, text: text}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go target.serve(c)
		}
	}()
	return target
}

func (c *cutTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if req, err := http.ReadRequest(bufio.NewReader(conn)); err != nil || req.URL.Path == "/healthz" {
		return
	}
	_, _ = io.WriteString(conn, c.text[:c.cut.Load()])
}

// Guards against a caller that gets a success, framed as whole, of an answer whose target stopped in the middle of its head or body.
func TestPlainAnswerCutAfterAnyByteIsNoSuccess(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := startCutTarget(t, text)
			for cut := range len(text) {
				r := newRig(t, siteText("", true, nil, []string{target.ln.Addr().String()}), nil)
				target.cut.Store(int32(cut))
				req, err := http.NewRequest(http.MethodPost, r.http.URL+"/dispatch/send", strings.NewReader("go"))
				must.NoError(t, err)
				req.Header.Set("Authorization", "Bearer "+testKey)
				resp, err := http.DefaultClient.Do(req)
				if err != nil || resp.StatusCode >= 300 {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				must.Error(t, err, must.Sprintf("cut at %d of %q: %d %q", cut, text, resp.StatusCode, body))
				_ = resp.Body.Close()
			}
		})
	}
}
