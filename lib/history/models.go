package history

import (
	"maps"
	"reflect"

	"github.com/anishathalye/porcupine"
)

// Names of the models, for Op.Model.
const (
	ModelRegister = "register"
	ModelLease    = "lease"
	ModelClaim    = "claim"
	ModelSettings = "settings"
	ModelStream   = "stream"
)

// Values of Op.Action.
const (
	Get     = "get"     // register: saw Value
	Swap    = "swap"    // register: From to Value, by compare-and-set; Values are unique
	Use     = "use"     // lease: an order under fencing number Number
	Execute = "execute" // claim: a target ran Request and produced Value
	Reply   = "reply"   // claim: the caller of Request was told Outcome, with Value
	Apply   = "apply"   // settings: revision Number with digest Value
	See     = "see"     // settings: instance Request has revision Number with digest Value in force
	Token   = "token"   // stream: token index Number, made for generation Value
	End     = "end"     // stream: the end mark, after Number tokens
)

var models = map[string]porcupine.Model{
	ModelRegister: model("", stepRegister),
	ModelLease:    model(uint64(0), stepLease),
	ModelClaim:    model(claimState{}, stepClaim),
	ModelSettings: model(settingsState{}, stepSettings),
	ModelStream:   model(streamState{}, stepStream),
}

// model builds a porcupine model from a typed step. Step must not change the state it is given.
func model[S any](start S, step func(S, Op) (bool, S)) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return start },
		Step: func(state, in, _ any) (bool, any) { return step(state.(S), in.(Op)) },
		Equal: func(a, b any) bool {
			return reflect.DeepEqual(a, b)
		},
	}
}

// stepRegister: the state is the value. A swap with an unknown outcome takes effect if it still can.
func stepRegister(value string, op Op) (bool, string) {
	matches := value == op.From
	switch {
	case op.Action == Get:
		return value == op.Value, value
	case op.Outcome == No:
		return !matches, value
	case matches:
		return true, op.Value
	}
	return op.Outcome == Unknown, value
}

// stepLease: the state is the highest fencing number used. Nothing is done under a number once a higher one was
// used, and an order is refused only for a higher one.
func stepLease(highest uint64, op Op) (bool, uint64) {
	if op.Outcome == No {
		return op.Number < highest, highest
	}
	if op.Number >= highest {
		return true, op.Number
	}
	return op.Outcome == Unknown, highest
}

// claimState tells which request ran under the key, and which callers were promised that theirs did not.
type claimState struct {
	RanBy  string
	Result string
	Denied map[string]bool
}

// stepClaim: at most one request of a key runs; a caller told "not run" is right for ever; a completed answer is the
// one that was produced.
func stepClaim(s claimState, op Op) (bool, claimState) {
	if op.Action == Execute {
		if s.RanBy != "" || s.Denied[op.Request] {
			return false, s
		}
		s.RanBy, s.Result = op.Request, op.Value
		return true, s
	}
	switch op.Outcome {
	case Completed:
		return s.RanBy != "" && s.Result == op.Value, s
	case FailedRan:
		return s.RanBy != "", s
	case NotRun:
		denied := maps.Clone(s.Denied)
		if denied == nil {
			denied = map[string]bool{}
		}
		denied[op.Request] = true
		return s.RanBy != op.Request, claimState{s.RanBy, s.Result, denied}
	}
	return op.Outcome == Unknown, s
}

// settingsState is the line of committed revisions and what each instance has in force.
type settingsState struct {
	Head    uint64
	Digests map[uint64]string
	Seen    map[string]uint64
}

// stepSettings: each accepted revision follows the one before; an instance has only committed ones in force, and
// never goes back.
func stepSettings(s settingsState, op Op) (bool, settingsState) {
	if op.Action == See {
		if op.Number > s.Head || op.Number < s.Seen[op.Request] || s.Digests[op.Number] != op.Value {
			return false, s
		}
		s.Seen = with(s.Seen, op.Request, op.Number)
		return true, s
	}
	follows := op.Number == s.Head+1
	switch {
	case op.Outcome == No:
		return true, s
	case follows:
		return true, settingsState{op.Number, with(s.Digests, op.Number, op.Value), s.Seen}
	}
	return op.Outcome == Unknown, s
}

func with[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	out := maps.Clone(m)
	if out == nil {
		out = map[K]V{}
	}
	out[k] = v
	return out
}

type streamState struct {
	Next  uint64
	Ended bool
}

// stepStream: each token arrives once, in order, from its own generation, and the end mark counts them.
func stepStream(s streamState, op Op) (bool, streamState) {
	if s.Ended || op.Number != s.Next {
		return false, s
	}
	if op.Action == End {
		return true, streamState{s.Next, true}
	}
	return op.Value == op.Object, streamState{s.Next + 1, false}
}
