package result

import (
	"bytes"
	"flag"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/doctest"
)

var update = flag.Bool("update", false, "write the tables of docs anew")

const codesPage = "../../docs/RESULT-CODES.md"

func TestDocsListEveryCode(t *testing.T) {
	var want bytes.Buffer
	must.NoError(t, WriteTable(&want))
	must.NoError(t, doctest.Keep(codesPage, "codes", want.Bytes(), *update))
}

// thousands is the outcome that each group of numbers promises.
var thousands = map[Code]Outcome{1: Completed, 2: NotRun, 3: NotRun, 4: FailedRan, 5: OutcomeUnknown}

func TestTableIsConsistent(t *testing.T) {
	var last Code
	names := map[string]bool{}
	for _, in := range Table {
		must.Greater(t, last, in.Code)
		last = in.Code
		must.Eq(t, thousands[in.Code/1000], in.Outcome, must.Sprint(in.Name))
		must.False(t, names[in.Name], must.Sprint(in.Name))
		names[in.Name] = true
		must.NotEq(t, "", in.RetryAdvice.String())
		must.NotEq(t, "", in.Text)
		must.Eq(t, in, Lookup(in.Code))
	}
}

// A caller that may have been run must never be told by a number to send it again as if it had not.
func TestUnknownOutcomesAreNotAskedAgainFreely(t *testing.T) {
	for _, in := range Table {
		if in.Outcome == OutcomeUnknown || in.Outcome == FailedRan {
			must.NotEq(t, RetryLater, in.RetryAdvice, must.Sprint(in.Name))
		}
	}
}
