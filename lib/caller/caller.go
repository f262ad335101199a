// Package caller is a client of entries for the load tool, the demo and the tests. It streams a generation, checks the
// order of its tokens, and resumes through another entry when the current one fails.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/result"
)

const (
	maxResponseBytes = 64 << 20               // bytes of a response read as a whole
	resumeDelay      = 100 * time.Millisecond // minimum delay before resuming through the next entry
	maxRetryDelay    = 5 * time.Second        // upper limit on a Retry-After when resuming a stream
)

// Errors that the caller detects in a stream. Each is a violation of a system guarantee.
var (
	ErrOrder      = errors.New("token out of order")
	ErrGeneration = errors.New("token of another generation")
	ErrTruncated  = errors.New("stream ended without end marker")
)

// Client sends requests to any of several entries, authenticated with one workspace's key.
type Client struct {
	Entries []string // IP:port
	Token   string   // workspace key
	HTTP    *http.Client
}

// Call describes one generation request.
type Call struct {
	Model       string
	Prompt      string
	Chat        bool
	MaxTokens   int // 0: not given
	Class       string
	Key         string        // Idempotency-Key; a truncated stream can be resumed only with one
	Deadline    time.Duration // 0: not given
	Entry       int           // index of the first entry to try
	MaxResumes  int           // maximum number of attempts through other entries after a failure
	IdleTimeout time.Duration // an entry that sends nothing for this long is treated as disconnected; 0: no limit
}

// Token is one received token.
type Token struct {
	Index int
	Text  string
	At    time.Time
}

// Result is the outcome of a call.
type Result struct {
	Code         result.Code // of the last response; 0: no response with a code
	HTTP         int
	Done         bool // the end marker was received
	Tokens       int
	Generation   string
	FinishReason string
	Resumes      int // attempts that continued the stream
	RetryAfter   time.Duration
	Message      string // of an error response
}

// Stream runs a call and passes each token to onToken. The error is nil when the complete answer was received and a
// *Refused when the system responded with a numbered code; any other error describes what the caller observed.
func (c *Client) Stream(ctx context.Context, call Call, onToken func(Token)) (Result, error) {
	s := &streamState{call: call, onToken: onToken}
	for try := 0; ; try++ {
		err := c.attempt(ctx, s, try)
		if err == nil || ctx.Err() != nil || !s.canResume(err, try) {
			return s.res, err
		}
		if !ctxtime.Sleep(ctx, s.retryDelay()) {
			return s.res, ctx.Err()
		}
	}
}

// Refused is an error response with a numbered code.
type Refused struct {
	Detail callerapi.ErrorDetail
	HTTP   int
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("%d %s: %s (%s)", r.Detail.Code, r.Detail.Type, r.Detail.Message, r.Detail.Outcome)
}

type streamState struct {
	call        Call
	onToken     func(Token)
	res         Result
	lastEventID string
}

// canResume reports whether the stream can be resumed. It needs an idempotency key. Order violations are final, and so are
// refusals, except one on a later attempt that advises to retry.
func (s *streamState) canResume(err error, try int) bool {
	if s.call.Key == "" || try >= s.call.MaxResumes {
		return false
	}
	var refused *Refused
	if errors.As(err, &refused) {
		return try > 0 && result.Lookup(refused.Detail.Code).RetryAdvice == result.RetryLater
	}
	return !errors.Is(err, ErrOrder) && !errors.Is(err, ErrGeneration)
}

func (s *streamState) retryDelay() time.Duration {
	return min(max(s.res.RetryAfter, resumeDelay), maxRetryDelay)
}

func (c *Client) attempt(ctx context.Context, s *streamState, try int) error {
	addr := c.Entries[(s.call.Entry+try)%len(c.Entries)]
	req, err := c.request(addr, s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := s.startIdleTimer(cancel)
	defer idle.Stop()
	resp, err := c.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	s.res.HTTP = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return s.readError(resp)
	}
	if s.res.Tokens > 0 || try > 0 {
		s.res.Resumes++
	}
	return s.readEvents(newEventReader(resp.Body), idle)
}

// noTimeout disables the idle timeout.
const noTimeout = 1 << 62 * time.Nanosecond

