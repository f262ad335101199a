package tunnel

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/membudget"
)

// A connection whose data nobody takes holds up to the window of its stream. Hundreds of them hold more than a process has, so that those that stall are
// reset while memory is short, beyond a number that always fits.
const (
	// stallTimeout is the time without progress after which a connection stalls, and stallInterval the period at which it asks for memory then.
	stallTimeout  = 10 * time.Millisecond
	stallInterval = 100 * time.Millisecond
	// resetInterval is the shortest time between two resets: what the first has freed must show before the next is judged.
	resetInterval = 20 * time.Millisecond
	// stallBytes is the memory that a connection which stalls holds at most: the window of its stream, 256 KB, in a buffer that grows by doubling.
	stallBytes = 512 << 10
	// stallShare is the part of the process's memory for connections that stall because a target reads nothing.
	stallShare = 0.15
)

var resetTotal = metrics.NewCounter(`anvilwick_tunnel_stalled_resets_total`)

// errNoMemory ends a connection that stalls while there is no memory for it.
var errNoMemory = errors.New("tunnel: no memory for a stalled connection")

// stalls bounds the memory of connections that stall.
type stalls struct {
	memory *membudget.Budget

	mu      sync.Mutex
	count   int // connections that stall now and always fit
	resetAt time.Time
}

// enter reports whether one more connection may stall whatever memory is in use; leave ends that.
func (s *stalls) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int64(s.count+1)*stallBytes > s.memory.Share(stallShare) {
		return false
	}
	s.count++
	return true
}

func (s *stalls) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count--
}

// write writes data to a connection, and gives up if that stalls while memory is short and others stall already.
func (s *stalls) write(conn net.Conn, data []byte) error {
	timeout, entered := stallTimeout, false
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		n, err := conn.Write(data)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		data = data[n:]
		if !entered && s.enter() {
			entered = true
			defer s.leave()
		}
		if !entered && !s.mayWait() {
			return errNoMemory
		}
		timeout = stallInterval
	}
}

// mayWait reports whether a connection may go on stalling: the process has memory, or another has just been reset for want of it.
func (s *stalls) mayWait() bool {
	if s.memory.Fits(stallBytes, membudget.Bulk) {
		return true
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.resetAt) < resetInterval {
		return true
	}
	s.resetAt = now
	resetTotal.Inc()
	return false
}
