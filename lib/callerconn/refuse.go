package callerconn

import (
	"net"
	"time"
)

const (
	// refusalBytes is the memory that refusing a connection takes, and refusalShare the part of the memory for all at once.
	refusalBytes = 8 << 10
	refusalShare = 0.05
	// connRequestTimeout bounds how long the first part of a request is awaited that will be refused: a response that arrives before its request is not
	// one to it.
	connRequestTimeout = 2 * time.Second
	// connDrainTimeout bounds how long the rest of the request is read, and discarded.
	connDrainTimeout = 2 * time.Second
)

// refuseConn refuses the first request of a connection. Closing a connection whose request has arrived would reset it: its caller could not know that nothing
// has run. Where too many are being refused, it is closed all the same.
func (l *Listener) refuseConn(nc net.Conn) {
	c, ok := newConn(nc, l).(*conn)
	switch {
	case !ok:
		_ = nc.Close()
	case !l.beginRefusal():
		_ = c.close()
	default:
		go func() {
			defer l.refusals.Add(-1)
			c.refuseFirst()
		}()
	}
}

// beginRefusal reports whether one more refusal is within their part of the memory, and counts it.
func (l *Listener) beginRefusal() bool {
	if l.refusals.Add(1)*refusalBytes <= l.Memory.Share(refusalShare) {
		return true
	}
	l.refusals.Add(-1)
	return false
}

// refuseFirst refuses the first request, if one arrives.
func (c *conn) refuseFirst() {
	var first [1]byte
	err := c.SetReadDeadline(time.Now().Add(connRequestTimeout))
	if err == nil {
		_, err = c.TCPConn.Read(first[:])
	}
	if err != nil {
		_ = c.close()
		return
	}
	c.refuse(connDrainTimeout)
}
