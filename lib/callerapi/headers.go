// Package callerapi parses callers' requests and writes their responses: OpenAI-compatible completions, the headers that
// the system adds to them, and error bodies with the numbered codes of lib/result.
package callerapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/stream"
)

// Headers of the callers' HTTP interface.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderLastEvent = "Last-Event-Id"
	HeaderClass     = "X-Anvilwick-Class"
	HeaderDeadline  = "X-Anvilwick-Deadline-Ms"
	HeaderRequestID = "X-Request-Id"
	HeaderCode      = "X-Anvilwick-Code"
)

// Limits on header values; lengths are in bytes.
const (
	MaxKey      = 200
	MaxClass    = 64
	MaxDeadline = 30 * 24 * time.Hour
	maxToken    = 512
)

// EventID identifies a token of a generation by the id of the event that carried it, "generation-index-digest". The digest
// covers all tokens up to and including that one.
type EventID struct {
	Generation ids.Generation
	Index      uint32
	Digest     stream.Digest
}

// ParseEventID parses an id in the format that AppendEvent writes.
func ParseEventID(s string) (EventID, bool) {
	parts := strings.Split(s, "-")
	if len(parts) != 3 {
		return EventID{}, false
	}
	g, err := ids.Parse(parts[0])
	if err != nil {
		return EventID{}, false
	}
	index, err := strconv.ParseUint(parts[1], 10, 31)
	if err != nil {
		return EventID{}, false
	}
	sum, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return EventID{}, false
	}
	return EventID{Generation: g, Index: uint32(index), Digest: stream.Digest(sum)}, true
}

// Headers holds the request headers that the system reads.
type Headers struct {
	Token     string // bearer token (secret)
	Key       string
	Class     string
	Deadline  time.Duration // time left; 0: not given
	LastEvent *EventID
}

// ParseHeaders parses and validates the request headers. Errors have the code Unauthenticated or BadHeader.
func ParseHeaders(h http.Header) (Headers, *result.Error) {
	var out Headers
	steps := []func(http.Header, *Headers) *result.Error{readToken, readKey, readClass, readDeadline, readLastEvent}
	for _, step := range steps {
		if err := step(h, &out); err != nil {
			return Headers{}, err
		}
	}
	return out, nil
}

func readToken(h http.Header, out *Headers) *result.Error {
	scheme, token, ok := strings.Cut(h.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > maxToken {
		return result.New(result.Unauthenticated, "an Authorization header with a bearer token is needed")
	}
	out.Token = token
	return nil
}

func readKey(h http.Header, out *Headers) *result.Error {
	v := h.Values(HeaderKey)
	if len(v) == 0 {
		return nil
	}
	if len(v) > 1 || !printable(v[0], MaxKey) {
		return badHeader(HeaderKey, "one value of 1 to 200 printable ASCII characters")
	}
	out.Key = v[0]
	return nil
}

func readClass(h http.Header, out *Headers) *result.Error {
	v := h.Get(HeaderClass)
	if v != "" && !printable(v, MaxClass) {
		return badHeader(HeaderClass, "1 to 64 printable ASCII characters")
	}
	out.Class = v
	return nil
}

func readDeadline(h http.Header, out *Headers) *result.Error {
	v := h.Get(HeaderDeadline)
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || ms > MaxDeadline.Milliseconds() {
		return badHeader(HeaderDeadline, "a positive count of milliseconds, 30 days at most")
	}
	out.Deadline = time.Duration(ms) * time.Millisecond
	return nil
}

func readLastEvent(h http.Header, out *Headers) *result.Error {
	v := h.Get(HeaderLastEvent)
	if v == "" {
		return nil
	}
	id, ok := ParseEventID(v)
	if !ok {
		return badHeader(HeaderLastEvent, "the id of an event of the stream")
	}
	out.LastEvent = &id
	return nil
}

func badHeader(name, expected string) *result.Error {
	return result.New(result.BadHeader, "%s: expected %s", name, expected)
}

func printable(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
