package entryproc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/standin/raw"
	"anvilwick.example/anvilwick/lib/target"
	"anvilwick.example/anvilwick/lib/tunnel"
)

// startCarrier starts an entry that carries connections to targets, and returns the clients of one whose connections it carries.
func startCarrier(t *testing.T) *target.Clients {
	t.Helper()
	node := func(name string) *mesh.Node {
		n, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: name, Incarnation: 1}, Plaintext: true})
		must.NoError(t, err)
		t.Cleanup(n.Close)
		return n
	}
	b := node("b")
	carrier := &tunnel.Server{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		},
		LinksLost: func() bool { return false }, Permitted: func(string) bool { return true }, OnBackoff: func(string, time.Duration) {},
	}
	carrier.Serve(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = b.Serve(ln) }()
	client := tunnel.NewClient(node("a"), "a", "d1", nil)
	client.SetPeers([]tunnel.Peer{{Name: "b", Domain: "d1", Addr: ln.Addr().String()}}, "")
	clients := target.NewClientsWithDial(func(ctx context.Context, _, addr string) (net.Conn, error) { return client.Dial(ctx, addr) })
	t.Cleanup(clients.Close)
	return clients
}

// Guards against a part of an answer that is taken for the whole where another entry carries the connection: the target reset it while the upload was being written.
// And against a sound answer that is refused there.
func TestUnframedAnswerResetDuringUploadBehindEntryIsBroken(t *testing.T) {
	clients := startCarrier(t)
	for _, c := range []struct {
		answer raw.Answer
		whole  bool
	}{
		{raw.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart", End: raw.Reset}, false},
		{raw.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart", Wait: 5 * time.Millisecond, End: raw.Reset}, false},
		{raw.Answer{Text: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", Wait: 5 * time.Millisecond, End: raw.Reset}, false},
		{raw.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart", Wait: 50 * time.Millisecond, End: raw.Reset}, false},
		{raw.Answer{Text: "HTTP/1.1 200 OK\r\n\r\npart", ReadBody: true}, true},
	} {
		srv := httptest.NewServer(http.HandlerFunc(c.answer.Send))
		t.Cleanup(srv.Close)
		for range 10 {
			call := &target.Call{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, 8<<20), NoResend: true}
			resp, err := clients.Client("t", srv.Listener.Addr().String()).Do(t.Context(), call)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				err = errors.Join(err, resp.Body.Close())
			}
			must.Eq(t, c.whole, err == nil, must.Sprintf("%+v: %q %v", c.answer, body, err))
		}
	}
}
