package prove

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

const (
	requestTimeout = 35 * time.Second // for the final answer to one request
	attemptTimeout = 5 * time.Second  // for the answer to one attempt of a keyed call, which can be sent again
	resendPause    = 250 * time.Millisecond
	silenceTimeout = 2 * time.Second // without data, after which a caller with a key switches to another entry
	maxResumes     = 200
)

// runOperations starts each operation when it is due, without waiting for earlier ones, and then waits for all of them.
func (r *run) runOperations(ctx context.Context, ops []operation) {
	var wg sync.WaitGroup
	for _, op := range ops {
		if !r.due(ctx, op.at) {
			break
		}
		r.opCounts[op.kind]++
		wg.Go(func() { r.runOperation(ctx, op) })
	}
	wg.Wait()
}

func (r *run) runOperation(ctx context.Context, op operation) {
	switch op.kind {
	case opStream, opKeyed:
		r.stream(ctx, op)
	case opStatus:
		r.status(ctx, op)
	case opBook:
		r.book(ctx, op)
	case opBookOnce:
		r.bookOnce(ctx, op)
	case opApply:
		r.applyRace(ctx, op)
	case opDrain:
		r.drain(ctx, op)
	}
}

// stream requests a generation. Half of the keyed ones are sent by two callers at once, through two entries.
func (r *run) stream(ctx context.Context, op operation) {
	callers := 1
	if op.kind == opKeyed && op.duplicate {
		callers = 2
	}
	recs := make([]*streamRecord, callers)
	var wg sync.WaitGroup
	for c := range callers {
		recs[c] = newStreamRecord(op, c, r.prompt(op))
		wg.Go(func() { r.streamAsCaller(ctx, op, op.entry+c, recs[c]) })
	}
	wg.Wait()
	for _, rec := range recs {
		r.history.AddAll(rec.ops)
		if first := recs[0].gen; first != "" && rec.gen != "" && rec.gen != first {
			r.addViolation("one key ran as two generations: %s operation %d: %s and %s", op.kind, op.index, first, rec.gen)
		}
	}
}

func (r *run) prompt(op operation) string {
	return fmt.Sprintf("operation %d of seed %d [len=%d]", op.index, r.cfg.Seed, op.tokens)
}

// streamAsCaller reads one caller's stream to its end and records each token.
func (r *run) streamAsCaller(ctx context.Context, op operation, entry int, rec *streamRecord) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	call := caller.Call{Model: model, Prompt: r.prompt(op), Class: requestClass, Entry: entry}
	if op.kind == opKeyed {
		call.Key, call.MaxResumes, call.IdleTimeout = fmt.Sprintf("key-%d", op.index), maxResumes, silenceTimeout
	}
	from := time.Now()
	res, err := r.client.Stream(ctx, call, rec.token)
	for isAlreadyRunning(err) && res.Tokens == 0 && pause(ctx, resendPause) {
		call.Entry++
		entry = call.Entry
		res, err = r.client.Stream(ctx, call, rec.token)
	}
	if res.Done {
		rec.end(op.tokens)
	}
	r.checkStreamEnd(op, entry, res, err, from)
}

