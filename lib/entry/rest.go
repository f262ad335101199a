package entry

import (
	"errors"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/target"
)

// errResting ends an attempt that was not sent.
var errResting = errors.Join(target.ErrNotSent, errors.New("the engine wants nothing from this entry for now"))

// rests are the engines that have turned attempts of this entry away and named a time for which they want no others.
type rests struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newRests() *rests { return &rests{until: make(map[string]time.Time)} }

// note takes in how an attempt on an engine failed.
func (r *rests) note(now time.Time, engine string, cause error) {
	var refusal *target.RefusedError
	if !errors.As(cause, &refusal) || refusal.RetryAfter <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until[engine] = now.Add(refusal.RetryAfter)
}

// on reports whether an engine rests.
func (r *rests) on(now time.Time, engine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[engine]
	if ok && !now.Before(until) {
		delete(r.until, engine)
	}
	return ok && now.Before(until)
}
