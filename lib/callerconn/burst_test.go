package callerconn

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/membudget"
)

// heldMemory is a memory of which a part is in use, and in which heads count until they are collected after their refusal.
type heldMemory struct {
	used    int64
	mu      sync.Mutex
	held    int64 // bytes of heads
	garbage int64 // bytes of heads that were refused
}

func (m *heldMemory) InUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used + m.held + m.garbage
}

func (m *heldMemory) Mapped() int64 { return 0 }

func (m *heldMemory) Collect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.garbage = 0
}

// add counts a part of a head.
func (m *heldMemory) add(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held += n
}

// refuse makes garbage of a head.
func (m *heldMemory) refuse(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
	m.garbage += n
}

// Guards against a burst of large heads of which none is served though there is memory for some: they arrive in pieces, together take all memory before
// any is complete, and each is refused.
func TestSomeHeadsOfABurstAreServed(t *testing.T) {
	const (
		heads     = 400
		inUse     = 45 << 20 // of 100 MiB, which leaves room for some thirty heads
		line      = 60
		piece     = 2 << 10
		untilNext = 2 * time.Millisecond
	)
	m := &heldMemory{used: inUse}
	l := newListener(nil, 0, time.Minute)
	l.Memory = membudget.NewOf(100<<20, m)
	head := []byte(largeRequest(line))
	var served atomic.Int32
	var arriving sync.WaitGroup
	for range heads {
		c := &conn{from: l}
		c.setState(http.StateNew)
		arriving.Go(func() {
			for p := range slices.Chunk(head, piece) {
				before := c.cost
				if !c.admit(p) {
					m.refuse(before)
					return
				}
				m.add(c.cost - before)
				time.Sleep(untilNext)
			}
			served.Add(1)
		})
	}
	arriving.Wait()
	t.Log("served", served.Load())
	must.Positive(t, served.Load())
}

// Guards against a large head that waits for memory which no other head will give back: its caller is refused at once and has more time elsewhere.
func TestSoleLargeHeadIsRefusedAtOnce(t *testing.T) {
	c := &conn{from: newListener(nil, bulkRefused, time.Minute)}
	c.setState(http.StateNew)
	began := time.Now()
	must.False(t, c.admit([]byte(largeRequest(60))))
	must.Less(t, headMemoryWait, time.Since(began))
}
