package mesh

import (
	"encoding/binary"
	"net"
)

// coalescingConn writes a frame's header and its body with one call. yamux writes them separately, and each write costs a system call and,
// under TLS, 22 bytes for a record of its own: more than the bytes of a heartbeat.
//
// Holding a header back is safe: yamux writes from one goroutine, and the body of a data frame with a length follows its header
// immediately. All other frames, and headers without a body, pass through.
type coalescingConn struct {
	net.Conn
	pendingHeader []byte // header whose body is written next
	buf           []byte
}

// Layout of yamux's header: version, type, flags (2 bytes), stream (4 bytes), length (4 bytes).
const (
	headerSize   = 12
	headerType   = 1
	headerLength = 8
	typeData     = 0
)

// maxRetainedBuffer bounds the buffer that a link keeps for its next frame; larger ones, such as for whole settings, are released.
const maxRetainedBuffer = 16 << 10

// Write implements net.Conn. Only one goroutine may call it.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) > 0 {
		return c.writeBody(b)
	}
	if !hasBody(b) {
		return c.Conn.Write(b)
	}
	c.pendingHeader = append(c.buf[:0], b...)
	return len(b), nil
}

func hasBody(b []byte) bool {
	return len(b) == headerSize && b[headerType] == typeData && binary.BigEndian.Uint32(b[headerLength:]) > 0
}

func (c *coalescingConn) writeBody(body []byte) (int, error) {
	frame := append(c.pendingHeader, body...)
	c.pendingHeader = nil
	if c.buf = frame[:0]; cap(frame) > maxRetainedBuffer {
		c.buf = nil
	}
	n, err := c.Conn.Write(frame)
	return max(0, n-headerSize), err
}
