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
	Get     = "get"     // register: read Value
	Swap    = "swap"    // register: compare-and-set of From to Value; Values are unique
	Use     = "use"     // lease: an order with fencing number Number
	Execute = "execute" // claim: a target ran Request and produced Value
	Reply   = "reply"   // claim: the caller of Request received Outcome, with Value
	Apply   = "apply"   // settings: commit of revision Number with digest Value
	See     = "see"     // settings: revision Number with digest Value is in force on instance Request
	Token   = "token"   // stream: token index Number, produced for generation Value
	End     = "end"     // stream: the end mark, after Number tokens
)

var models = map[string]porcupine.Model{
	ModelRegister: model("", stepRegister),
	ModelLease:    model(uint64(0), stepLease),
	ModelClaim:    model(claimState{}, stepClaim),
	ModelSettings: model(settingsState{}, stepSettings),
	ModelStream:   model(streamState{}, stepStream),
}

// model builds a porcupine model from a typed step function, which must not modify the state passed to it.
func model[S any](start S, step func(S, Op) (bool, S)) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return start },
		Step: func(state, in, _ any) (bool, any) { return step(state.(S), in.(Op)) },
		Equal: func(a, b any) bool {
			return reflect.DeepEqual(a, b)
		},
	}
}

// stepRegister models a compare-and-set register; the state is its value. A swap with an unknown outcome takes effect if it
// still can.
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

// stepLease models fencing; the state is the highest fencing number used. Once a higher number was used, nothing is executed
// under a lower one, and an order is refused only because of a higher number.
func stepLease(highest uint64, op Op) (bool, uint64) {
	if op.Outcome == No {
		return op.Number < highest, highest
	}
	if op.Number >= highest {
		return true, op.Number
	}
	return op.Outcome == Unknown, highest
}

// claimState holds the request that ran under a key, and the requests whose callers were told that theirs did not run.
type claimState struct {
	RanBy  string
	Result string
	Denied map[string]bool
}

// stepClaim checks that at most one request of a key runs, that a caller who received "not run" stays right, and that a
// completed answer is the one that was produced.
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

// settingsState holds the committed revisions and the revision in force on each instance.
type settingsState struct {
	Head    uint64
	Digests map[uint64]string
	Seen    map[string]uint64
}

// stepSettings checks that each accepted revision follows the previous one, and that an instance has only committed revisions
// in force and never reverts to an older one.
func stepSettings(s settingsState, op Op) (bool, settingsState) {
	if op.Action == See {
		if op.Number > s.Head || op.Number < s.Seen[op.Request] || s.Digests[op.Number] != op.Value {
			return false, s
		}
		s.Seen = withEntry(s.Seen, op.Request, op.Number)
		return true, s
	}
	follows := op.Number == s.Head+1
	switch {
	case op.Outcome == No:
		return true, s
	case follows:
		return true, settingsState{op.Number, withEntry(s.Digests, op.Number, op.Value), s.Seen}
	}
	return op.Outcome == Unknown, s
}

func withEntry[K comparable, V any](m map[K]V, k K, v V) map[K]V {
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

// stepStream checks that each token arrives once, in order and from its own generation, and that the end mark matches their
// count.
func stepStream(s streamState, op Op) (bool, streamState) {
	if s.Ended || op.Number != s.Next {
		return false, s
	}
	if op.Action == End {
		return true, streamState{s.Next, true}
	}
	return op.Value == op.Object, streamState{s.Next + 1, false}
}
