// Package invariant checks, in the running program, what must always hold.
//
// A broken invariant is a defect of this program, never of a caller or target. It is logged and counted, and the
// caller of Check stops only the request or role concerned. Tests install a hook that fails them.
package invariant

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// ErrBroken is wrapped by every error that Check returns.
var ErrBroken = errors.New("invariant broken")

var hook atomic.Pointer[func(name, detail string)]

// SetHook installs f, called on every breach after it was logged and counted; nil removes it. Tests use it to panic.
func SetHook(f func(name, detail string)) {
	if f == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&f)
}

// Check returns nil when ok. Otherwise it logs, counts and returns an error that wraps ErrBroken. name is one of a
// fixed set, since it labels a counter; the detail is formatted only on a breach.
func Check(ok bool, name, format string, args ...any) error {
	if ok {
		return nil
	}
	return Broken(name, fmt.Sprintf(format, args...))
}

// Broken reports a breach that the caller has found. On hot paths it saves the boxing of Check's arguments.
func Broken(name, detail string) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("anvilwick_invariant_broken_total{name=%q}", name)).Inc()
	log.Error().Str("event", "invariant_broken").Str("name", name).Str("detail", detail).Msg("")
	if f := hook.Load(); f != nil {
		(*f)(name, detail)
	}
	return fmt.Errorf("%w: %s: %s", ErrBroken, name, detail)
}

// Count returns how often the named invariant was broken since the process started.
func Count(name string) uint64 {
	return metrics.GetOrCreateCounter(fmt.Sprintf("anvilwick_invariant_broken_total{name=%q}", name)).Get()
}
