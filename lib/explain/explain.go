// Package explain builds the timeline of one request from the log lines of all instances. It includes concurrent events of
// the targets that the request used, of the settings, and of the instances' starts and stops.
package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// ErrRequestNotFound is returned when no log line has the request's id.
var ErrRequestNotFound = errors.New("explain: no log line has this request id")

// maxLine bounds the length of a line in bytes; log lines are far shorter.
const maxLine = 1 << 20

// contextWindow is the time before and after the request in which lines without its id are considered.
const contextWindow = 2 * time.Second

// Log fields that are evaluated.
const (
	fieldTime     = "time"
	fieldEvent    = "event"
	fieldRequest  = "request"
	fieldTarget   = "target"
	fieldFrom     = "from"
	fieldTo       = "to"
	fieldSubject  = "subject"
	fieldInstance = "instance"
	fieldPassed   = "passed_over" // targets not chosen, as id:reason:age:source, separated by spaces
)

// instanceEvents lists events that affect everything an instance does.
var instanceEvents = map[string]bool{
	"start": true, "stop": true, "stopped": true, "end": true, "memory": true, "reload": true, "reload_refused": true, "settings": true,
	"feed_failed": true, "feed_regained": true, "feed_era": true, "row_hidden": true, "log_dropped": true,
}

// line is one log line.
type line struct {
	at     time.Time
	source string // last word before the log line: the instance name that a log collector prepends
	event  string
	fields []field
}

type field struct{ key, value string }

func (l *line) get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// parse parses a line of key=value pairs; ok is false for any other line.
func parse(text string) (l line, ok bool) {
	start := strings.Index(text, fieldTime+"=")
	if start < 0 {
		return line{}, false
	}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		l.source = before[len(before)-1]
	}
	d := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields = append(l.fields, field{string(d.Key()), string(d.Value())})
		}
	}
	if d.Err() != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.get(fieldTime))
	if err != nil {
		return line{}, false
	}
	l.at, l.event = at, l.get(fieldEvent)
	return l, l.event != ""
}

// read parses all lines and skips those that are not log lines.
func read(r io.Reader) ([]line, error) {
	var out []line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		if l, ok := parse(s.Text()); ok {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

// timeline collects what the log says of one request.
type timeline struct {
	instances map[string]bool // instances that logged the request
	targets   map[string]bool // targets that it was sent or moved to, or that were passed over
	first     time.Time
	last      time.Time
	end       *line // the line of the final event, or nil
}

// endEvents lists the events that end a request.
var endEvents = map[string]bool{"answered": true, "refused": true, "cut": true}

func newTimeline(lines []line, request string) *timeline {
	t := &timeline{instances: map[string]bool{}, targets: map[string]bool{}}
	for i := range lines {
		l := &lines[i]
		if l.get(fieldRequest) != request {
			continue
		}
		t.instances[l.source] = true
		for _, key := range []string{fieldTarget, fieldFrom, fieldTo} {
			if target := l.get(key); target != "" {
				t.targets[target] = true
			}
		}
		for _, passed := range strings.Fields(l.get(fieldPassed)) {
			id, _, _ := strings.Cut(passed, ":")
			t.targets[id] = true
		}
		if t.first.IsZero() || l.at.Before(t.first) {
			t.first = l.at
		}
		if l.at.After(t.last) {
			t.last = l.at
		}
		if endEvents[l.event] {
			t.end = l
		}
	}
	return t
}

// isRelated reports whether a line without the request's id belongs to the timeline.
func (t *timeline) isRelated(l *line) bool {
	if l.get(fieldRequest) != "" || l.at.Before(t.first.Add(-contextWindow)) || l.at.After(t.last.Add(contextWindow)) {
		return false
	}
	if t.targets[l.get(fieldTarget)] || t.targets[l.get(fieldSubject)] {
		return true
	}
	return t.instances[l.source] && instanceEvents[l.event]
}

// dedupKey returns a key for deduplication. All instances log the same event of a target; only the first is printed.
func (t *timeline) dedupKey(l *line) string {
	target := l.get(fieldTarget) + l.get(fieldSubject)
	if t.targets[target] {
		return l.event + " " + target
	}
	return l.event + " " + l.source + l.at.String()
}

// Request reads logs from r and writes the timeline of one request and its outcome to w.
func Request(w io.Writer, r io.Reader, request string) error {
	lines, err := read(r)
	if err != nil {
		return err
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	t := newTimeline(lines, request)
	if t.first.IsZero() {
		return ErrRequestNotFound
	}
	printed := map[string]bool{}
	for i := range lines {
		l := &lines[i]
		switch {
		case l.get(fieldRequest) == request:
			t.print(w, l, "*")
		case t.isRelated(l) && !printed[t.dedupKey(l)]:
			printed[t.dedupKey(l)] = true
			t.print(w, l, " ")
		}
	}
	_, err = fmt.Fprintln(w, t.conclusion())
	return err
}

// print writes a line with the time since the request's first line; mark distinguishes the request's own lines.
func (t *timeline) print(w io.Writer, l *line, mark string) {
	fmt.Fprintf(w, "%s %+9.3fs %s %s", mark, l.at.Sub(t.first).Seconds(), l.source, l.event)
	for _, f := range l.fields {
		switch f.key {
		case fieldTime, fieldEvent, fieldRequest, "level":
		default:
			fmt.Fprintf(w, " %s=%q", f.key, f.value)
		}
	}
	fmt.Fprintln(w)
}

// conclusion describes in one line how the request ended.
func (t *timeline) conclusion() string {
	if t.end == nil {
		return "no line records the end: the instance crashed, or dropped lines (see log_dropped), or the logs end earlier"
	}
	out := "ended: " + t.end.event
	for _, key := range []string{"status", "reason", "events", "after_ms", "age_ms"} {
		if v := t.end.get(key); v != "" {
			out += " " + key + "=" + v
		}
	}
	if text := reasons[t.end.get("reason")]; text != "" {
		out += ": " + text
	}
	return out
}