// isAlreadyRunning reports whether the request was refused because another request with its key is in progress.
func isAlreadyRunning(err error) bool {
	var refused *caller.Refused
	return errors.As(err, &refused) && refused.Detail.Code == result.AlreadyRunning
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// checkStreamEnd records a violation unless the stream ended in a way that is allowed, given the faults during it.
func (r *run) checkStreamEnd(op operation, entryIndex int, res caller.Result, err error, from time.Time) {
	var refused *caller.Refused
	entry := fmt.Sprintf("entry-%d", entryIndex%siteEntries+1)
	desc := fmt.Sprintf("%s operation %d at %s: %d of %d tokens, resumed %d", op.kind, op.index, entry, res.Tokens, op.tokens, res.Resumes)
	switch {
	case err == nil:
		r.countOutcome(op.kind, "completed")
	case errors.As(err, &refused):
		r.countOutcome(op.kind, string(refused.Detail.Type))
		if res.Tokens > 0 && result.Lookup(refused.Detail.Code).Outcome == result.NotRun {
			r.addViolation("refused as not run after tokens were sent: %s: %v", desc, err)
		}
	case errors.Is(err, caller.ErrOrder), errors.Is(err, caller.ErrGeneration):
		r.addViolation("%s: %v", desc, err)
	case op.kind == opKeyed:
		r.addViolation("no final answer for a keyed request: %s: %v", desc, err)
	case r.faultLog.Overlaps(from, time.Now(), cutsConnections(entry)):
		r.countOutcome(op.kind, "cut with its entry")
	case res.HTTP == 0 && r.faultLog.Overlaps(from, time.Now(), stopsEntry(entry)):
		r.countOutcome(op.kind, "not connected")
	default:
		r.addViolation("stream cut or silent without a fault: %s: %v", desc, err)
	}
}

// streamRecord builds the history of one caller's tokens. Its times are a sequence only, since one caller reads in order.
type streamRecord struct {
	object string
	want   string // first part of each token's text: identifies the prompt
	gen    string // second part: identifies the generation
	made   string // last part: the software that made the first token
	ops    []history.Op
}

func newStreamRecord(op operation, client int, prompt string) *streamRecord {
	first := strings.TrimSpace(engine.TokenText(prompt, "", 0))
	want, _, _ := strings.Cut(first, "-")
	return &streamRecord{object: fmt.Sprintf("stream-%d.%d", op.index, client), want: want}
}

func (s *streamRecord) add(op history.Op) {
	op.Model, op.Object = history.ModelStream, s.object
	op.Call = int64(2*len(s.ops) + 1)
	op.Return = op.Call + 1
	s.ops = append(s.ops, op)
}

// token parses the index and the generation from the token's text, so that the check does not depend on the numbers that
// the entry or the client assigned.
func (s *streamRecord) token(tok caller.Token) {
	var gen string
	var index uint64
	prompt, rest, _ := strings.Cut(strings.TrimSpace(tok.Text), "-")
	gen, rest, _ = strings.Cut(rest, "-")
	number, made, _ := strings.Cut(rest, "-")
	if _, err := fmt.Sscan(number, &index); err != nil {
		prompt = tok.Text
	}
	if s.gen == "" {
		s.gen, s.made = gen, made
	}
	value := s.object
	if prompt != s.want || gen != s.gen || made != s.made {
		value = tok.Text // of another prompt, generation or software
	}
	s.add(history.Op{Action: history.Token, Number: index, Value: value})
}

// end records the end mark with the number of tokens in a complete answer.
func (s *streamRecord) end(tokens int) {
	s.add(history.Op{Action: history.End, Number: uint64(tokens)})
}

// status makes an idempotent call. Entries may retry it, and it must end in an answer or a refusal.
func (r *run) status(ctx context.Context, op operation) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	from := time.Now()
	path := fmt.Sprintf("%s/status?id=status-%d", route, op.index)
	_, res, err := r.client.Plain(ctx, caller.PlainCall{Method: http.MethodGet, Path: path, Class: requestClass, Entry: op.entry})
	r.checkCallEnd(op, res, err, from)
}

func (r *run) checkCallEnd(op operation, res caller.Result, err error, from time.Time) {
	var refused *caller.Refused
	entry := fmt.Sprintf("entry-%d", op.entry+1)
	switch {
	case err == nil:
		r.countOutcome(op.kind, fmt.Sprintf("http_%d", res.HTTP))
	case errors.As(err, &refused):
		r.countOutcome(op.kind, string(refused.Detail.Type))
	case r.faultLog.Overlaps(from, time.Now(), cutsConnections(entry)):
		r.countOutcome(op.kind, "cut with its entry")
	case res.HTTP == 0 && r.faultLog.Overlaps(from, time.Now(), stopsEntry(entry)):
		r.countOutcome(op.kind, "not connected")
	case res.HTTP != 0 && r.faultLog.Overlaps(from, time.Now(), cutsPlainBodies):
		r.countOutcome(op.kind, "cut with its service")
	default:
		r.addViolation("call cut or silent without a fault: %s operation %d at %s, HTTP %d after %v: %v",
			op.kind, op.index, entry, res.HTTP, time.Since(from).Round(time.Millisecond), err)
	}
}

// cutsPlainBodies matches faults of plain services, which may cut the body of an answer.
func cutsPlainBodies(subject, _ string) bool { return strings.Contains(subject, "plain-") }
