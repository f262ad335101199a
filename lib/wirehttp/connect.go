package wirehttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/sockbuf"
)

// DialThrough returns a function that opens connections through an HTTP proxy (method CONNECT) at an address.
func DialThrough(proxy string) DialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{KeepAlive: -1, Control: sockbuf.Control(sockbuf.TargetBytes)}).DialContext(ctx, "tcp", proxy)
		if err != nil {
			return nil, err
		}
		stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
		if err := connect(nc, addr); err != nil {
			stop()
			_ = nc.Close()
			return nil, err
		}
		if !stop() {
			return nil, ctx.Err()
		}
		return nc, nil
	}
}

// connect requests the proxy to connect to addr. A proxy that refuses counts as a refusal by addr.
func connect(nc net.Conn, addr string) error {
	if _, err := fmt.Fprintf(nc, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", addr, addr); err != nil {
		return err
	}
	in := httpresp.NewReader(nc)
	if _, err := in.Begin(nil); err != nil {
		return err
	}
	r := bufio.NewReader(in)
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodConnect})
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("wirehttp: proxy refuses %s with status %d: %w", addr, resp.StatusCode, syscall.ECONNREFUSED)
	case r.Buffered() > 0:
		return fmt.Errorf("wirehttp: proxy sent %d unexpected bytes from %s", r.Buffered(), addr)
	}
	return nc.SetDeadline(time.Time{})
}
