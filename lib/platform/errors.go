package platform

import (
	"errors"
	"net"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("platform")

// Types of error. A write that returns none of them was answered: see platformapi.TxnResult.Committed.
var (
	// NotCommitted: nothing was written, and nothing will be.
	NotCommitted = namespace.NewType("not_committed")
	// Unknown: the write may have taken effect, or may still take effect.
	Unknown = namespace.NewType("unknown")
	// Unavailable: a read got no answer.
	Unavailable = namespace.NewType("unavailable")
	// Refused: the platform will never accept this request as it stands. Nothing was written.
	Refused = namespace.NewType("refused")
)

var retryAfter = errorx.RegisterProperty("retry_after")

// RetryAfter returns when it is worth while to try again; 0 when err does not say.
func RetryAfter(err error) time.Duration {
	v, ok := errorx.ExtractProperty(err, retryAfter)
	if !ok {
		return 0
	}
	return v.(time.Duration)
}

// IsUnknown reports whether the write behind err may have taken effect, or may still do so.
func IsUnknown(err error) bool { return errorx.IsOfType(err, Unknown) }

// IsNotCommitted reports whether the write behind err is proved never to take effect.
func IsNotCommitted(err error) bool {
	return errorx.IsOfType(err, NotCommitted) || errorx.IsOfType(err, Refused)
}

// fate is what one exchange says about the request it carried.
type fate uint8

const (
	fateAnswered fate = iota // the platform answered the request
	fateNotSent              // proved: the platform executed nothing
	fateRefused              // proved, and sending it again changes nothing
	fateLost                 // it may have been executed, or may yet be
	fateOtherEra             // not sent: its conditions are of an era before
	fateCrossed              // executed under conditions of an era before, in which they may have meant something else
)

// exchangeError is the failure of one exchange with the platform.
type exchangeError struct {
	fate  fate
	after time.Duration
	cause error
}

func (e *exchangeError) Error() string { return e.cause.Error() }
func (e *exchangeError) Unwrap() error { return e.cause }

// transportFate says what a transport error proves. Only a failed dial proves that no byte left.
func transportFate(err error) fate {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fateNotSent
	}
	return fateLost
}

// writeError turns the last exchange's error into the error of a write whose other exchanges are all proved not run.
func writeError(err *exchangeError, op string) error {
	t := Unknown
	switch err.fate {
	case fateOtherEra:
		t = StaleEra
	case fateNotSent:
		t = NotCommitted
	case fateRefused:
		t = Refused
	}
	return withAfter(t.Wrap(err, "transaction %s", op), err.after)
}

func readError(err *exchangeError, what string) error {
	t := Unavailable
	if err.fate == fateRefused {
		t = Refused
	}
	return withAfter(t.Wrap(err, "read of %s", what), err.after)
}

func withAfter(err *errorx.Error, after time.Duration) error {
	if after <= 0 {
		return err
	}
	return err.WithProperty(retryAfter, after)
}
