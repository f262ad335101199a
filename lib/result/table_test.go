package result

import (
	"bytes"
	"flag"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/doctest"
)

var update = flag.Bool("update", false, "rewrite the tables in docs")

const codesPage = "../../docs/RESULT-CODES.md"

func TestDocsListEveryCode(t *testing.T) {
	var want bytes.Buffer
	must.NoError(t, WriteTable(&want))
	must.NoError(t, doctest.CheckSection(codesPage, "codes", want.Bytes(), *update))
}

// outcomeOfGroup maps each group of numbers to its outcome.
var outcomeOfGroup = map[Code]Outcome{1: Completed, 2: NotRun, 3: NotRun, 4: FailedRan, 5: OutcomeUnknown}

func TestTableIsConsistent(t *testing.T) {
	var last Code
	names := map[string]bool{}
	for _, in := range Table {
		must.Greater(t, last, in.Code)
		last = in.Code
		must.Eq(t, outcomeOfGroup[in.Code/1000], in.Outcome, must.Sprint(in.Name))
		must.False(t, names[in.Name], must.Sprint(in.Name))
		names[in.Name] = true
		must.NotEq(t, "", in.RetryAdvice.String())
		must.NotEq(t, "", in.Text)
		must.Eq(t, in, Lookup(in.Code))
	}
}

// A code must never advise a plain retry of a request that may have run.
func TestPlainRetryNeverAdvisedWhenRequestMayHaveRun(t *testing.T) {
	for _, in := range Table {
		if in.Outcome == OutcomeUnknown || in.Outcome == FailedRan {
			must.NotEq(t, RetryLater, in.RetryAdvice, must.Sprint(in.Name))
		}
	}
}
