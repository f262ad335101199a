package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/target"
)

// Engines that asked for a back-off come and go under new names for as long as an entry lives. Expired entries of engines
// that were never used again must be removed, or the map grows without bound.
func TestRestsThatAreOverAreDropped(t *testing.T) {
	r := newRests()
	now := time.Now()
	for i := range 100 {
		now = now.Add(restsSweep / 2)
		engine := fmt.Sprint("engine-", i)
		r.note(now, engine, &target.RefusedError{RetryAfter: restsSweep})
		must.True(t, r.on(now.Add(restsSweep/2), engine))
	}
	must.False(t, r.on(now.Add(restsSweep), "engine-99"))
	must.LessEq(t, 5, len(r.until))
}
