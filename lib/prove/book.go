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
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	from := time.Now()
	res, err := r.send(ctx, op, "", 0, op.entry)
	r.checkCallEnd(op, res, err, from)
}

// bookOnce sends a keyed non-idempotent call until its outcome is final, from one or two callers at once, each trying one
// entry after another.
func (r *run) bookOnce(ctx context.Context, op operation) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	callers := 1
	if op.duplicate {
		callers = 2
	}
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() { r.retryUntilFinal(ctx, op, c) })
	}
	wg.Wait()
}

// retryUntilFinal retries a keyed call, each time through the next entry, until the answer is final.
func (r *run) retryUntilFinal(ctx context.Context, op operation, client int) {
	key := fmt.Sprintf("book-%d", op.index)
	for attempt := 0; ; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		res, err := r.send(attemptCtx, op, key, 1000*client+attempt, op.entry+client+attempt)
		cancel()
		if isFinal(err) {
			r.countCall(op, res, err)
			return
		}
		select {
		case <-ctx.Done():
			r.addViolation("no final answer for a keyed call: %s operation %d after %d attempts: %v", op.kind, op.index, attempt+1, err)
			return
		case <-time.After(max(resendPause, min(res.RetryAfter, time.Second))):
		}
	}
}

func (r *run) countCall(op operation, res caller.Result, err error) {
	var refused *caller.Refused
	if errors.As(err, &refused) {
		r.countOutcome(op.kind, string(refused.Detail.Type))
		return
	}
	r.countOutcome(op.kind, fmt.Sprintf("http_%d", res.HTTP))
}

// isFinal reports whether a retry can't change the answer.
func isFinal(err error) bool {
	var refused *caller.Refused
	switch {
	case err == nil:
		return true
	case errors.As(err, &refused):
		return result.Lookup(refused.Detail.Code).RetryAdvice != result.RetryLater
	}
	return false
}

// send makes one attempt of a call, under a unique name, and records the answer that the caller received.
func (r *run) send(ctx context.Context, op operation, key string, attempt, entry int) (caller.Result, error) {
	name := fmt.Sprintf("book-%d.%d", op.index, attempt)
	rec := history.Op{
		Model: history.ModelClaim, Object: fmt.Sprintf("book-%d", op.index), Action: history.Reply,
		Client: op.index*10000 + attempt, Request: name, Call: history.Now(),
	}
	body, res, err := r.client.Plain(ctx, caller.PlainCall{
		Method: http.MethodPost, Path: route + "/book", Body: fmt.Sprintf("booking %d", op.index), Class: requestClass,
		Key: key, Entry: entry, ID: name,
	})
	rec.Return = history.Now()
	rec.Outcome, rec.Value = observedOutcome(body, res, err)
	r.history.Add(rec)
	return res, err
}

// observedOutcome maps an answer to what a caller may conclude from it: the outcome, and the name of the attempt that ran.
func observedOutcome(body []byte, res caller.Result, err error) (outcome, value string) {
	var refused *caller.Refused
	switch {
	case errors.As(err, &refused) && refused.Detail.Code == result.AnswerGone:
		return history.FailedRan, "" // it ran, and its answer is no longer stored for comparison
	case errors.As(err, &refused):
		return outcomes[result.Lookup(refused.Detail.Code).Outcome], ""
	case err != nil:
		return history.Unknown, ""
	}
	var ans plain.Answer
	if json.Unmarshal(body, &ans) != nil || ans.ID == "" {
		return history.Unknown, "" // the service answered without executing, such as with 500 or 503
	}
	return history.Completed, ans.ID
}

var outcomes = map[result.Outcome]string{
	result.Completed:      history.Completed,
	result.NotRun:         history.NotRun,
	result.FailedRan:      history.FailedRan,
	result.OutcomeUnknown: history.Unknown,
}
