package callerapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/result"
)

// ErrorBody is the body of every error response and the data of the event that ends a failed stream. The nesting under
// "error" is what OpenAI clients expect.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes to a caller what happened and whether to retry.
type ErrorDetail struct {
	Code         result.Code `json:"code"`
	Type         string      `json:"type"` // name of the code
	Message      string      `json:"message"`
	Outcome      string      `json:"outcome"`
	RetryAdvice  string      `json:"ask_again"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	RequestID    string      `json:"request_id"`
}

// AsError returns the *result.Error in err's chain. Other errors get the code Unknown, which guarantees the least.
func AsError(err error) *result.Error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.Wrap(result.Unknown, err, "serve the request")
}

// NewErrorBody returns the part of e that callers may see. The cause is only logged.
func NewErrorBody(e *result.Error, requestID string) ErrorBody {
	in := result.Lookup(e.Code)
	msg := in.Text
	if e.Detail != "" {
		msg += " (" + e.Detail + ")"
	}
	return ErrorBody{ErrorDetail{
		Code:         e.Code,
		Type:         in.Name,
		Message:      msg,
		Outcome:      in.Outcome.String(),
		RetryAdvice:  in.RetryAdvice.String(),
		RetryAfterMS: retryAfter(e, in).Milliseconds(),
		RequestID:    requestID,
	}}
}

func retryAfter(e *result.Error, in result.Info) time.Duration {
	if in.RetryAdvice != result.RetryLater {
		return 0
	}
	return max(e.RetryAfter, time.Millisecond)
}

// WriteError writes e as the response.
func WriteError(w http.ResponseWriter, e *result.Error, requestID string) {
	in := result.Lookup(e.Code)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	if d := retryAfter(e, in); d > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	body, err := json.Marshal(NewErrorBody(e, requestID))
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(in.HTTP)
	_, _ = w.Write(body)
}

// AppendErrorEvent appends the event that ends a failed stream. It is not followed by [DONE].
func AppendErrorEvent(dst []byte, e *result.Error, requestID string) []byte {
	body, err := json.Marshal(NewErrorBody(e, requestID))
	if err != nil {
		body = []byte(`{"error":{}}`)
	}
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, body...)
	return append(dst, "\n\n"...)
}
