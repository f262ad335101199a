package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/sched"
)

// tickCounter is a policy that counts ticks; its other methods are not called.
type tickCounter struct {
	sched.Policy
	ticks int
}

func (c *tickCounter) Tick(sched.Time, []sched.Action) []sched.Action {
	c.ticks++
	return nil
}

// SetTick changes the interval both before and while a Runner runs.
func TestSetTickChangesInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &tickCounter{}
		r := NewRunner(c)
		r.SetTick(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx, time.Millisecond)
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		must.Between(t, 10, c.ticks, 11)
		c.ticks = 0
		r.SetTick(20 * time.Millisecond)
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		must.Between(t, 50, c.ticks, 51)
		cancel()
		synctest.Wait()
	})
}
