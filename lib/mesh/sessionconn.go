package mesh

import (
	"net"
	"sync"
)

// sessionConn is the connection under a yamux session. It makes the session shut down only after its receiving goroutine has ended.
//
// While a yamux session has been shut down and its receiving goroutine still runs, or its connection is still being closed, a blocked
// Stream.Read does not wait but loops. Closing a TLS connection can take seconds; the readers of the session's streams would use a core
// all the while, and starve other goroutines of a process that has a single one. Therefore sessions are ended by closing their connection,
// which ends the receiving goroutine, which shuts the session down. All other ends are avoided: keep-alive and time-outs for
// opening streams of the library are off, a failed write returns only when reading has failed, and Close does not block.
type sessionConn struct {
	net.Conn
	abortOnce, closeOnce, failOnce sync.Once

	closed     chan struct{} // Close was called: the session has been shut down
	readFailed chan struct{}
}

func newSessionConn(c net.Conn) *sessionConn {
	return &sessionConn{Conn: c, closed: make(chan struct{}), readFailed: make(chan struct{})}
}

// abort closes the connection. The session ends as if the connection had failed.
func (c *sessionConn) abort() {
	c.abortOnce.Do(func() { _ = c.Conn.Close() })
}

// Read implements net.Conn. Any error ends the session.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.failOnce.Do(func() { close(c.readFailed) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *sessionConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.abort()
		select {
		case <-c.readFailed:
		case <-c.closed:
		}
	}
	return n, err
}

// Close implements net.Conn. The session calls it after it has shut down, and does not need to know when the connection is closed.
func (c *sessionConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		go c.abort()
	})
	return nil
}
