// Package membudget decides whether a process has memory for data whose size its peers choose: bodies of requests and
// responses, events.
//
// A process that exceeds its memory is killed, with all requests that it carries. Each peer's data may be within its own
// limit while the sum is not, so that each buffer for such data is requested here. What is refused is the caller's to answer
// for: a request can be rejected before it is read, a response forwarded without being buffered.
//
// The decision compares the memory that the process uses with a share of its limit. Buffers are not returned to the
// budget: the garbage collector frees them, and the next measurement shows it.
package membudget

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
)

const (
	// largeShare is the part of the limit up to which the process may use memory when a large buffer is added, and smallShare
	// that for small ones: peers with large bodies must not keep those with small ones from being served. The rest is for the
	// program itself, socket buffers, and what the collector has not freed yet.
	largeShare = 0.55
	smallShare = 0.7
	// smallBuffer is the size in bytes of the largest buffer that counts as small.
	smallBuffer = 64 << 10
	// measureInterval is how long a measurement is used; buffers allocated since are added to it.
	measureInterval = 50 * time.Millisecond
	// collectInterval is the shortest time between two collections that a refusal would cause.
	collectInterval = 500 * time.Millisecond
)

var (
	allocated = vm.NewCounter(`anvilwick_memory_buffer_bytes_total`)
	refused   = vm.NewCounter(`anvilwick_memory_buffers_refused_total`)
)

// Memory measures the memory of the process and frees what is not in use.
type Memory interface {
	// InUse returns the bytes that the process uses, unreachable objects that have not been freed included.
	InUse() int64
	// Collect frees unreachable objects.
	Collect()
}

// Budget grants buffers. It is safe for concurrent use. A nil Budget grants every buffer.
type Budget struct {
	limit  int64 // bytes at which the process is killed
	memory Memory

	mu         sync.Mutex
	measured   int64 // bytes in use at measuredAt
	measuredAt time.Time
	added      int64 // bytes of the buffers granted since

	collecting  sync.Mutex
	collectedAt time.Time // guarded by collecting
}

// New returns the budget of this process, which is killed at limit bytes. It is nil if there is no limit.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return NewOf(limit, goMemory{})
}

// NewOf returns a budget of limit bytes of a memory.
func NewOf(limit int64, memory Memory) *Budget { return &Budget{limit: limit, memory: memory} }

// Alloc returns a buffer of n bytes; ok is false if the process has no memory for it.
func (b *Budget) Alloc(n int64) (buf []byte, ok bool) {
	if b == nil {
		return make([]byte, n), true
	}
	if buf, ok = b.tryAlloc(n); ok {
		return buf, true
	}
	b.collect()
	if buf, ok = b.tryAlloc(n); !ok {
		refused.Inc()
	}
	return buf, ok
}

// tryAlloc allocates while it holds the lock, so that a measurement never misses a granted buffer.
func (b *Budget) tryAlloc(n int64) (buf []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.measuredAt) >= measureInterval {
		b.measured, b.measuredAt, b.added = b.memory.InUse(), now, 0
	}
	if b.measured+b.added+n > b.ceiling(n) {
		return nil, false
	}
	b.added += n
	allocated.AddInt64(n)
	return make([]byte, n), true
}

// ceiling returns the bytes that the process may use after a buffer of n bytes was added.
func (b *Budget) ceiling(n int64) int64 {
	if n <= smallBuffer {
		return int64(smallShare * float64(b.limit))
	}
	return int64(largeShare * float64(b.limit))
}

// collect frees unreachable objects, unless that has just been done. Calls at the same time share one collection.
func (b *Budget) collect() {
	b.collecting.Lock()
	defer b.collecting.Unlock()
	if time.Since(b.collectedAt) < collectInterval {
		return
	}
	b.memory.Collect()
	b.collectedAt = time.Now()
	b.mu.Lock()
	b.measuredAt = time.Time{}
	b.mu.Unlock()
}

// goMemory is the memory of the Go runtime.
type goMemory struct{}

// Names of the runtime's metrics.
const (
	totalBytes    = "/memory/classes/total:bytes"
	releasedBytes = "/memory/classes/heap/released:bytes"
	freeBytes     = "/memory/classes/heap/free:bytes"
)

// InUse implements Memory.
func (goMemory) InUse() int64 {
	s := []metrics.Sample{{Name: totalBytes}, {Name: releasedBytes}, {Name: freeBytes}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64() - s[1].Value.Uint64() - s[2].Value.Uint64())
}

// Collect implements Memory.
func (goMemory) Collect() { runtime.GC() }
