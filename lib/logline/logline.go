// Package logline sets up the process's log: one line of key=value pairs for each event.
package logline

import (
	"fmt"
	"io"
	"strconv"

	"github.com/phuslu/log"
)

// Levels lists the names that Setup knows.
const Levels = "debug, info, warn or error"

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var levels = map[string]log.Level{
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

// Setup makes the default logger write to w from the named level on.
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

// format writes one line. Values are quoted only where a reader needs it.
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

// appendPair appends one pair and a blank.
func appendPair(b []byte, key, value string) []byte {
	b = append(b, key...)
	b = append(b, '=')
	if plain(value) {
		b = append(b, value...)
	} else {
		b = strconv.AppendQuote(b, value)
	}
	return append(b, ' ')
}

func plain(value string) bool {
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\' {
			return false
		}
	}
	return value != ""
}

// Send adds an error, when there is one, and ends the line.
func Send(e *log.Entry, err error) {
	if err != nil {
		e = e.Str("cause", err.Error())
	}
	e.Msg("")
}
