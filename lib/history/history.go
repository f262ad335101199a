// Package history records the operations that clients and targets observe in a concurrent run, and checks with porcupine
// that they satisfy models of the system's guarantees: registers, leases, claims, settings and token streams.
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
	Unknown   = "unknown"   // the caller doesn't know whether it took effect
	Completed = "completed" // a complete answer, Op.Value
	NotRun    = "not_run"
	FailedRan = "failed_ran"
)

// Op is one operation as observed by its client. The fields used depend on Model and Action; see the models.
type Op struct {
	Model   string `json:"model"`
	Object  string `json:"object"` // key, lease, settings line or generation; each object is checked separately
	Action  string `json:"action"`
	Client  int    `json:"client"`
	Call    int64  `json:"call"`             // nanoseconds, one clock for the whole history
	Return  int64  `json:"return,omitempty"` // 0: no answer was received
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

// Now returns the time for Op.Call and Op.Return. All processes of one machine share this clock.
func Now() int64 { return time.Now().UnixNano() }

// Add records a completed operation.
func (l *Log) Add(op Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
}

// AddAll records completed operations in order.
func (l *Log) AddAll(ops []Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, ops...)
}

// Replace replaces all recorded operations by ops.
func (l *Log) Replace(ops []Op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = ops
}

// Ops returns a copy of the recorded operations.
func (l *Log) Ops() []Op {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Op(nil), l.ops...)
}

// Write encodes operations as one JSON object per line.
func Write(w io.Writer, ops []Op) error {
	enc := json.NewEncoder(w)
	for _, op := range ops {
		if err := enc.Encode(op); err != nil {
			return err
		}
	}
	return nil
}

// Read decodes the output of Write. An incomplete last line, left by a killed process, is ignored.
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

// Check returns an error for the first model and object whose history is not linearizable, or can't be decided within the
// timeout. An undecided history proves nothing.
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

type partitionKey struct{ model, object string }

func partition(ops []Op) map[partitionKey][]porcupine.Operation {
	out := map[partitionKey][]porcupine.Operation{}
	for _, op := range ops {
		end := op.Return
		if end == 0 {
			end = math.MaxInt64 // the operation may take effect at any later time, or never
		}
		k := partitionKey{op.Model, op.Object}
		out[k] = append(out[k], porcupine.Operation{ClientId: op.Client, Input: op, Call: op.Call, Return: end})
	}
	return out
}