// startIdleTimer cancels an attempt that received no event for the idle timeout; each event resets the timer.
func (s *streamState) startIdleTimer(cancel func()) *time.Timer {
	return time.AfterFunc(s.idleTimeout(), cancel)
}

func (s *streamState) idleTimeout() time.Duration {
	if s.call.IdleTimeout <= 0 {
		return noTimeout
	}
	return s.call.IdleTimeout
}

func (c *Client) request(addr string, s *streamState) (*http.Request, error) {
	body := engineapi.Request{Model: s.call.Model, MaxTokens: s.call.MaxTokens, Stream: true}
	path := engineapi.PathCompletions
	if s.call.Chat {
		path = engineapi.PathChatCompletions
		body.Messages = []engineapi.Message{{Role: "user", Content: s.call.Prompt}}
	} else {
		body.Prompt = s.call.Prompt
	}
	sl := sling.New().Base("http://"+addr).Post(path).BodyJSON(body).Set("Authorization", "Bearer "+c.Token)
	setHeader(sl, callerapi.HeaderKey, s.call.Key)
	setHeader(sl, callerapi.HeaderClass, s.call.Class)
	setHeader(sl, callerapi.HeaderLastEvent, s.lastEventID)
	if s.call.Deadline > 0 {
		sl.Set(callerapi.HeaderDeadline, strconv.FormatInt(s.call.Deadline.Milliseconds(), 10))
	}
	return sl.Request()
}

func setHeader(s *sling.Sling, header, value string) {
	if value != "" {
		s.Set(header, value)
	}
}

func (s *streamState) readError(resp *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	return s.parseError(raw, resp.StatusCode)
}

func (s *streamState) parseError(raw []byte, status int) error {
	var body callerapi.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Code == 0 {
		return fmt.Errorf("response with status %d has no numbered code", status)
	}
	s.res.Code = body.Error.Code
	s.res.Message = body.Error.Message
	s.res.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	return &Refused{Detail: body.Error, HTTP: status}
}

// readEvents handles events until the end marker, an error event or the end of the connection.
func (s *streamState) readEvents(ev *eventReader, idle *time.Timer) error {
	for {
		e, err := ev.next()
		idle.Reset(s.idleTimeout())
		if err != nil {
			return fmt.Errorf("%w after %d tokens: %w", ErrTruncated, s.res.Tokens, err)
		}
		switch {
		case e.kind == "error":
			return s.parseError(e.data, s.res.HTTP)
		case string(e.data) == engineapi.DoneData:
			return s.finish()
		}
		if err := s.handleFrame(e); err != nil {
			return err
		}
	}
}

func (s *streamState) finish() error {
	if s.res.FinishReason == "" {
		return fmt.Errorf("%w: %s without a finish reason", ErrTruncated, engineapi.DoneData)
	}
	s.res.Done = true
	s.res.Code = result.OK
	return nil
}

func (s *streamState) handleFrame(e event) error {
	var f engineapi.Frame
	if err := json.Unmarshal(e.data, &f); err != nil {
		return fmt.Errorf("parse frame: %w", err)
	}
	if len(f.Choices) == 0 {
		return nil
	}
	if s.res.Generation == "" {
		s.res.Generation = f.Ext.Generation
	}
	if s.res.Generation != f.Ext.Generation {
		return fmt.Errorf("%w: %s after %s", ErrGeneration, f.Ext.Generation, s.res.Generation)
	}
	if int(f.Ext.Index) != s.res.Tokens {
		return fmt.Errorf("%w: got index %d, want %d", ErrOrder, f.Ext.Index, s.res.Tokens)
	}
	ch := f.Choices[0]
	if ch.FinishReason != nil {
		s.res.FinishReason = *ch.FinishReason
		return nil
	}
	return s.handleToken(e, ch)
}

func (s *streamState) handleToken(e event, ch engineapi.Choice) error {
	text := ch.Text
	if ch.Delta != nil {
		text = ch.Delta.Content
	}
	if e.id != "" {
		s.lastEventID = e.id
	}
	s.onToken(Token{Index: s.res.Tokens, Text: text, At: time.Now()})
	s.res.Tokens++
	return nil
}
