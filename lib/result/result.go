// Package result defines the numbered result codes that callers see, and the outcome that each one guarantees.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is what a caller may conclude about its request.
type Outcome uint8

// The four outcomes. Every accepted request ends with exactly one of them.
const (
	Completed      Outcome = iota + 1 // the whole answer was delivered
	NotRun                            // proven: no target executed any part of it
	FailedRan                         // a target executed some of it, and there is no complete answer
	OutcomeUnknown                    // a target may have executed it; that cannot be determined
)

var outcomeNames = [...]string{"", "completed", "refused, not run", "failed, was run", "outcome unknown"}

// String returns the text used in error bodies and docs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid outcome"
}

// Code is a stable number. Numbers are never reused; the thousands digit groups them by outcome and fault.
type Code uint16

// The result codes. docs/RESULT-CODES.md is tested against Table.
const (
	OK         Code = 1000
	AnswerGone Code = 1001

	// 2xxx: refused, not run; the request itself is at fault.
	BadRequest      Code = 2000
	BodyTooLarge    Code = 2001
	Unauthenticated Code = 2002
	Forbidden       Code = 2003
	NoRoute         Code = 2004
	BadHeader       Code = 2005
	KeyReused       Code = 2006
	Poisoned        Code = 2007

	// 3xxx: refused, not run; the same request may succeed later.
	WorkspaceLimit  Code = 3000
	QueueFull       Code = 3001
	DeadlineTooNear Code = 3002
	NoTarget        Code = 3003
	StoreDown       Code = 3004
	Stopping        Code = 3005
	RetryBudget     Code = 3006
	PowerCap        Code = 3007
	TooManyStreams  Code = 3008
	AlreadyRunning  Code = 3009

	// 4xxx: failed, was run.
	TargetFailed    Code = 4000
	CannotResume    Code = 4001
	DeadlinePassed  Code = 4002
	CallerTooSlow   Code = 4003
	CallerGone      Code = 4004
	TargetCutShort  Code = 4005
	InvariantBroken Code = 4006
	TakenOver       Code = 4007

	// 5xxx: outcome unknown.
	Unknown       Code = 5000
	ClaimOrphan   Code = 5001
	TargetSilent  Code = 5002
	UnknownStream Code = 5003 // was 2008 ("not run"), which is not proven for a stream that no instance keeps
)

// RetryAdvice tells the caller whether it may send the same request again.
type RetryAdvice uint8

// The values of RetryAdvice.
const (
	RetryNever        RetryAdvice = iota + 1 // a retry would be refused in the same way
	RetryLater                               // retry after Retry-After
	RetryWithKey                             // retry only with the same Idempotency-Key
	RetryIfIdempotent                        // retry only if the call is idempotent
)

var retryAdviceNames = [...]string{"", "no", "after Retry-After", "with the same Idempotency-Key", "only if idempotent"}

// String returns the text used in error bodies and docs.
func (a RetryAdvice) String() string { return retryAdviceNames[a] }

// Info is one row of Table.
type Info struct {
	Code        Code
	Name        string
	HTTP        int
	Outcome     Outcome
	RetryAdvice RetryAdvice
	Text        string
}

