package gatewayproc

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/membudget"
)

// logEnd logs why the process ends. Without the line, an end by an error looks like a kill to whoever has only the log.
func logEnd(instance string, err error) {
	if err == nil {
		log.Info().Str("event", "end").Str("instance", instance).Str("reason", "stopped").Msg("")
		return
	}
	logline.Send(log.Error().Str("event", "end").Str("instance", instance).Str("reason", "failed"), err)
}

// logPanic logs a panic that ends the process and panics again. Defer it in goroutines that serve no request; net/http recovers those that
// do.
func (p *Process) logPanic() {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	stack = stack[:min(maxStackLogged, len(stack))]
	log.Error().Str("event", "end").Str("instance", p.cfg.Instance).Str("reason", "panic").Str("cause", fmt.Sprint(v)).Bytes("stack", stack).Msg("")
	p.cfg.flushLog(time.Time{})
	panic(v)
}

// maxStackLogged bounds the bytes of a stack trace in the log.
const maxStackLogged = 2 << 10

// flushLog waits until the log's queue is written, if the configuration names how, for logline.FlushTimeout, or until a time; zero: there is none.
func (cfg *Config) flushLog(by time.Time) {
	timeout := logline.FlushTimeout
	if !by.IsZero() {
		timeout = min(timeout, time.Until(by))
	}
	if cfg.FlushLog != nil {
		cfg.FlushLog(timeout)
	}
}

// logPressure logs a changed step of memory use, and what callers hold at that moment.
func (p *Process) logPressure(step membudget.Pressure, used, limit int64) {
	level := log.WarnLevel
	if step == membudget.PressureNone {
		level = log.InfoLevel
	}
	log.DefaultLogger.WithLevel(level).Str("event", "memory").Str("pressure", step.String()).Int64("used_bytes", used).Int64("limit_bytes", limit).
		Int64("connections", p.callerConns.Load()).Int64("requests", p.gate.OpenRequests()).Int64("body_bytes", p.gate.BodyBytes()).Msg("")
}
