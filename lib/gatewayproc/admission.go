package gatewayproc

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/membudget"
)

// connectionBytes is the memory that a caller's connection takes: buffers and stacks.
const connectionBytes = 24 << 10

var connectionsRefused = metrics.NewCounter(`anvilwick_gateway_connections_refused_total`)

// admittingListener closes new connections while the instance has no memory for them. Callers connect to another instance then; without it the
// connections end the process, and all requests in progress with it.
type admittingListener struct {
	net.Listener
	memory      *membudget.Budget
	headTimeout func() time.Duration // bounds reading the head of a request
}

// Accept implements net.Listener.
func (l admittingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.memory.Admit(connectionBytes, membudget.Connection) {
			return newCallerConn(c, l.memory, l.headTimeout), nil
		}
		connectionsRefused.Inc()
		_ = c.Close()
	}
}
