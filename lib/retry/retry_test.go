package retry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/retry"
)

var t0 = time.Unix(1_700_000_000, 0)

// When every target fails, one request in ten is retried, so retries add a tenth to the load instead of multiplying it. The
// budget grows with first attempts only.
func TestBudgetBoundsAddedLoad(t *testing.T) {
	b := retry.NewBudgets(retry.BudgetConfig{Window: 10 * time.Second, Idle: time.Minute})
	retries := 0
	now := t0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		b.Deposit(now, "roads", 0.1)
		if ok, _ := b.Take(now, "roads"); ok {
			retries++
		}
	}
	must.Between(t, 990, retries, 1002)
}

func TestBudgetsAreSeparatePerWorkspace(t *testing.T) {
	b := retry.NewBudgets(retry.DefaultBudgetConfig)
	for range 100 {
		b.Deposit(t0, "roads", 0.2)
	}
	for range 3 {
		b.Take(t0, "claims")
	}
	ok, _ := b.Take(t0, "roads")
	must.True(t, ok)
}

func TestFloorAllowsIdleWorkspaceToRetry(t *testing.T) {
	b := retry.NewBudgets(retry.DefaultBudgetConfig)
	ok, _ := b.Take(t0, "roads")
	must.True(t, ok)
	ok, wait := b.Take(t0, "roads")
	must.False(t, ok)
	must.Eq(t, 2*time.Second, wait)
	ok, _ = b.Take(t0.Add(wait), "roads")
	must.True(t, ok)
}

func TestPlanBoundsAttemptsAndDeadline(t *testing.T) {
	b := retry.NewBudgets(retry.BudgetConfig{FloorPerSecond: 100, Window: time.Second, Idle: time.Minute})
	p := retry.Plan{Workspace: "roads", MaxAttempts: 2, Deadline: t0.Add(time.Second), MinRun: 100 * time.Millisecond}
	must.Nil(t, p.Next(t0, b))
	must.Eq(t, time.Second, p.Remaining(t0))
	must.Nil(t, p.Next(t0.Add(500*time.Millisecond), b))
	must.Eq(t, result.RetryBudget, p.Next(t0.Add(600*time.Millisecond), b).Code)

	late := retry.Plan{Workspace: "roads", MaxAttempts: 5, Deadline: t0.Add(time.Second), MinRun: 100 * time.Millisecond}
	must.Nil(t, late.Next(t0, b))
	must.Eq(t, result.DeadlineTooNear, late.Next(t0.Add(950*time.Millisecond), b).Code)
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := 1; n < 40; n++ {
		must.Less(t, 500*time.Millisecond, retry.DefaultBackoff.Delay(rng, n))
	}
}

func TestEnterRefusesSecondLayer(t *testing.T) {
	ctx, err := retry.Enter(context.Background())
	must.NoError(t, err)
	_, err = retry.Enter(ctx)
	must.ErrorIs(t, err, retry.ErrNested)
}

// A single layer retries, within the workspace's budget and the caller's deadline.
func Example() {
	budgets := retry.NewBudgets(retry.DefaultBudgetConfig)
	now := time.Unix(0, 0)
	plan := retry.Plan{Workspace: "roads", MaxAttempts: 3, Deadline: now.Add(2 * time.Second)}
	budgets.Deposit(now, plan.Workspace, 0.1)
	for {
		if err := plan.Next(now, budgets); err != nil {
			fmt.Println("give up:", err.Code, "come back in", err.RetryAfter)
			return
		}
		fmt.Println("attempt", plan.Attempt, "may take", plan.Remaining(now))
		now = now.Add(100 * time.Millisecond) // it failed
	}
	// Output:
	// attempt 1 may take 2s
	// attempt 2 may take 1.9s
	// give up: 3006 come back in 1.6s
}
