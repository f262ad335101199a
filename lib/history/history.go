// Package history records what clients and targets saw in a concurrent run, and checks it with porcupine against
// models of what the system promises: registers, leases, claims, settings and token streams.
package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Values of Op.Outcome.
const (
	Yes       = "yes"       // it took effect
	No        = "no"        // it was refused and had no effect
	Unknown   = "unknown"   // its caller can't tell
	Completed = "completed" // a whole answer, Op.Value
	NotRun    = "not_run"
	FailedRan = "failed_ran"
)

// Op is one operation as its client saw it. Which fields count depends on Model and Action; see the models.
type Op struct {
	Model   string `json:"model"`
	Object  string `json:"object"` // key, lease, settings line or generation: each is checked by itself
	Action  string `json:"action"`
	Client  int    `json:"client"`
	Call    int64  `json:"call"`             // nanoseconds, one clock for the whole history
	Return  int64  `json:"return,omitempty"` // 0: no answer came
	Outcome string `json:"outcome,omitempty"`
	Request string `json:"request,omitempty"`
	From    string `json:"from,omitempty"`
	Value   string `json:"value,omitempty"`
	Number  uint64 `json:"number,omitempty"`
}

// Log collects operations from many goroutines. Its zero value is ready for use.
type Log struct {
	mu  sync.Mutex
	ops []Op
}

// Now is the time to put into Op.Call and Op.Return. It is the same for all processes of one machine.
func Now() int64 { return time.Now().UnixNano() }

// Add records an operation that has ended.
func (l *Log) Add(op Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
}

// AddAll records operations that have ended, in their order.
func (l *Log) AddAll(ops []Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, ops...)
}

// Replace puts ops in the place of all that was recorded.
func (l *Log) Replace(ops []Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = ops
}

// Ops returns a copy of what was recorded.
func (l *Log) Ops() []Op {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Op(nil), l.ops...)
}

// Write stores operations, one JSON object a line.
func Write(w io.Writer, ops []Op) error {
	enc := json.NewEncoder(w)
	for _, op := range ops {
		if err := enc.Encode(op); err != nil {
			return err
		}
	}
	return nil
}

// Read reads what Write stored. A last line cut short, by a process that was killed, is left out.
func Read(r io.Reader) ([]Op, error) {
	var ops []Op
	in := bufio.NewReader(r)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			return ops, nil
		}
		if err != nil {
			return nil, err
		}
		var op Op
		if err := json.Unmarshal(line, &op); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		ops = append(ops, op)
	}
}

// Check returns an error for the first model and object that the history breaks, or that can't be decided within
// the timeout. An undecided history is no proof.
func Check(ops []Op, timeout time.Duration) error {
	for key, part := range partition(ops) {
		m, ok := models[key.model]
		if !ok {
			return fmt.Errorf("history: no model %q", key.model)
		}
		res := porcupine.CheckOperationsTimeout(m, part, timeout)
		if res != porcupine.Ok {
			return fmt.Errorf("history: %s %s: %s over %d operations", key.model, key.object, res, len(part))
		}
	}
	return nil
}

type objectKey struct{ model, object string }

func partition(ops []Op) map[objectKey][]porcupine.Operation {
	out := map[objectKey][]porcupine.Operation{}
	for _, op := range ops {
		end := op.Return
		if end == 0 {
			end = math.MaxInt64 // it may take effect at any later moment, or never
		}
		k := objectKey{op.Model, op.Object}
		out[k] = append(out[k], porcupine.Operation{ClientId: op.Client, Input: op, Call: op.Call, Return: end})
	}
	return out
}
