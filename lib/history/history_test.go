package history

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// seq sets the model and object of operations and gives them consecutive times.
func seq(model, object string, ops ...Op) []Op {
	for i := range ops {
		ops[i].Model, ops[i].Object = model, object
		ops[i].Call, ops[i].Return = int64(10*i+1), int64(10*i+5)
	}
	return ops
}

// Guards against a checker that accepts everything: each invalid history violates one guarantee, next to a valid one.
func TestCheckRejectsInvalidHistories(t *testing.T) {
	cases := []struct {
		name string
		ops  []Op
		ok   bool
	}{
		{"one run, answer replayed", seq(ModelClaim, "k",
			Op{Action: Execute, Request: "a", Value: "x"},
			Op{Action: Reply, Request: "a", Outcome: Completed, Value: "x"},
			Op{Action: Reply, Request: "b", Outcome: Completed, Value: "x"}), true},
		{"duplicate run", seq(ModelClaim, "k",
			Op{Action: Execute, Request: "a", Value: "x"},
			Op{Action: Execute, Request: "b", Value: "y"}), false},
		{"run after reply not run", seq(ModelClaim, "k",
			Op{Action: Reply, Request: "a", Outcome: NotRun},
			Op{Action: Execute, Request: "a", Value: "x"}), false},
		{"reply not run after run", seq(ModelClaim, "k",
			Op{Action: Execute, Request: "a", Value: "x"},
			Op{Action: Reply, Request: "a", Outcome: NotRun}), false},
		{"answer of another run", seq(ModelClaim, "k",
			Op{Action: Execute, Request: "a", Value: "x"},
			Op{Action: Reply, Request: "a", Outcome: Completed, Value: "z"}), false},
		{"increasing fencing numbers", seq(ModelLease, "l",
			Op{Action: Use, Number: 3, Outcome: Yes},
			Op{Action: Use, Number: 7, Outcome: Yes},
			Op{Action: Use, Number: 3, Outcome: No}), true},
		{"stale fencing number accepted", seq(ModelLease, "l",
			Op{Action: Use, Number: 7, Outcome: Yes},
			Op{Action: Use, Number: 3, Outcome: Yes}), false},
		{"revisions in order", seq(ModelSettings, "s",
			Op{Action: Apply, Number: 1, Value: "d1", Outcome: Yes},
			Op{Action: Apply, Number: 2, Value: "d2", Outcome: Yes},
			Op{Action: See, Request: "i1", Number: 2, Value: "d2"}), true},
		{"reverted setting", seq(ModelSettings, "s",
			Op{Action: Apply, Number: 1, Value: "d1", Outcome: Yes},
			Op{Action: Apply, Number: 2, Value: "d2", Outcome: Yes},
			Op{Action: See, Request: "i1", Number: 2, Value: "d2"},
			Op{Action: See, Request: "i1", Number: 1, Value: "d1"}), false},
		{"concurrent commits of one revision", seq(ModelSettings, "s",
			Op{Action: Apply, Number: 1, Value: "d1", Outcome: Yes},
			Op{Action: Apply, Number: 1, Value: "e1", Outcome: Yes}), false},
		{"uncommitted revision in force", seq(ModelSettings, "s",
			Op{Action: See, Request: "i1", Number: 1, Value: "d1"}), false},
		{"complete stream", seq(ModelStream, "g",
			Op{Action: Token, Number: 0, Value: "g"}, Op{Action: Token, Number: 1, Value: "g"},
			Op{Action: End, Number: 2}), true},
		{"token of another generation", seq(ModelStream, "g",
			Op{Action: Token, Number: 0, Value: "g"}, Op{Action: Token, Number: 1, Value: "h"}), false},
		{"repeated token", seq(ModelStream, "g",
			Op{Action: Token, Number: 0, Value: "g"}, Op{Action: Token, Number: 0, Value: "g"}), false},
		{"lost token", seq(ModelStream, "g",
			Op{Action: Token, Number: 0, Value: "g"}, Op{Action: End, Number: 2}), false},
		{"lost write", seq(ModelRegister, "r",
			Op{Action: Swap, Value: "a", Outcome: Yes}, Op{Action: Get, Value: ""}), false},
		{"unknown write seen", seq(ModelRegister, "r",
			Op{Action: Swap, Value: "a", Outcome: Unknown}, Op{Action: Get, Value: "a"}), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := Check(c.ops, time.Second)
			must.Eq(t, c.ok, err == nil, must.Sprint(err))
		})
	}
}

func TestUnansweredOperationMayTakeEffectLater(t *testing.T) {
	ops := seq(ModelRegister, "r", Op{Action: Swap, Value: "a", Outcome: Unknown}, Op{Action: Get}, Op{Action: Get, Value: "a"})
	must.Error(t, Check(ops, time.Second))
	ops[0].Return = 0
	must.NoError(t, Check(ops, time.Second))
}

func TestReadIgnoresTruncatedLastLine(t *testing.T) {
	var buf bytes.Buffer
	ops := seq(ModelStream, "g", Op{Action: Token, Value: "g"}, Op{Action: End, Number: 1})
	must.NoError(t, Write(&buf, ops))
	buf.WriteString(`{"model":"str`)
	got, err := Read(&buf)
	must.NoError(t, err)
	must.Eq(t, ops, got)
}
