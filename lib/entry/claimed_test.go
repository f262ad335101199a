package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/result"
)

// A caller resends its key long after the first request completed, and the answer was too large to keep. If it were told
// "not run", it would resend the work under a new key and have it done twice.
func TestResendWithoutStoredAnswerReportsCompleted(t *testing.T) {
	err := replayedError(&claim.Summary{Code: result.OK})
	must.EqOp(t, result.AnswerGone, err.Code)
	must.EqOp(t, result.Completed, result.Lookup(err.Code).Outcome)
}
