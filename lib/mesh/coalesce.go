package mesh

import (
	"encoding/binary"
	"net"
)

// joinedConn writes a frame's header and its body as one. yamux writes them one after the other, and each write costs a
// system call and, under TLS, 22 bytes of a record of its own: more than a heartbeat's own bytes.
//
// Holding a header back is safe: yamux writes from one goroutine, and the body of a data frame with a length follows
// its header at once. All other frames, and headers without a body, pass through.
type joinedConn struct {
	net.Conn
	held []byte // a header whose body comes next
	buf  []byte
}

// Layout of yamux's header: version, type, flags (2 bytes), stream (4 bytes), length (4 bytes).
const (
	headerSize   = 12
	headerType   = 1
	headerLength = 8
	typeData     = 0
)

// keptBuffer bounds what a link keeps for its next frame; larger ones, such as whole settings, are let go.
const keptBuffer = 16 << 10

// Write implements net.Conn for one writer.
func (c *joinedConn) Write(b []byte) (int, error) {
	if len(c.held) > 0 {
		return c.writeBody(b)
	}
	if !announcesBody(b) {
		return c.Conn.Write(b)
	}
	c.held = append(c.buf[:0], b...)
	return len(b), nil
}

func announcesBody(b []byte) bool {
	return len(b) == headerSize && b[headerType] == typeData && binary.BigEndian.Uint32(b[headerLength:]) > 0
}

func (c *joinedConn) writeBody(body []byte) (int, error) {
	frame := append(c.held, body...)
	c.held = nil
	if c.buf = frame[:0]; cap(frame) > keptBuffer {
		c.buf = nil
	}
	n, err := c.Conn.Write(frame)
	return max(0, n-headerSize), err
}