// Table lists all codes in ascending order.
var Table = []Info{
	{OK, "ok", http.StatusOK, Completed, RetryNever, "the answer is complete"},
	{AnswerGone, "answer_gone", http.StatusGone, Completed, RetryNever, "the first request with this key completed; its answer is no longer kept"},
	{BadRequest, "bad_request", http.StatusBadRequest, NotRun, RetryNever, "the body can't be read as the route's format"},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, NotRun, RetryNever, "the body is over the route's bound"},
	{Unauthenticated, "unauthenticated", http.StatusUnauthorized, NotRun, RetryNever, "no workspace has this key"},
	{Forbidden, "forbidden", http.StatusForbidden, NotRun, RetryNever, "the workspace may not use this service or class"},
	{NoRoute, "no_route", http.StatusNotFound, NotRun, RetryNever, "no service answers this path"},
	{BadHeader, "bad_header", http.StatusBadRequest, NotRun, RetryNever, "a header has a bad value"},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, NotRun, RetryNever, "the Idempotency-Key was used for another request"},
	{Poisoned, "poisoned", http.StatusUnprocessableEntity, NotRun, RetryLater, "targets died while they ran this content"},
	{WorkspaceLimit, "workspace_limit", http.StatusTooManyRequests, NotRun, RetryLater, "the workspace or class is at its limit"},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, NotRun, RetryLater, "the queue is at its bound"},
	{DeadlineTooNear, "deadline_too_near", http.StatusServiceUnavailable, NotRun, RetryLater, "the answer can't be had before its deadline"},
	{NoTarget, "no_target", http.StatusServiceUnavailable, NotRun, RetryLater, "no target can take the request"},
	{StoreDown, "store_down", http.StatusServiceUnavailable, NotRun, RetryLater, "the claim can't be recorded"},
	{Stopping, "stopping", http.StatusServiceUnavailable, NotRun, RetryLater, "this instance is stopping"},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, NotRun, RetryLater, "the retry budget is spent"},
	{PowerCap, "power_cap", http.StatusServiceUnavailable, NotRun, RetryLater, "the site's power cap leaves no room"},
	{TooManyStreams, "too_many_streams", http.StatusServiceUnavailable, NotRun, RetryLater, "this instance holds its bound of streams, or has no memory for the body"},
	{AlreadyRunning, "already_running", http.StatusConflict, NotRun, RetryLater, "a request with this key is in progress; this one started nothing"},
	{TargetFailed, "target_failed", http.StatusBadGateway, FailedRan, RetryIfIdempotent, "the target reported an error"},
	{CannotResume, "cannot_resume", http.StatusBadGateway, FailedRan, RetryIfIdempotent, "the stream broke and can't be resumed"},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, FailedRan, RetryIfIdempotent, "the deadline passed while it ran"},
	{CallerTooSlow, "caller_too_slow", http.StatusRequestTimeout, FailedRan, RetryWithKey, "the caller read too slowly"},
	{CallerGone, "caller_gone", 499, FailedRan, RetryWithKey, "the caller closed its connection"},
	{TargetCutShort, "target_cut_short", http.StatusBadGateway, FailedRan, RetryIfIdempotent, "the target's answer ended without its end mark"},
	{InvariantBroken, "invariant_broken", http.StatusInternalServerError, FailedRan, RetryIfIdempotent, "an internal check failed; this request was stopped"},
	{TakenOver, "taken_over", http.StatusConflict, FailedRan, RetryWithKey, "this instance was cut off, and another goes on with the request"},
	{Unknown, "outcome_unknown", http.StatusBadGateway, OutcomeUnknown, RetryNever, "the target may have run it; nobody can prove which"},
	{ClaimOrphan, "claim_orphan", http.StatusConflict, OutcomeUnknown, RetryNever, "the key was claimed, its holder is gone, and the outcome is not known"},
	{TargetSilent, "target_silent", http.StatusGatewayTimeout, OutcomeUnknown, RetryNever, "the target fell silent while it ran the call"},
	{UnknownStream, "unknown_stream", http.StatusNotFound, OutcomeUnknown, RetryNever, "no stream is kept for this key and event id; what ran of it is not known"},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(Table))
	for _, in := range Table {
		m[in.Code] = in
	}
	return m
}()

// Lookup returns the row of c, or the row of Unknown for a number that is not in Table.
func Lookup(c Code) Info {
	if in, ok := byCode[c]; ok {
		return in
	}
	return byCode[Unknown]
}

// Error carries a result code, with details, to the code that answers the caller.
type Error struct {
	Code       Code
	Detail     string        // what was attempted, in lower case; must not contain secrets
	RetryAfter time.Duration // 0 unless the code's RetryAdvice is RetryLater
	Cause      error
}

// New returns an Error without a cause.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that keeps cause for errors.Is and errors.As.
func Wrap(c Code, cause error, attempted string) *Error {
	return &Error{Code: c, Detail: attempted, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	in := Lookup(e.Code)
	if e.Cause != nil {
		return fmt.Sprintf("%d %s: %s: %v", e.Code, in.Name, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, in.Name, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
