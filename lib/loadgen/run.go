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
	"anvilwick.example/anvilwick/lib/standin/engine"
)

// resumes is how often the tool goes on with one cut stream.
const resumes = 20

// Runner sends a plan.
type Runner struct {
	Mix             Mix
	Entries         []string // IP:port of callers' ports
	Model           string
	Token           func(workspace string) string // workspace keys
	IdempotencyKeys bool                          // Idempotency-Key on every generation, so that a cut stream is gone on with
	MaxInFlight     int                           // beyond it arrivals are counted as unsent
	RequestTimeout  time.Duration
	Stats           *Stats
	History         *history.Log // nil: none kept

	// OnOutcome, when set, sees each outcome with its place in the plan; it is called from many goroutines.
	OnOutcome func(n int, o Outcome)

	http *http.Client
}

// Run sends the plan and returns when every request has ended or ctx is done.
func (r *Runner) Run(ctx context.Context) {
	r.http = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		MaxConnsPerHost:     0,
		IdleConnTimeout:     time.Minute,
	}}
	defer r.http.CloseIdleConnections()
	places := make(chan struct{}, r.MaxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range Plan(r.Mix) {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		r.Stats.RecordDelay(time.Since(start) - a.At)
		select {
		case places <- struct{}{}:
		default:
			r.Stats.CountUnsent()
			continue
		}
		wg.Go(func() {
			defer func() { <-places }()
			r.one(ctx, i, a)
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

func (r *Runner) one(ctx context.Context, n int, a Arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.RequestTimeout)
	defer cancel()
	c := &caller.Client{Entries: r.Entries, Token: r.Token(a.Workspace), HTTP: r.http}
	if a.Plain() {
		r.Stats.Add(r.plain(ctx, c, a))
		return
	}
	o := r.generation(ctx, c, n, a)
	r.Stats.Add(o)
	if r.OnOutcome != nil {
		r.OnOutcome(n, o)
	}
}

func (r *Runner) generation(ctx context.Context, c *caller.Client, n int, a Arrival) Outcome {
	o := Outcome{Workspace: a.Workspace, Class: a.Class, Sent: time.Now()}
	call := caller.Call{Model: r.Model, Prompt: a.Prompt, Class: a.Class, Entry: a.Entry, MaxResumes: resumes}
	if r.IdempotencyKeys {
		call.Key = a.ID
	}
	var text strings.Builder
	var seen []caller.Token
	res, err := c.Stream(ctx, call, func(t caller.Token) {
		o.Tokens = append(o.Tokens, t.At)
		text.WriteString(t.Text)
		if r.History != nil {
			seen = append(seen, t)
		}
	})
	o.Ended = time.Now()
	o.Code = res.Code
	o.Resumes = res.Resumes
	o.Violation = judge(a, text.String(), res, err)
	o.Complete = res.Done && o.Violation == ""
	r.keep(n, a, res, seen, o)
	return o
}

// judge returns the promise that a stream broke. A refusal or a cut is no breach: the caller was told, or can tell.
func judge(a Arrival, text string, res caller.Result, err error) string {
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

func (r *Runner) plain(ctx context.Context, c *caller.Client, a Arrival) Outcome {
	o := Outcome{Workspace: a.Workspace, Class: a.Class, Sent: time.Now()}
	path := r.Mix.PlainRoute + "?id=" + a.ID
	body, res, err := c.Plain(ctx, caller.PlainCall{Method: http.MethodGet, Path: path, Entry: a.Entry})
	o.Ended = time.Now()
	o.Code = res.Code
	if err == nil {
		o.Violation = judgePlain(a, body, res)
		o.Complete = o.Violation == ""
	}
	return o
}

func judgePlain(a Arrival, body []byte, res caller.Result) string {
	if res.HTTP == http.StatusOK && !strings.Contains(string(body), `"id":"`+a.ID+`"`) {
		return fmt.Sprintf("%s: the answer belongs to another call: %.80q", a.ID, body)
	}
	return ""
}

// keep records the stream for checking, token by token: each was made for this generation or it carries its own text.
func (r *Runner) keep(n int, a Arrival, res caller.Result, seen []caller.Token, o Outcome) {
	if r.History == nil || res.Generation == "" {
		return
	}
	for _, t := range seen {
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
