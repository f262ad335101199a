package loadgen

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
	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

// maxResumes is the maximum number of times that one stream is resumed.
const maxResumes = 20

// Runner sends the requests of a plan.
type Runner struct {
	Mix             Mix
	Entries         []string // IP:port of the entries' caller listeners
	Model           string
	Token           func(workspace string) string // returns the workspace's key
	IdempotencyKeys bool                          // send an Idempotency-Key with every generation, so that truncated streams can be resumed
	MaxInFlight     int                           // further arrivals are not sent but counted as unsent
	RequestTimeout  time.Duration
	Stats           *Stats
	History         *history.Log // may be nil

	// OnOutcome, if set, receives each outcome with its index in the plan. It is called concurrently.
	OnOutcome func(n int, o Outcome)

	http *http.Client
}

// Run sends the plan and returns once all requests have ended. When ctx is done, it sends no more requests.
func (r *Runner) Run(ctx context.Context) {
	r.http = &http.Client{Transport: httpresp.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 64,
		MaxConnsPerHost:     0,
		IdleConnTimeout:     time.Minute,
	})}
	defer r.http.CloseIdleConnections()
	slots := make(chan struct{}, r.MaxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range Plan(r.Mix) {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		r.Stats.RecordDelay(time.Since(start) - a.At)
		select {
		case slots <- struct{}{}:
		default:
			r.Stats.CountUnsent()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			r.send(ctx, i, a)
		})
	}
	wg.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (r *Runner) send(ctx context.Context, n int, a Arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.RequestTimeout)
	defer cancel()
	c := &caller.Client{Entries: r.Entries, Token: r.Token(a.Workspace), HTTP: r.http}
	if a.Plain() {
		r.Stats.Add(r.sendPlain(ctx, c, a))
		return
	}
	o := r.sendGeneration(ctx, c, n, a)
	r.Stats.Add(o)
	if r.OnOutcome != nil {
		r.OnOutcome(n, o)
	}
}

func (r *Runner) sendGeneration(ctx context.Context, c *caller.Client, n int, a Arrival) Outcome {
	o := Outcome{Workspace: a.Workspace, Class: a.Class, Sent: time.Now()}
	call := caller.Call{Model: r.Model, Prompt: a.Prompt, Class: a.Class, Entry: a.Entry, MaxResumes: maxResumes}
	if r.IdempotencyKeys {
		call.Key = a.ID
	}
	var text strings.Builder
	var received []caller.Token
	res, err := c.Stream(ctx, call, func(t caller.Token) {
		o.Tokens = append(o.Tokens, t.At)
		text.WriteString(t.Text)
		if r.History != nil {
			received = append(received, t)
		}
	})
	o.Ended = time.Now()
	o.Code = res.Code
	o.Resumes = res.Resumes
	o.Violation = checkGeneration(a, text.String(), res, err)
	o.Complete = res.Done && o.Violation == ""
	r.recordHistory(n, a, res, received, o)
	return o
}

// checkGeneration describes the guarantee that a stream violated, if any. Refused and truncated streams are no violations: the caller
// got an error or can detect the missing end marker.
func checkGeneration(a Arrival, text string, res caller.Result, err error) string {
	switch {
	case errors.Is(err, caller.ErrOrder), errors.Is(err, caller.ErrGeneration):
		return fmt.Sprintf("%s: %v", a.ID, err)
	case res.Done:
		if err := engine.CheckAnswer(a.Prompt, text, a.Tokens); err != nil {
			return fmt.Sprintf("%s: %v", a.ID, err)
		}
	case text != "":
		if err := engine.CheckAnswer(a.Prompt, text, -1); err != nil {
			return fmt.Sprintf("%s: %v", a.ID, err)
		}
	}
	return ""
}

func (r *Runner) sendPlain(ctx context.Context, c *caller.Client, a Arrival) Outcome {
	o := Outcome{Workspace: a.Workspace, Class: a.Class, Sent: time.Now()}
	path := r.Mix.PlainRoute + "?id=" + a.ID
	body, res, err := c.Plain(ctx, caller.PlainCall{Method: http.MethodGet, Path: path, Entry: a.Entry})
	o.Ended = time.Now()
	o.Code = res.Code
	if err == nil {
		o.Violation = checkPlain(a, body, res)
		o.Complete = o.Violation == ""
	}
	return o
}

func checkPlain(a Arrival, body []byte, res caller.Result) string {
	if res.HTTP == http.StatusOK && !strings.Contains(string(body), `"id":"`+a.ID+`"`) {
		return fmt.Sprintf("%s: response belongs to another call: %.80q", a.ID, body)
	}
	return ""
}

// recordHistory records the stream for the history check, one operation per token. The value of a token is the generation that it was
// made for or, if its text is not the expected one, the text.
func (r *Runner) recordHistory(n int, a Arrival, res caller.Result, received []caller.Token, o Outcome) {
	if r.History == nil || res.Generation == "" {
		return
	}
	for _, t := range received {
		value := res.Generation
		if t.Text != engine.TokenText(a.Prompt, res.Generation, t.Index) {
			value = t.Text
		}
		at := t.At.UnixNano()
		r.History.Add(history.Op{
			Model: history.ModelStream, Object: res.Generation, Action: history.Token, Client: n,
			Call: at, Return: at, Number: uint64(t.Index), Value: value,
		})
	}
	if res.Done {
		at := o.Ended.UnixNano()
		r.History.Add(history.Op{
			Model: history.ModelStream, Object: res.Generation, Action: history.End, Client: n,
			Call: at, Return: at, Number: uint64(res.Tokens),
		})
	}
}
