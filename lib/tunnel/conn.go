package tunnel

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// maxFrameData is the most data in one frame, in bytes.
const maxFrameData = 16 << 10

// maxMessage bounds the messages of a carried connection in bytes.
const maxMessage = 2 * maxFrameData

// errReset reports a tunnel that ended without the target closing the connection. It must not be taken for the end of a response
// that is framed by the end of its connection.
var errReset = errors.New("tunnel: connection reset")

// Conn is a connection to a target by way of a peer.
type Conn struct {
	stream *mesh.Stream
	addr   string
	peer   string
	stalls *stalls
	onDone func()
	closed atomic.Bool
	once   sync.Once
	goAway atomic.Bool // the peer is stopping

	mu        sync.Mutex
	written   uint64 // bytes passed to Write
	ended     bool   // the target has closed the connection
	delivered bool   // and all that was written had been delivered to it

	frames   chan []byte   // data of one frame at a time; closed when no more follows
	quit     chan struct{} // closed by Close
	finalErr error         // why no more data follows; valid once frames is closed
	pending  []byte        // received and not read yet; used by Read only
}

func newConn(stream *mesh.Stream, addr, peer string, stalls *stalls, onDone func()) *Conn {
	c := &Conn{stream: stream, addr: addr, peer: peer, stalls: stalls, onDone: onDone, frames: make(chan []byte), quit: make(chan struct{})}
	go c.receive()
	return c
}

// receive reads frames ahead, one at a time, so that Idle notices the end of a connection that nobody reads.
func (c *Conn) receive() {
	defer close(c.frames)
	for {
		var f meshpb.TunnelFrame
		if err := c.stream.Read(&f); err != nil {
			c.finalErr = c.readError(err)
			return
		}
		if f.GoAway {
			c.goAway.Store(true)
		}
		if len(f.Data) > 0 {
			if c.finalErr = c.deliver(f.Data); c.finalErr != nil {
				return
			}
		}
		if f.EndOfData {
			c.finalErr = c.end(&f)
			return
		}
	}
}

// deliver waits until data is read.
func (c *Conn) deliver(data []byte) error {
	select {
	case c.frames <- data: // the common case, without a timer
		return nil
	default:
	}
	stalled := time.NewTicker(stallInterval)
	defer stalled.Stop()
	for {
		select {
		case c.frames <- data:
			return nil
		case <-c.quit:
			return net.ErrClosed
		case <-stalled.C:
			if !c.stalls.mayWait() {
				go c.stream.Close() // on a silent link it takes until the time-out
				return errNoMemory
			}
		}
	}
}

// end returns io.EOF if the target has closed the connection after all that was written was delivered to it.
//
// Else a write of the peer may have met a reset, which its read then takes for an ordinary end.
func (c *Conn) end(f *meshpb.TunnelFrame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.delivered = f.Delivered != nil && f.GetDelivered() == c.written
	if !c.delivered {
		return errReset
	}
	return io.EOF
}

// allDelivered reports whether the target has closed the connection after all that was written was delivered to it.
func (c *Conn) allDelivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivered
}

func (c *Conn) readError(err error) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	if errors.Is(err, io.EOF) {
		return errReset
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return os.ErrDeadlineExceeded // as of other connections; that of the session is an error of its own
	}
	return err
}

// Peer returns the name of the instance that holds the connection to the target.
func (c *Conn) Peer() string { return c.peer }

// Idle reports whether the connection may carry another request: it is open, has no unread data, and its peer is not stopping.
func (c *Conn) Idle() bool {
	if len(c.pending) > 0 || c.closed.Load() || c.goAway.Load() {
		return false
	}
	select {
	case <-c.frames: // data that belongs to no request, or the end
		return false
	default:
		return true
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if len(c.pending) == 0 {
		select {
		case data, ok := <-c.frames:
			if !ok {
				return 0, c.finalErr
			}
			c.pending = data
		case <-c.quit: // the stream's own Close does not end a blocked read
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// Write implements net.Conn. Data counts as written when the link to the peer has accepted it, or when the target has it. After the target has closed the
// connection it fails.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	ended := c.ended
	if !ended {
		c.written += uint64(len(b))
	}
	c.mu.Unlock()
	if ended {
		return 0, errReset
	}
	n, err := writeFrames(c.writeFrame, b)
	if err != nil && c.allDelivered() {
		return len(b), nil // the reader of the response has closed the connection before this call returned
	}
	return n, err
}

// writeFrames writes data in frames. The returned count includes the frame whose write failed, since part of it may have arrived.
func writeFrames(write func(data []byte) error, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		part := b[n:min(n+maxFrameData, len(b))]
		n += len(part)
		if err := write(part); err != nil {
			return n, err
		}
	}
	return n, nil
}

// writeFrame writes one frame of data. It copies the data, of which the caller may reuse the memory once the write has been abandoned.
func (c *Conn) writeFrame(data []byte) error {
	done := make(chan error, 1)
	go func(data []byte) { done <- c.stream.Write(&meshpb.TunnelFrame{Data: data}) }(bytes.Clone(data))
	select {
	case err := <-done:
		return err
	case <-c.quit: // a write to a silent link would end only by its time-out
		return net.ErrClosed
	}
}

// ReportBackoff informs the peer that the target wants no requests from the sender of the connection's request for a time: to the target,
// that is the peer.
func (c *Conn) ReportBackoff(d time.Duration) {
	// On failure the peer learns of the backoff with its own next request.
	_ = c.stream.Write(&meshpb.TunnelFrame{BackoffMs: uint32(max(1, d.Milliseconds()))})
}

// Close implements net.Conn. The peer closes its connection to the target.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.closed.Store(true)
		close(c.quit)
		c.onDone()
		go c.stream.Close() // on a silent link it takes until the time-out
	})
	return nil
}

// LocalAddr and RemoteAddr implement net.Conn.
func (c *Conn) LocalAddr() net.Addr  { return addr("tunnel") }
func (c *Conn) RemoteAddr() net.Addr { return addr(c.addr) }

// SetDeadline implements net.Conn for reads. Writes are bounded by the mesh's own time-out.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.stream.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn; it has no effect.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tunnel" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
