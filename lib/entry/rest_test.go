package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/target"
)

// Engines that rest come and go under new names for as long as an entry lives. Those whose time was over were kept for good where nobody
// asked for them again.
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
