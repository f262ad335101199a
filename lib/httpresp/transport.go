package httpresp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// ErrUnasked reports a response that was read before its connection was chosen for the request, so that it belongs to no request and was not checked.
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
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: x.gotConn, WroteRequest: x.wroteRequest})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	conn, head, write := x.current()
	if err != nil && conn != nil && conn.in.Fault() != nil {
		return nil, conn.in.Fault()
	}
	if err != nil {
		return nil, err
	}
	if conn != nil && !head.Complete() {
		_ = resp.Body.Close()
		return nil, ErrUnasked
	}
	if write != nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, write: write}
	}
	return resp, nil
}

// roundTrip follows one call. net/http may send its request again by itself, on another connection.
type roundTrip struct {
	mu    sync.Mutex
	conn  *checkedConn
	head  Head // of the response on conn
	write *Write
	ended bool // write has
}

func (x *roundTrip) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.write, x.ended = NewWrite(), false
	x.conn, _ = info.Conn.(*checkedConn)
	if x.conn != nil {
		x.head, _ = x.conn.in.Begin(nil) // each read returns the error, too
	}
}

func (x *roundTrip) wroteRequest(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.write != nil && !x.ended {
		x.ended = true
		x.write.End(info.Err)
	}
}

func (x *roundTrip) current() (*checkedConn, Head, *Write) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn, x.head, x.write
}

// checkedConn checks the responses that are read from it.
type checkedConn struct {
	net.Conn
	in *Reader
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// closeDelimitedBody is a body that only the end of the connection ends.
type closeDelimitedBody struct {
	io.ReadCloser
	write *Write // of the request
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if werr := b.write.CheckEnd(); werr != nil {
			return n, werr
		}
	}
	return n, err
}
