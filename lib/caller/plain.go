package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/result"
)

// headerCallID is forwarded to the service unchanged. The stand-in service counts executions by it.
const headerCallID = "X-Call-Id"

// PlainCall describes one call of a plain service.
type PlainCall struct {
	Method string
	Path   string
	Body   string
	Class  string
	Key    string // Idempotency-Key
	Entry  int    // index of the entry
	ID     string // X-Call-Id, unique to this request; empty: none
}

// Plain sends a call once and returns the response body. The error is a *Refused when the system responded with a numbered code.
func (c *Client) Plain(ctx context.Context, call PlainCall) ([]byte, Result, error) {
	var res Result
	addr := c.Entries[call.Entry%len(c.Entries)]
	sl := sling.New().Base("http://" + addr)
	sl.Path(call.Path)
	sl.Set("Authorization", "Bearer "+c.Token)
	setHeader(sl, callerapi.HeaderKey, call.Key)
	setHeader(sl, callerapi.HeaderClass, call.Class)
	setHeader(sl, headerCallID, call.ID)
	if call.Body != "" {
		sl.Body(strings.NewReader(call.Body))
	}
	req, err := sl.Request()
	if err != nil {
		return nil, res, err
	}
	req.Method = call.Method
	resp, err := c.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		return nil, res, err
	}
	defer resp.Body.Close()
	res.HTTP = resp.StatusCode
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return body, res, err
	}
	err = plainOutcome(resp, body, &res)
	return body, res, err
}

// plainOutcome distinguishes an error response of the system from a response of the service, which may have any status.
func plainOutcome(resp *http.Response, body []byte, res *Result) error {
	code, err := strconv.Atoi(resp.Header.Get(callerapi.HeaderCode))
	if err != nil || code == int(result.OK) {
		res.Code = result.OK
		res.Done = true
		return nil
	}
	res.Code = result.Code(code)
	var e callerapi.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil {
		return err
	}
	res.Message = e.Error.Message
	res.RetryAfter = time.Duration(e.Error.RetryAfterMS) * time.Millisecond
	return &Refused{Detail: e.Error, HTTP: resp.StatusCode}
}
