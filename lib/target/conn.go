package target

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/sockbuf"
)

const (
	dialTimeout      = 2 * time.Second
	idleConnTimeout  = 30 * time.Second
	maxIdlePerTarget = 16
)

// sentFlag records whether any byte of a request may have left this process.
type sentFlag struct{ v atomic.Bool }

type sentKey struct{}

// withSent returns a context whose new connections set the flag before their first write.
func withSent(ctx context.Context) (context.Context, *sentFlag) {
	f := new(sentFlag)
	return context.WithValue(ctx, sentKey{}, f), f
}

// sentConn sets its flag before each write. An unset flag proves that the request was not sent: it failed while dialing,
// or before the transport wrote anything. A failed write counts as sent, since the kernel may have transmitted part of it.
type sentConn struct {
	net.Conn
	flag *sentFlag
}

func (c *sentConn) Write(b []byte) (int, error) {
	c.flag.v.Store(true)
	return c.Conn.Write(b)
}

var dialer = &net.Dialer{Timeout: dialTimeout, KeepAlive: 10 * time.Second, Control: sockbuf.Control(sockbuf.TargetBytes)}

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// recordSent opens a connection that sets the sentFlag of its context.
func (dial Dial) recordSent(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if f, ok := ctx.Value(sentKey{}).(*sentFlag); ok {
		return &sentConn{Conn: c, flag: f}, nil
	}
	return c, nil
}

// newSingleUseTransport returns a transport that opens a new connection for each request.
//
// net/http resends a request by itself when a reused connection breaks before the response, if it considers the request
// replayable; an Idempotency-Key header suffices for that. A call that must not run twice would then run twice. On a new
// connection net/http never resends, and any failure belongs to this request alone.
func newSingleUseTransport(dial Dial) *httpresp.Transport {
	return httpresp.NewTransport(&http.Transport{
		DialContext:        dial.recordSent,
		DisableKeepAlives:  true,
		DisableCompression: true,
	})
}

// newPooledTransport returns a transport that reuses connections, for requests that may be repeated.
func newPooledTransport(dial Dial) *httpresp.Transport {
	return httpresp.NewTransport(&http.Transport{
		DialContext:         dial.recordSent,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleConnTimeout,
	})
}
