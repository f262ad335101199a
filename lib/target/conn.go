package target

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = 30 * time.Second
	maxIdlePerTarget  = 16
	maxResponseHeader = 64 << 10
)

// sentFlag tells whether a byte of a request may have left this process.
type sentFlag struct{ v atomic.Bool }

type sentKey struct{}

// withSent returns a context whose fresh connection sets the flag before its first write.
func withSent(ctx context.Context) (context.Context, *sentFlag) {
	f := new(sentFlag)
	return context.WithValue(ctx, sentKey{}, f), f
}

// sentConn marks its flag before each write. A request whose flag is unset was proved not sent: the failure came
// while dialling, or before the transport wrote anything. A write that failed counts as sent, since the kernel may
// have passed on a part of it.
type sentConn struct {
	net.Conn
	flag *sentFlag
}

func (c *sentConn) Write(b []byte) (int, error) {
	c.flag.v.Store(true)
	return c.Conn.Write(b)
}

var dialer = &net.Dialer{Timeout: dialTimeout, KeepAlive: 10 * time.Second}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if f, ok := ctx.Value(sentKey{}).(*sentFlag); ok {
		return &sentConn{Conn: c, flag: f}, nil
	}
	return c, nil
}

// newOnceTransport returns a transport with one connection for each request.
//
// net/http resends a request on its own when a kept connection breaks before the answer, if it holds the request for
// repeatable, which an Idempotency-Key header is enough for. A call that must not run twice would then run twice. On a
// fresh connection it never does, and whatever breaks belongs to this request alone.
func newOnceTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// newPooledTransport returns a transport that keeps connections, for requests that may be repeated.
func newPooledTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}
