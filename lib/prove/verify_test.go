package prove

import (
	"bytes"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

// validHistory returns a valid history of a short run: a stream, a keyed call sent twice, settings committed and observed.
func validHistory() []history.Op {
	prompt := "operation 0 of seed 1 [len=3]"
	rec := newStreamRecord(operation{index: 0}, 0, prompt)
	for i := range 3 {
		rec.token(caller.Token{Index: i, Text: engine.TokenText(prompt, "generation", i)})
	}
	rec.end(3)
	claim := func(action, request, outcome, value string, call, ret int64) history.Op {
		return history.Op{
			Model: history.ModelClaim, Object: "book-1", Action: action, Client: int(call),
			Request: request, Outcome: outcome, Value: value, Call: call, Return: ret,
		}
	}
	settings := func(action, node string, number uint64, value string, at int64) history.Op {
		return history.Op{
			Model: history.ModelSettings, Object: settingsObject, Action: action, Outcome: history.Yes,
			Request: node, Number: number, Value: value, Call: at, Return: at + 1,
		}
	}
	return append(rec.ops,
		claim(history.Reply, "book-1.0", history.Completed, "book-1.0", 1, 5),
		claim(history.Reply, "book-1.1000", history.Completed, "book-1.0", 2, 9),
		claim(history.Reply, "book-1.1001", history.NotRun, "", 3, 4),
		claim(history.Execute, "book-1.0", "", "book-1.0", 1, 99),
		settings(history.Apply, "", 1, "d1", 1),
		settings(history.Apply, "", 2, "d2", 10),
		settings(history.See, "entry-1", 2, "d2", 20),
	)
}

// Guards against a checker that accepts everything: each case corrupts one thing in a valid history, which then passes
// through the report of a run and through the check of its history file.
func TestEachViolationIsDetected(t *testing.T) {
	cases := map[string]func([]history.Op) []history.Op{
		"executed twice": func(ops []history.Op) []history.Op {
			again := ops[find(ops, history.Execute)]
			again.Client = -2
			return append(ops, again)
		},
		"executed under another request's name": func(ops []history.Op) []history.Op {
			again := ops[find(ops, history.Execute)]
			again.Request, again.Value = "book-1.1000", "book-1.1000"
			return append(ops, again)
		},
		"reported not run but executed": func(ops []history.Op) []history.Op {
			i := find(ops, history.Reply)
			ops[i].Outcome, ops[i].Value = history.NotRun, ""
			return ops
		},
		"reported completed without an execution": func(ops []history.Op) []history.Op {
			i := find(ops, history.Execute)
			return slices.Delete(ops, i, i+1)
		},
		"tokens swapped": func(ops []history.Op) []history.Op {
			ops[0].Number, ops[1].Number = ops[1].Number, ops[0].Number
			return ops
		},
		"token repeated":          func(ops []history.Op) []history.Op { ops[1].Number = 0; return ops },
		"token missing":           func(ops []history.Op) []history.Op { ops[3].Number = 4; return ops },
		"token of another prompt": func(ops []history.Op) []history.Op { ops[1].Value = "of another"; return ops },
		"settings reverted": func(ops []history.Op) []history.Op {
			old := ops[len(ops)-1]
			old.Number, old.Value, old.Call, old.Return = 1, "d1", 30, 31
			return append(ops, old)
		},
		"accepted settings lost": func(ops []history.Op) []history.Op {
			other := ops[len(ops)-2]
			other.Value, other.Call, other.Return = "e2", 14, 15
			return append(ops, other)
		},
		"uncommitted settings in force": func(ops []history.Op) []history.Op {
			ops[len(ops)-1].Number = 3
			return ops
		},
	}
	must.NoError(t, check(t, validHistory()))
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			must.ErrorIs(t, check(t, corrupt(validHistory())), ErrViolated)
		})
	}
}

func find(ops []history.Op, action string) int {
	return slices.IndexFunc(ops, func(op history.Op) bool { return op.Action == action })
}

// check reports a run that recorded ops, as Run does, and then checks the history file that it wrote.
func check(t *testing.T, ops []history.Op) error {
	t.Helper()
	var out bytes.Buffer
	r := &run{cfg: Config{History: filepath.Join(t.TempDir(), "history.jsonl"), Span: time.Second}, out: &out}
	r.history.AddAll(ops)
	err := r.report()
	must.Eq(t, err == nil, strings.HasSuffix(out.String(), "violations=0\n"), must.Sprint(out.String()))
	must.Eq(t, err == nil, checkFile(r.cfg.History, &out) == nil)
	return err
}

func TestTokenOrderIsReadFromText(t *testing.T) {
	prompt := "p [len=2]"
	cases := map[string][]string{
		"of another prompt":     {engine.TokenText(prompt, "g", 0), engine.TokenText("q", "g", 1)},
		"of another generation": {engine.TokenText(prompt, "g", 0), engine.TokenText(prompt, "h", 1)},
		"twice":                 {engine.TokenText(prompt, "g", 0), engine.TokenText(prompt, "g", 0)},
		"unreadable":            {engine.TokenText(prompt, "g", 0), "garbage"},
	}
	for name, texts := range cases {
		t.Run(name, func(t *testing.T) {
			rec := newStreamRecord(operation{}, 0, prompt)
			for i, text := range texts {
				rec.token(caller.Token{Index: i, Text: text}) // the index beside the text is always correct
			}
			must.SliceNotEmpty(t, Verify(rec.ops))
		})
	}
}

func TestStaleRevisionAfterLimitIsDetected(t *testing.T) {
	due := time.Unix(100, 0)
	observed := []observation{{"entry-1", 1, due.Add(-time.Second)}, {"entry-1", 1, due.Add(time.Millisecond)}}
	must.ErrorIs(t, checkRevision(observed, "entry-1", 2, due), errNotInForce)
	observed[1].revision = 2
	must.NoError(t, checkRevision(observed, "entry-1", 2, due))
}

func TestInvariantViolationInLogIsDetected(t *testing.T) {
	b := &proc.OutputScanner{Patterns: failurePatterns}
	_, _ = b.Write([]byte("time=x level=info event=listening\n"))
	must.SliceEmpty(t, b.Lines())
	_, _ = b.Write([]byte("time=x level=error event=invariant_broken name=claim_ended_twice\n"))
	must.Len(t, 1, b.Lines())
}
