package e2e

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/standin/platform"
)

// Guards against a booking whose outcome is lost when the platform's table is restored from a copy: the caller gets "outcome
// unknown" for good. Bookings are in progress during the restore, and the entries keep running. Each booking is retried with its key until
// the answer is final, through one entry after another: it must be executed exactly once, whether or not the copy contains its claim.
func TestBookingsThroughACopyOfTheTable(t *testing.T) {
	site, ctx := startSite(t, 1, 3)
	c := newClient(site)
	// So dense that the outcomes of several are on the way at any moment of the restore.
	const bookings, spacing = 240, 10 * time.Millisecond
	var wg sync.WaitGroup
	errs := make([]error, bookings)
	for i := range bookings {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * spacing)
			key := fmt.Sprintf("copied-%d", i)
			if _, errs[i] = bookUntilFinal(ctx, c, key, i); errs[i] == nil {
				_, errs[i] = bookUntilFinal(ctx, c, key, i+1) // a resend through another entry
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	must.NoError(t, site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultRestore, DelayMS: 1000}))
	wg.Wait()
	must.NoError(t, errors.Join(errs...))
	for i := range bookings {
		n, err := executions(ctx, site, fmt.Sprintf("copied-%d", i))
		must.NoError(t, err)
		must.Eq(t, 1, n, must.Sprintf("copied-%d", i))
	}
}
