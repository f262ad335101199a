package prove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/plain"
)

// book sends a non-idempotent call without a key, once.
func (r *run) book(ctx context.Context, op operation) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	from := time.Now()
	res, err := r.send(ctx, op, "", 0, op.entry)
	r.judgeCall(op, res, err, from)
}

// bookOnce sends a keyed non-idempotent call until its outcome is final, from one or two callers at once, each through
// one entry after another.
func (r *run) bookOnce(ctx context.Context, op operation) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	callers := 1
	if op.twice {
		callers = 2
	}
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() { r.insist(ctx, op, c) })
	}
	wg.Wait()
}

// insist asks again, through the next entry, until the answer is final.
func (r *run) insist(ctx context.Context, op operation, client int) {
	key := fmt.Sprintf("book-%d", op.n)
	for try := 0; ; try++ {
		one, cancel := context.WithTimeout(ctx, callPatience)
		res, err := r.send(one, op, key, 1000*client+try, op.entry+client+try)
		cancel()
		if final(err) {
			r.countCall(op, res, err)
			return
		}
		select {
		case <-ctx.Done():
			r.violated("no final answer for a keyed call: %s operation %d after %d tries: %v", op.kind, op.n, try+1, err)
			return
		case <-time.After(max(resendPause, min(res.RetryAfter, time.Second))):
		}
	}
}

func (r *run) countCall(op operation, res caller.Result, err error) {
	var refused *caller.Refused
	if errors.As(err, &refused) {
		r.count(op.kind, string(refused.Detail.Type))
		return
	}
	r.count(op.kind, fmt.Sprintf("http_%d", res.HTTP))
}

// final tells whether asking again can't give another answer.
func final(err error) bool {
	var refused *caller.Refused
	switch {
	case err == nil:
		return true
	case errors.As(err, &refused):
		return result.Lookup(refused.Detail.Code).RetryAdvice != result.RetryLater
	}
	return false
}

// send sends a call once, under a name of its own, and records what its caller was told.
func (r *run) send(ctx context.Context, op operation, key string, try, entry int) (caller.Result, error) {
	name := fmt.Sprintf("book-%d.%d", op.n, try)
	rec := history.Op{
		Model: history.ModelClaim, Object: fmt.Sprintf("book-%d", op.n), Action: history.Reply,
		Client: op.n*10000 + try, Request: name, Call: history.Now(),
	}
	body, res, err := r.client.Plain(ctx, caller.PlainCall{
		Method: http.MethodPost, Path: route + "/book", Body: fmt.Sprintf("booking %d", op.n), Class: classOfAll,
		Key: key, Entry: entry, ID: name,
	})
	rec.Return = history.Now()
	rec.Outcome, rec.Value = told(body, res, err)
	r.log.Add(rec)
	return res, err
}

// told is what a caller may conclude from an answer: the outcome, and the sending whose answer it was given.
func told(body []byte, res caller.Result, err error) (outcome, value string) {
	var refused *caller.Refused
	switch {
	case errors.As(err, &refused) && refused.Detail.Code == result.AnswerGone:
		return history.FailedRan, "" // it ran, and there is no answer to compare
	case errors.As(err, &refused):
		return outcomes[result.Lookup(refused.Detail.Code).Outcome], ""
	case err != nil:
		return history.Unknown, ""
	}
	var ans plain.Answer
	if json.Unmarshal(body, &ans) != nil || ans.ID == "" {
		return history.Unknown, "" // an answer by the service that it did nothing, such as 500 or 503
	}
	return history.Completed, ans.ID
}

var outcomes = map[result.Outcome]string{
	result.Completed:      history.Completed,
	result.NotRun:         history.NotRun,
	result.FailedRan:      history.FailedRan,
	result.OutcomeUnknown: history.Unknown,
}
