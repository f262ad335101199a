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
func TestExpiredBackoffsRemoved(t *testing.T) {
	r := newBackoffs()
	now := time.Now()
	for i := range 100 {
		now = now.Add(backoffSweepInterval / 2)
		engine := fmt.Sprint("engine-", i)
		r.observe(now, engine, &target.RefusedError{RetryAfter: backoffSweepInterval})
		must.True(t, r.active(now.Add(backoffSweepInterval/2), engine))
	}
	must.False(t, r.active(now.Add(backoffSweepInterval), "engine-99"))
	must.LessEq(t, 5, len(r.until))
}
