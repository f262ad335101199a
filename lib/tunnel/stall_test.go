package tunnel

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/membudget"
)

// fullMemory is a memory of which a part is in use.
type fullMemory int64

func (m fullMemory) InUse() int64 { return int64(m) }
func (m fullMemory) Collect()     {}

// Guards against connections whose targets read nothing, and whose sum exceeds the memory: those beyond it are given up, the others wait.
func TestStalledConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fit = 3
		s := &stalls{memory: membudget.NewOf(fit*stallBytes*100/15+100, fullMemory(0))}
		results := make(chan error, 10)
		var targets []net.Conn
		for range cap(results) {
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			targets = append(targets, far)
			go func() { results <- s.write(near, []byte("request")) }()
		}
		time.Sleep(time.Minute)
		must.Eq(t, cap(results)-fit, len(results))
		for range cap(results) - fit {
			must.ErrorIs(t, <-results, errNoMemory)
		}
		for _, far := range targets { // those that go on reading get everything
			go func() { _, _ = far.Read(make([]byte, 100)) }()
		}
		for range fit {
			must.NoError(t, <-results)
		}
		must.Zero(t, s.count)
	})
}

// Guards against connections given up although their targets read, however slowly and however many.
func TestSlowTargetsAreNoStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalls{memory: membudget.NewOf(1, fullMemory(0))} // memory for none
		near, far := net.Pipe()
		go func() {
			for buf := make([]byte, 1); ; time.Sleep(stallTimeout / 2) {
				if _, err := far.Read(buf); err != nil {
					return
				}
			}
		}()
		for range 100 {
			must.NoError(t, s.write(near, []byte{1}))
		}
		must.NoError(t, near.Close())
		time.Sleep(time.Second) // the reader ends
	})
}
