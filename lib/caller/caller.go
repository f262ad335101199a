// Package caller is a client of entries, for the load tool, the demo and the tests: it streams a generation, checks the
// order of its tokens, and goes on through another entry when its own dies.
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
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/result"
)

const (
	maxAnswer    = 64 << 20               // bytes of an answer that is not streamed
	resumeWait   = 100 * time.Millisecond // before going on through the next entry
	maxRetryWait = 5 * time.Second        // of a Retry-After while going on with a stream
)

// Errors of a stream that the caller itself can see. Each breaks a promise of the system.
var (
	ErrOrder      = errors.New("token out of order")
	ErrGeneration = errors.New("token of another generation")
	ErrTruncated  = errors.New("stream cut without end mark")
)

// Client sends requests to any of several entries with one workspace's key.
type Client struct {
	Entries []string // IP:port each
	Token   string   // workspace key
	HTTP    *http.Client
}

// Call is one generation to ask for.
type Call struct {
	Model       string
	Prompt      string
	Chat        bool
	MaxTokens   int // 0: not given
	Class       string
	Key         string        // Idempotency-Key; without one a cut stream can't be gone on with
	Deadline    time.Duration // 0: not given
	Entry       int           // index of the entry to ask first
	MaxResumes  int           // how often to go on through the next entry after a cut
	IdleTimeout time.Duration // an entry that sends nothing for so long is given up as if the stream were cut; 0: never
}

// Token is one token as the caller saw it.
type Token struct {
	Index int
	Text  string
	At    time.Time
}

// Result is how a call ended.
type Result struct {
	Code         result.Code // of the last answer; 0: no entry answered
	HTTP         int
	Done         bool // the end mark was seen
	Tokens       int
	Generation   string
	FinishReason string // finish reason
	Resumes      int    // how often the stream was gone on with
	RetryAfter   time.Duration
	Message      string // of an error
}

// Stream runs a call and hands each token to onToken. The error is nil when the whole answer came, a *Refused when the
// system gave a numbered code, and otherwise says what the caller saw.
func (c *Client) Stream(ctx context.Context, call Call, onToken func(Token)) (Result, error) {
	s := &streamState{call: call, onToken: onToken}
	for try := 0; ; try++ {
		err := c.attempt(ctx, s, try)
		if err == nil || ctx.Err() != nil || !s.mayGoOn(err, try) {
			return s.res, err
		}
		if !pause(ctx, s.wait()) {
			return s.res, ctx.Err()
		}
	}
}

// Refused is an answer with a numbered code.
type Refused struct {
	Detail callerapi.ErrorDetail
	HTTP   int
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("%d %s: %s (%s)", r.Detail.Code, r.Detail.Type, r.Detail.Message, r.Detail.Outcome)
}

type streamState struct {
	call    Call
	onToken func(Token)
	res     Result
	lastID  string
}

// mayGoOn tells whether the stream can be taken up again: with a key, after a cut, or after a refusal that asks the
// caller to come back while the stream is under way.
func (s *streamState) mayGoOn(err error, try int) bool {
	if s.call.Key == "" || try >= s.call.MaxResumes {
		return false
	}
	var refused *Refused
	if errors.As(err, &refused) {
		return try > 0 && result.Lookup(refused.Detail.Code).RetryAdvice == result.RetryLater
	}
	return !errors.Is(err, ErrOrder) && !errors.Is(err, ErrGeneration)
}

func (s *streamState) wait() time.Duration {
	return min(max(s.res.RetryAfter, resumeWait), maxRetryWait)
}

func (c *Client) attempt(ctx context.Context, s *streamState, try int) error {
	addr := c.Entries[(s.call.Entry+try)%len(c.Entries)]
	req, err := c.request(addr, s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heard := s.watch(cancel)
	defer heard.Stop()
	resp, err := c.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	s.res.HTTP = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return s.refusal(resp)
	}
	if s.res.Tokens > 0 || try > 0 {
		s.res.Resumes++
	}
	return s.read(newEvents(resp.Body), heard)
}

// forever stands for no bound.
const forever = 1 << 62 * time.Nanosecond

// watch cancels an attempt that has been silent for Silence; each event resets it.
func (s *streamState) watch(cancel func()) *time.Timer {
	return time.AfterFunc(s.silence(), cancel)
}

func (s *streamState) silence() time.Duration {
	if s.call.IdleTimeout <= 0 {
		return forever
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
	set(sl, callerapi.HeaderKey, s.call.Key)
	set(sl, callerapi.HeaderClass, s.call.Class)
	set(sl, callerapi.HeaderLastEvent, s.lastID)
	if s.call.Deadline > 0 {
		sl.Set(callerapi.HeaderDeadline, strconv.FormatInt(s.call.Deadline.Milliseconds(), 10))
	}
	return sl.Request()
}

func set(s *sling.Sling, header, value string) {
	if value != "" {
		s.Set(header, value)
	}
}

func (s *streamState) refusal(resp *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	return s.refuse(raw, resp.StatusCode)
}

func (s *streamState) refuse(raw []byte, status int) error {
	var body callerapi.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Code == 0 {
		return fmt.Errorf("status %d without a numbered code", status)
	}
	s.res.Code = body.Error.Code
	s.res.Message = body.Error.Message
	s.res.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	return &Refused{Detail: body.Error, HTTP: status}
}

// read takes events until the end mark, an error event or a cut.
func (s *streamState) read(ev *events, heard *time.Timer) error {
	for {
		e, err := ev.next()
		heard.Reset(s.silence())
		if err != nil {
			return fmt.Errorf("%w after %d tokens: %w", ErrTruncated, s.res.Tokens, err)
		}
		switch {
		case e.kind == "error":
			return s.refuse(e.data, s.res.HTTP)
		case string(e.data) == engineapi.DoneData:
			return s.done()
		}
		if err := s.frame(e); err != nil {
			return err
		}
	}
}

func (s *streamState) done() error {
	if s.res.FinishReason == "" {
		return fmt.Errorf("%w: %s without a finish reason", ErrTruncated, engineapi.DoneData)
	}
	s.res.Done = true
	s.res.Code = result.OK
	return nil
}

func (s *streamState) frame(e event) error {
	var f engineapi.Frame
	if err := json.Unmarshal(e.data, &f); err != nil {
		return fmt.Errorf("read a frame: %w", err)
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
		return fmt.Errorf("%w: index %d, want %d", ErrOrder, f.Ext.Index, s.res.Tokens)
	}
	ch := f.Choices[0]
	if ch.FinishReason != nil {
		s.res.FinishReason = *ch.FinishReason
		return nil
	}
	return s.token(e, ch)
}

func (s *streamState) token(e event, ch engineapi.Choice) error {
	text := ch.Text
	if ch.Delta != nil {
		text = ch.Delta.Content
	}
	if e.id != "" {
		s.lastID = e.id
	}
	s.onToken(Token{Index: s.res.Tokens, Text: text, At: time.Now()})
	s.res.Tokens++
	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
