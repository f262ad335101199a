package entry

import (
	"errors"
	"maps"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/target"
)

// errBackedOff ends an attempt, unsent, at an engine whose Retry-After has not passed yet.
var errBackedOff = errors.Join(target.ErrNotSent, errors.New("the engine wants nothing from this entry for now"))

// backoffs holds the engines that refused an attempt of this entry with a Retry-After, and when that time ends.
type backoffs struct {
	mu        sync.Mutex
	until     map[string]time.Time
	lastSweep time.Time
}

// backoffSweepInterval is the interval for removing expired entries; many engines never return under the same name.
const backoffSweepInterval = time.Second

func newBackoffs() *backoffs { return &backoffs{until: make(map[string]time.Time)} }

// observe records the Retry-After of a refused attempt.
func (b *backoffs) observe(now time.Time, engine string, cause error) {
	var refusal *target.RefusedError
	if !errors.As(cause, &refusal) || refusal.RetryAfter <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastSweep) > backoffSweepInterval {
		maps.DeleteFunc(b.until, func(_ string, until time.Time) bool { return !now.Before(until) })
		b.lastSweep = now
	}
	b.until[engine] = now.Add(refusal.RetryAfter)
}

// active reports whether an engine's Retry-After has not passed yet.
func (b *backoffs) active(now time.Time, engine string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[engine])
}
