package platform

import (
	"errors"
	"net"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("platform")

// Error types. A write that returns none of them was answered: see platformapi.TxnResult.Committed.
var (
	// NotCommitted: nothing was written or will be.
	NotCommitted = namespace.NewType("not_committed")
	// Unknown: the write may have taken effect or may still do so.
	Unknown = namespace.NewType("unknown")
	// Unavailable: a read failed.
	Unavailable = namespace.NewType("unavailable")
	// Refused: the platform rejects the request and would do so again. Nothing was written.
	Refused = namespace.NewType("refused")
)

var retryAfter = errorx.RegisterProperty("retry_after")

// RetryAfter returns how long to wait before a retry; 0 if err does not say.
func RetryAfter(err error) time.Duration {
	v, ok := errorx.ExtractProperty(err, retryAfter)
	if !ok {
		return 0
	}
	return v.(time.Duration)
}

// IsUnknown reports whether the write that failed with err may have taken effect or may still do so.
func IsUnknown(err error) bool { return errorx.IsOfType(err, Unknown) }

// IsNotCommitted reports whether the write that failed with err certainly never takes effect.
func IsNotCommitted(err error) bool {
	return errorx.IsOfType(err, NotCommitted) || errorx.IsOfType(err, Refused)
}

// fate is what one exchange proves about the request it carried.
type fate uint8

const (
	fateAnswered   fate = iota // the platform answered the request
	fateNotSent                // certainly not executed
	fateRefused                // certainly not executed, and a retry would fail again
	fateLost                   // may have been executed or may still be
	fateStaleEra               // not sent: its conditions are of an earlier era
	fateEraChanged             // executed, but its conditions of an earlier era may have matched other writes
)

// exchangeError is the failure of one exchange with the platform.
type exchangeError struct {
	fate       fate
	retryAfter time.Duration
	cause      error
}

func (e *exchangeError) Error() string { return e.cause.Error() }
func (e *exchangeError) Unwrap() error { return e.cause }

// transportFate classifies a transport error. Only a failed dial proves that nothing was sent.
func transportFate(err error) fate {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fateNotSent
	}
	return fateLost
}

// writeError converts the error of a write's last exchange; all of its earlier exchanges are known not to have been executed.
func writeError(err *exchangeError, op string) error {
	t := Unknown
	switch err.fate {
	case fateStaleEra:
		t = StaleEra
	case fateNotSent:
		t = NotCommitted
	case fateRefused:
		t = Refused
	}
	return withRetryAfter(t.Wrap(err, "transaction %s", op), err.retryAfter)
}

func readError(err *exchangeError, what string) error {
	t := Unavailable
	if err.fate == fateRefused {
		t = Refused
	}
	return withRetryAfter(t.Wrap(err, "read of %s", what), err.retryAfter)
}

func withRetryAfter(err *errorx.Error, after time.Duration) error {
	if after <= 0 {
		return err
	}
	return err.WithProperty(retryAfter, after)
}
