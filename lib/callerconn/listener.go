// Package callerconn accepts connections of callers within the memory of the process.
//
// A server bounds what each connection may hold, but not the sum: callers that open many connections, or send large heads on those that are
// open, would end the process and all requests in progress with it. Connections and heads for which there is no memory are refused in
// ways that let callers repeat their requests elsewhere: nothing has run.
package callerconn

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/membudget"
)

// connectionBytes is the memory that a connection takes: buffers and stacks.
const connectionBytes = 24 << 10

// waitInterval is the shortest time between two waits for memory for a connection.
const waitInterval = 500 * time.Millisecond

// Listener accepts connections while there is memory for them, and refuses the first request of others.
type Listener struct {
	net.Listener
	Memory *membudget.Budget
	// Few says that few connections are expected, of balancers and operators. They are accepted while there is memory for small requests.
	Few bool
	// HeadTimeout returns how long the head of a request may take to arrive; nil: the server alone bounds it.
	HeadTimeout func() time.Duration
	// ConnsRefused counts the connections that were closed, HeadsRefused the heads that were refused.
	ConnsRefused, HeadsRefused *metrics.Counter

	open          atomic.Int64 // connections accepted and not closed
	refusals      atomic.Int64 // connections whose first request is being refused
	headsArriving atomic.Int64 // heads of which a part has come
	headsWaiting  atomic.Int64 // of those, heads that wait for memory
	receive       int          // bytes, of the listener's receive buffer; 0: not set
	waitedAt      time.Time    // when memory for a connection was last awaited
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.boundQueue()
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return newConn(c, l), nil
		}
		l.ConnsRefused.Inc()
		l.refuseConn(c)
	}
}

// admit reports whether there is memory for a connection. Those that came just before count by an estimate until they are measured: the first that it
// leaves no memory for waits for that. The others are refused without a wait, since each would delay all that follow.
func (l *Listener) admit() bool {
	if l.Memory.Admit(connectionBytes, l.priority()) {
		return true
	}
	if time.Since(l.waitedAt) < waitInterval {
		return false
	}
	time.Sleep(membudget.MeasureInterval)
	l.waitedAt = time.Now()
	return l.Memory.Admit(connectionBytes, l.priority())
}

func (l *Listener) priority() membudget.Priority {
	if l.Few {
		return membudget.Small
	}
	return membudget.Connection
}

// OnState is to be called with each state that the server gives a connection, as its ConnState hook.
func OnState(c net.Conn, s http.ConnState) {
	if cc, ok := c.(*conn); ok {
		cc.setState(s)
	}
}
