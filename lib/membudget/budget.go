// Package membudget decides whether a process has memory for data whose size its peers choose: bodies of requests and
// responses, events, connections.
//
// A process that exceeds its memory is killed, with all requests that it carries. Each peer's data may be within its own
// limit while the sum is not, so that each buffer for such data is requested here. What is refused is the caller's to answer
// for: a request can be rejected before it is read, a response forwarded without being buffered.
//
// The decision compares the memory that the process uses with a share of its limit. Buffers are not returned to the
// budget: the garbage collector frees them, and the next measurement shows it.
package membudget

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
)

const (
	// smallBuffer is the size in bytes of the largest buffer that counts as small.
	smallBuffer = 64 << 10
	// smallGrowth is the size in bytes of the largest buffer that counts as small if it grows with the data of a peer who has not stated a length: many
	// that grow to smallBuffer would take the memory that is left for small requests.
	smallGrowth = 16 << 10
	// collectInterval is the shortest time between two collections that a refusal would cause.
	collectInterval = 500 * time.Millisecond
)

// MeasureInterval is how long a measurement is used; what was granted since is added to it.
const MeasureInterval = 50 * time.Millisecond

var (
	granted = vm.NewCounter(`anvilwick_memory_granted_bytes_total`)
	refused = vm.NewCounter(`anvilwick_memory_refused_total`)
)

// Memory measures the memory of the process and frees what is not in use.
type Memory interface {
	// InUse returns the bytes that the process uses, unreachable objects that have not been freed included.
	InUse() int64
	// Collect frees unreachable objects.
	Collect()
}

// Budget grants memory. It is safe for concurrent use. A nil Budget grants everything.
type Budget struct {
	limit      int64 // bytes at which the process is killed
	memory     Memory
	onPressure func(p Pressure, used, limit int64)

	mu         sync.Mutex
	measured   int64 // bytes in use at measuredAt
	measuredAt time.Time
	added      int64            // bytes granted since
	pressure   Pressure         // at measuredAt
	held       map[string]int64 // bytes of open accounts at priority Bulk, by owner
	heldTotal  int64

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
func NewOf(limit int64, memory Memory) *Budget {
	return &Budget{limit: limit, memory: memory, held: make(map[string]int64)}
}

// Priority is a class of demand. Each has a part of the limit up to which the process may use memory when it is granted: peers that send much must not
// keep those that send little from being served, nor new connections those that are open. The rest is for the program itself, socket
// buffers, and what the collector has not freed yet.
type Priority uint8

// Priorities, the lowest first.
const (
	Bulk       Priority = iota // large buffers, and what one peer requests beyond a small amount
	Connection                 // new connections
	Small                      // small buffers and requests
)

var priorityShares = [...]float64{Bulk: 0.55, Connection: 0.65, Small: 0.7}

// sizePriority returns the priority of a buffer of n bytes, of which small is the largest that counts as small.
func sizePriority(n, small int64) Priority {
	if n <= small {
		return Small
	}
	return Bulk
}

// collectorShare is the part of the limit beyond which the garbage collector works harder to stay below it.
const collectorShare = 0.6

// LimitCollector sets the garbage collector's soft limit for a process that is killed at limit bytes; 0: there is no limit.
func LimitCollector(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(limit)))
	}
}

// Alloc returns a buffer of n bytes; ok is false if the process has no memory for it.
func (b *Budget) Alloc(n int64) (buf []byte, ok bool) {
	return b.alloc(n, sizePriority(n, smallBuffer))
}

// Grow is like Alloc, for a buffer that replaces a smaller one as its data arrives.
func (b *Budget) Grow(n int64) (buf []byte, ok bool) { return b.alloc(n, sizePriority(n, smallGrowth)) }

func (b *Budget) alloc(n int64, p Priority) (buf []byte, ok bool) {
	if b == nil {
		return make([]byte, n), true
	}
	ok = b.grant(func() bool {
		if !b.add(n, p) {
			return false
		}
		buf = make([]byte, n) // before the next measurement, which would miss it otherwise
		return true
	})
	return buf, ok
}

// Admit reports whether the process has memory for n bytes more that it will use soon.
func (b *Budget) Admit(n int64, p Priority) bool {
	return b == nil || b.grant(func() bool { return b.add(n, p) })
}

// Share returns a part of the limit in bytes. Without a limit it is more than any process has.
func (b *Budget) Share(part float64) int64 {
	if b == nil {
		return math.MaxInt64
	}
	return int64(part * float64(b.limit))
}

// Fits reports whether the process has memory for n bytes that are counted already, or may never be used.
func (b *Budget) Fits(n int64, p Priority) bool {
	return b == nil || b.grant(func() bool { return b.free(p) >= n })
}

// grant reports whether try succeeds, which it calls with the lock held; a second time, if it fails, after unreachable objects were freed.
func (b *Budget) grant(try func() bool) bool {
	locked := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return try()
	}
	if locked() {
		return true
	}
	b.collect()
	ok := locked()
	if !ok {
		refused.Inc()
	}
	return ok
}

// add counts n bytes if the process has memory for them. b.mu must be held.
func (b *Budget) add(n int64, p Priority) bool {
	if b.free(p) < n {
		return false
	}
	b.added += n
	granted.AddInt64(n)
	return true
}

// free returns the memory left for a priority. b.mu must be held.
func (b *Budget) free(p Priority) int64 {
	if now := time.Now(); now.Sub(b.measuredAt) >= MeasureInterval {
		b.measuredAt = now
		b.measure()
	}
	return int64(priorityShares[p]*float64(b.limit)) - b.measured - b.added
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
