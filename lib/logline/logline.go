// Package logline configures the process's logger, which writes one line of key=value pairs per event.
package logline

import (
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

// Levels lists the level names that Setup accepts, for messages.
const Levels = "debug, info, warn or error"

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var levels = map[string]log.Level{
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

// Setup configures the default logger to write to w at the given level and above.
func Setup(w io.Writer, level string) error {
	l, ok := levels[level]
	if !ok {
		return fmt.Errorf("log level %q: expected %s", level, Levels)
	}
	log.DefaultLogger = log.Logger{
		Level:      l,
		TimeField:  "time",
		TimeFormat: timeFormat,
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: format},
	}
	return nil
}

// FlushTimeout bounds the time to write the remaining log lines at exit.
const FlushTimeout = 200 * time.Millisecond

// SetupProcess configures the default logger of a process to write to standard output or standard error without ever blocking. It ignores SIGPIPE,
// which would end the process at the first line after whatever reads its log has closed the pipe. Flush the returned writer before the process exits.
func SetupProcess(f *os.File, level string) (*BoundedWriter, error) {
	signal.Ignore(syscall.SIGPIPE)
	out := NewBoundedWriter(f)
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{})
	return out, Setup(out, level)
}

// maxLibraryText bounds the bytes of a text that a library logs, such as the stack of a handler's panic.
const maxLibraryText = 2 << 10

// libraryWriter logs what libraries write to the standard logger, which would block on standard error if nobody reads it.
type libraryWriter struct{}

// Write implements io.Writer. It never fails.
func (libraryWriter) Write(text []byte) (int, error) {
	log.Warn().Str("event", "library").Str("text", strings.TrimSpace(string(text[:min(len(text), maxLibraryText)]))).Msg("")
	return len(text), nil
}

// format writes one line. Values are quoted only if they would be ambiguous otherwise.
func format(w io.Writer, args *log.FormatterArgs) (int, error) {
	b := make([]byte, 0, 256)
	b = appendPair(b, "time", args.Time)
	b = appendPair(b, "level", args.Level)
	for _, kv := range args.KeyValues {
		b = appendPair(b, kv.Key, kv.Value)
	}
	if args.Message != "" {
		b = appendPair(b, "message", args.Message)
	}
	b[len(b)-1] = '\n'
	return w.Write(b)
}

// appendPair appends a pair and a space.
func appendPair(b []byte, key, value string) []byte {
	b = append(b, key...)
	b = append(b, '=')
	if needsNoQuotes(value) {
		b = append(b, value...)
	} else {
		b = strconv.AppendQuote(b, value)
	}
	return append(b, ' ')
}

func needsNoQuotes(value string) bool {
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\' {
			return false
		}
	}
	return value != ""
}

// Send adds err, if any, as the field "cause" and writes the entry.
func Send(e *log.Entry, err error) {
	if err != nil {
		e = e.Str("cause", err.Error())
	}
	e.Msg("")
}
