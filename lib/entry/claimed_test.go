package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/result"
)

// A caller sends its key again long after the first request completed, and the answer was too large to keep. Told
// "not run", it would send the work under a new key and have it done twice.
func TestResendWithoutAKeptAnswerIsToldThatItCompleted(t *testing.T) {
	err := retold(&claim.Summary{Code: result.OK})
	must.EqOp(t, result.AnswerGone, err.Code)
	must.EqOp(t, result.Completed, result.Lookup(err.Code).Outcome)
}
