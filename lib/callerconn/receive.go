package callerconn

import (
	"math/bits"
	"syscall"

	"anvilwick.example/anvilwick/lib/listen"
	"anvilwick.example/anvilwick/lib/sockbuf"
)

// Receive buffers of callers' connections: the part of the memory that the open ones share, and the bounds of each in bytes.
const (
	receiveShare = 0.05
	minReceive   = 2 << 10
	maxReceive   = 16 << 10
)

// Connections that were not accepted yet: the part of the memory that their bytes may take, and the bound on their number where the memory is large.
const (
	backlogShare = 0.15
	maxBacklog   = 4096
	fewBacklog   = 128 // where few connections are expected
)

// backlog returns the number of connections that may wait to be accepted within a part of the memory. The kernel takes up to twice their receive buffers.
func (l *Listener) backlog(shared int64) int {
	most := int64(maxBacklog)
	if l.Few {
		most = fewBacklog
	}
	return int(min(shared/int64(2*l.receive), most))
}

// receiveSize returns the receive buffer in bytes of the next connection where open ones share a number of bytes. It is a power of two, so that it seldom
// changes.
func receiveSize(shared int64, open int) int {
	each := min(max(shared/int64(max(open, 1)), minReceive), maxReceive)
	return 1 << (bits.Len64(uint64(each)) - 1)
}

// boundQueue bounds the connections that wait to be accepted, and the receive buffer of those that arrive from now on. Those that are open keep theirs: a
// window that a peer was granted can't be taken back.
func (l *Listener) boundQueue() {
	ln, ok := l.Listener.(syscall.Conn)
	if !ok || l.Memory == nil {
		return
	}
	size := receiveSize(l.Memory.Share(receiveShare), int(l.open.Load()))
	if size == l.receive {
		return
	}
	l.receive = size
	// On failure the listener is closed.
	_ = sockbuf.SetReceive(ln, size)
	_ = listen.SetBacklog(ln, l.backlog(l.Memory.Share(backlogShare)))
}
