package entry

import (
	"errors"
	"maps"
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
	swept time.Time
}

// restsSweep is how often engines whose time is over are dropped, of which many never come back under their name.
const restsSweep = time.Second

func newRests() *rests { return &rests{until: make(map[string]time.Time)} }

// note takes in how an attempt on an engine failed.
func (r *rests) note(now time.Time, engine string, cause error) {
	var refusal *target.RefusedError
	if !errors.As(cause, &refusal) || refusal.RetryAfter <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.swept) > restsSweep {
		maps.DeleteFunc(r.until, func(_ string, until time.Time) bool { return !now.Before(until) })
		r.swept = now
	}
	r.until[engine] = now.Add(refusal.RetryAfter)
}

// on reports whether an engine rests.
func (r *rests) on(now time.Time, engine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until[engine])
}
