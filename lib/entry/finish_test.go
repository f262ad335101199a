package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/result"
)

// Whichever step failed last, the caller is told "not run" exactly when no engine can have run any part.
func TestCorrectOutcome(t *testing.T) {
	must.Nil(t, correctOutcome(&generation{mayHaveRun: true}, nil))
	for _, in := range result.Table {
		if in.Outcome == result.Completed || in.Code == result.CallerGone || in.Code == result.InvariantBroken {
			continue
		}
		ran := correctOutcome(&generation{mayHaveRun: true}, result.New(in.Code, "x"))
		must.NotEq(t, result.NotRun, result.Lookup(ran.Code).Outcome, must.Sprintf("%s after a run", in.Name))
	}
	for from, to := range map[result.Code]result.Code{
		result.TargetFailed:   result.NoTarget,
		result.DeadlinePassed: result.DeadlineTooNear,
		result.QueueFull:      result.QueueFull,
	} {
		must.Eq(t, to, correctOutcome(&generation{}, result.New(from, "x")).Code)
	}
}
