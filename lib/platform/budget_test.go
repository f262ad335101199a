package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platform"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// The caller's deadline is in 10 ms and the next token comes in 500 ms, or the caller has time and the budget has no token. If both
// errors named the budget, operators would raise a limit that was not the cause.
func TestBudgetErrorNamesDeadlineOrBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := start(t, standin.Config{}, platform.Config{ReadsPerSec: 2, BudgetWait: 600 * time.Millisecond})
		_, _, err := c.Get(t.Context(), "a")
		must.NoError(t, err)
		short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, _, err = c.Get(short, "a")
		must.ErrorContains(t, err, "context deadline exceeded")
		must.StrNotContains(t, err.Error(), "is spent")
		time.Sleep(20 * time.Millisecond)
		_, _, err = c.Get(short, "a")
		must.ErrorContains(t, err, "context deadline exceeded")
		must.StrNotContains(t, err.Error(), "is spent")

		_, spent := start(t, standin.Config{}, platform.Config{ReadsPerSec: 0.1})
		_, _, err = spent.Get(t.Context(), "a")
		must.NoError(t, err)
		_, _, err = spent.Get(t.Context(), "a")
		must.ErrorContains(t, err, "the budget for the platform is spent")
	})
}
