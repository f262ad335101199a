package httpresp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// ErrUnasked reports a response that arrived before its request was sent.
var ErrUnasked = errors.New("httpresp: response without a request")

// Transport is an http.RoundTripper that fails for responses which are not sound. Their errors are those of a connection that broke.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that sends requests with base, whose connections it wraps. base must not be used otherwise. Heads are bounded by MaxHead.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: nc, in: NewReader(nc)}, nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := new(roundTrip)
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: x.gotConn})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	conn := x.current()
	if err != nil && conn != nil && conn.in.Fault() != nil {
		return nil, conn.in.Fault()
	}
	if err != nil {
		return nil, err
	}
	if conn != nil && !conn.in.Complete() {
		_ = resp.Body.Close()
		return nil, ErrUnasked
	}
	return resp, nil
}

// roundTrip follows one call. net/http may send its request again by itself, on another connection.
type roundTrip struct {
	mu   sync.Mutex
	conn *checkedConn
}

func (x *roundTrip) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, _ = info.Conn.(*checkedConn)
	if x.conn != nil {
		_ = x.conn.in.Begin(nil) // each read returns the error, too
	}
}

func (x *roundTrip) current() *checkedConn {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn
}

// checkedConn checks the responses that are read from it.
type checkedConn struct {
	net.Conn
	in *Reader
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) { return c.in.Read(p) }
