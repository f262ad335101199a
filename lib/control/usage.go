package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/httpresp"
)

// pollErrors counts failed reads of the platform. CPU time and memory of the process are exported by the metrics library
// (process_cpu_seconds_total, process_resident_memory_bytes), bytes to the entry by lib/mesh.
var pollErrors = metrics.NewCounter("anvilwick_control_poll_errors_total")

const (
	dialTimeout  = 2 * time.Second
	idleConns    = 8
	idleTimeout  = time.Minute
	totalConns   = 32
	replyTimeout = 3 * time.Second
)

// countedTransport returns a transport that counts its bytes under a link name and checks the responses that it reads.
func countedTransport(link string) http.RoundTripper {
	d := net.Dialer{Timeout: dialTimeout}
	sent := metrics.GetOrCreateCounter(fmt.Sprintf(`anvilwick_control_sent_bytes_total{link=%q}`, link))
	received := metrics.GetOrCreateCounter(fmt.Sprintf(`anvilwick_control_received_bytes_total{link=%q}`, link))
	return httpresp.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, sent: sent, received: received}, nil
		},
		MaxIdleConnsPerHost:   idleConns,
		MaxConnsPerHost:       totalConns,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: replyTimeout,
	})
}

type countedConn struct {
	net.Conn
	sent, received *metrics.Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}
