package mesh

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowCloseConn takes a while to close, as a TLS connection does whose peer does not read. Writes fail on demand.
type slowCloseConn struct {
	net.Conn
	delay time.Duration
	fail  chan struct{} // closed: writes fail
}

func (c *slowCloseConn) Close() error {
	time.Sleep(c.delay)
	return c.Conn.Close()
}

func (c *slowCloseConn) Write(b []byte) (int, error) {
	select {
	case <-c.fail:
		return 0, syscall.EPIPE
	default:
		return c.Conn.Write(b)
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	must.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A session ends because it is closed or a write fails, and its connection takes 400 ms to close. A reader of
// a stream that is blocked meanwhile must wait and not loop: it would use a core, and starve a process that has a single one.
func TestReaderDoesNotSpinWhileSessionEnds(t *testing.T) {
	const closeTime = 400 * time.Millisecond
	for name, end := range map[string]func(n *Node, c *slowCloseConn){
		"closed":       func(n *Node, _ *slowCloseConn) { n.Close() },
		"write failed": func(_ *Node, c *slowCloseConn) { close(c.fail) },
	} {
		t.Run(name, func(t *testing.T) {
			o := fastOptions("a")
			var conn *slowCloseConn
			o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				var d net.Dialer
				c, err := d.DialContext(ctx, "tcp", addr)
				conn = &slowCloseConn{Conn: c, delay: closeTime, fail: make(chan struct{})}
				return conn, err
			}
			a, _ := startNode(t, o)
			_, addr := startNode(t, fastOptions("b"))
			s := openTo(t, a, "b", addr)
			echoCall(t, s, 1)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for {
					if _, err := s.in.Read(make([]byte, 1)); err != nil {
						return
					}
				}
			}()
			before := cpuTime(t)
			end(a, conn)
			<-ended
			must.Less(t, closeTime/2, cpuTime(t)-before)
		})
	}
}
