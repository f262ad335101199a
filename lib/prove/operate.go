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
	patience     = 35 * time.Second // for the final answer to one request
	callPatience = 5 * time.Second  // for the answer to one sending of a keyed call, which can be sent again
	resendPause  = 250 * time.Millisecond
	silence      = 2 * time.Second // after which a caller with a key gives its entry up
	resumes      = 200
)

// operateAll begins each operation when it is due, whatever became of the others, and waits for all.
func (r *run) operateAll(ctx context.Context, ops []operation) {
	var wg sync.WaitGroup
	for _, op := range ops {
		if !r.due(ctx, op.at) {
			break
		}
		r.kinds[op.kind]++
		wg.Go(func() { r.operate(ctx, op) })
	}
	wg.Wait()
}

func (r *run) operate(ctx context.Context, op operation) {
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

// stream asks for a generation; one with a key in half of the cases from two callers at once, through two entries.
func (r *run) stream(ctx context.Context, op operation) {
	callers := 1
	if op.kind == opKeyed && op.twice {
		callers = 2
	}
	recs := make([]*streamRecord, callers)
	var wg sync.WaitGroup
	for c := range callers {
		recs[c] = newStreamRecord(op, c, r.prompt(op))
		wg.Go(func() { r.streamOne(ctx, op, op.entry+c, recs[c]) })
	}
	wg.Wait()
	for _, rec := range recs {
		r.log.AddAll(rec.ops)
		if first := recs[0].gen; first != "" && rec.gen != "" && rec.gen != first {
			r.violated("one key ran as two generations: %s operation %d: %s and %s", op.kind, op.n, first, rec.gen)
		}
	}
}

func (r *run) prompt(op operation) string {
	return fmt.Sprintf("operation %d of seed %d [len=%d]", op.n, r.cfg.Seed, op.tokens)
}

// streamOne follows one caller's stream to its end and records each token as the caller read it.
func (r *run) streamOne(ctx context.Context, op operation, entry int, rec *streamRecord) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	call := caller.Call{Model: model, Prompt: r.prompt(op), Class: classOfAll, Entry: entry}
	if op.kind == opKeyed {
		call.Key, call.MaxResumes, call.IdleTimeout = fmt.Sprintf("key-%d", op.n), resumes, silence
	}
	from := time.Now()
	res, err := r.client.Stream(ctx, call, rec.token)
	for running(err) && res.Tokens == 0 && pause(ctx, resendPause) {
		call.Entry++
		entry = call.Entry
		res, err = r.client.Stream(ctx, call, rec.token)
	}
	if res.Done {
		rec.end(op.tokens)
	}
	r.judgeStream(op, entry, res, err, from)
}

// running tells whether the key was refused because its request is in progress elsewhere.
func running(err error) bool {
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

// judgeStream tells whether the end of a stream was one that the caller may be given.
func (r *run) judgeStream(op operation, asked int, res caller.Result, err error, from time.Time) {
	var refused *caller.Refused
	entry := fmt.Sprintf("entry-%d", asked%siteEntries+1)
	what := fmt.Sprintf("%s operation %d at %s: %d of %d tokens, resumed %d", op.kind, op.n, entry, res.Tokens, op.tokens, res.Resumes)
	switch {
	case err == nil:
		r.count(op.kind, "completed")
	case errors.As(err, &refused):
		r.count(op.kind, string(refused.Detail.Type))
		if res.Tokens > 0 && result.Lookup(refused.Detail.Code).Outcome == result.NotRun {
			r.violated("told not run after tokens: %s: %v", what, err)
		}
	case errors.Is(err, caller.ErrOrder), errors.Is(err, caller.ErrGeneration):
		r.violated("%s: %v", what, err)
	case op.kind == opKeyed:
		r.violated("no final answer for a keyed request: %s: %v", what, err)
	case r.down.Overlaps(from, time.Now(), cutsCallers(entry)):
		r.count(op.kind, "cut with its entry")
	case res.HTTP == 0 && r.down.Overlaps(from, time.Now(), stops(entry)):
		r.count(op.kind, "not connected")
	default:
		r.violated("cut or silent without a fault: %s: %v", what, err)
	}
}

// streamRecord turns the tokens of one caller into a history. Its times only order it: one caller reads one by one.
type streamRecord struct {
	object string
	want   string // first part of each token of the prompt's answer
	gen    string // second part: names the generation
	ops    []history.Op
}

func newStreamRecord(op operation, client int, prompt string) *streamRecord {
	first := strings.TrimSpace(engine.TokenText(prompt, "", 0))
	want, _, _ := strings.Cut(first, "-")
	return &streamRecord{object: fmt.Sprintf("stream-%d.%d", op.n, client), want: want}
}

func (s *streamRecord) add(op history.Op) {
	op.Model, op.Object = history.ModelStream, s.object
	op.Call = int64(2*len(s.ops) + 1)
	op.Return = op.Call + 1
	s.ops = append(s.ops, op)
}

// token takes the index and the generation from the text itself, so that neither the entry's numbers nor the reader's
// are believed.
func (s *streamRecord) token(tok caller.Token) {
	var gen string
	var index uint64
	prompt, rest, _ := strings.Cut(strings.TrimSpace(tok.Text), "-")
	gen, number, _ := strings.Cut(rest, "-")
	if _, err := fmt.Sscan(number, &index); err != nil {
		prompt = tok.Text
	}
	if s.gen == "" {
		s.gen = gen
	}
	value := s.object
	if prompt != s.want || gen != s.gen {
		value = tok.Text // of another prompt or generation
	}
	s.add(history.Op{Action: history.Token, Number: index, Value: value})
}

// end records the end mark with the count of tokens that the whole answer has.
func (s *streamRecord) end(tokens int) {
	s.add(history.Op{Action: history.End, Number: uint64(tokens)})
}

// status is an idempotent call: entries may repeat it, and it must end in an answer or a refusal.
func (r *run) status(ctx context.Context, op operation) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	from := time.Now()
	path := fmt.Sprintf("%s/status?id=status-%d", route, op.n)
	_, res, err := r.client.Plain(ctx, caller.PlainCall{Method: http.MethodGet, Path: path, Class: classOfAll, Entry: op.entry})
	r.judgeCall(op, res, err, from)
}

func (r *run) judgeCall(op operation, res caller.Result, err error, from time.Time) {
	var refused *caller.Refused
	entry := fmt.Sprintf("entry-%d", op.entry+1)
	switch {
	case err == nil:
		r.count(op.kind, fmt.Sprintf("http_%d", res.HTTP))
	case errors.As(err, &refused):
		r.count(op.kind, string(refused.Detail.Type))
	case r.down.Overlaps(from, time.Now(), cutsCallers(entry)):
		r.count(op.kind, "cut with its entry")
	case res.HTTP == 0 && r.down.Overlaps(from, time.Now(), stops(entry)):
		r.count(op.kind, "not connected")
	case res.HTTP != 0 && r.down.Overlaps(from, time.Now(), plainCuts):
		r.count(op.kind, "cut with its service")
	default:
		r.violated("cut or silent without a fault: %s operation %d at %s, HTTP %d after %v: %v",
			op.kind, op.n, entry, res.HTTP, time.Since(from).Round(time.Millisecond), err)
	}
}

// plainCuts matches faults that cut the body of an answer of a plain service.
func plainCuts(subject, _ string) bool { return strings.Contains(subject, "plain-") }
