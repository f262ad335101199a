// Package invariant checks conditions in the running program that must always hold.
//
// A broken invariant is a defect of this program, never of a caller or target. It is logged and counted, and the caller of
// Check stops only the affected request or role. Tests install a hook that makes them fail.
package invariant

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// ErrBroken is wrapped by every error that Check and Broken return.
var ErrBroken = errors.New("invariant broken")

var hook atomic.Pointer[func(name, detail string)]

// SetHook installs f, which is called on every violation after it was logged and counted; nil removes it. Tests use it to panic.
func SetHook(f func(name, detail string)) {
	if f == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&f)
}

// Check returns nil if ok. Otherwise it logs and counts the violation and returns an error that wraps ErrBroken. name must be
// one of a fixed set, since it labels a counter; detail is formatted only on a violation.
func Check(ok bool, name, format string, args ...any) error {
	if ok {
		return nil
	}
	return Broken(name, fmt.Sprintf(format, args...))
}

// Broken reports a violation that the caller has detected. On hot paths it avoids the boxing of Check's arguments.
func Broken(name, detail string) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("anvilwick_invariant_broken_total{name=%q}", name)).Inc()
	log.Error().Str("event", "invariant_broken").Str("name", name).Str("detail", detail).Msg("")
	if f := hook.Load(); f != nil {
		(*f)(name, detail)
	}
	return fmt.Errorf("%w: %s: %s", ErrBroken, name, detail)
}

// Count returns the number of violations of the named invariant since the process started.
func Count(name string) uint64 {
	return metrics.GetOrCreateCounter(fmt.Sprintf("anvilwick_invariant_broken_total{name=%q}", name)).Get()
}
