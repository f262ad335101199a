// Package explain puts the log lines of one request, from all instances, into one timeline, with what the instances had
// to say meanwhile of the targets that it was sent to, of the settings and of their own stops.
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

// ErrRequestNotFound says that no line tells of the request.
var ErrRequestNotFound = errors.New("explain: no line tells of this request")

// maxLine bounds a line, in bytes; log lines are far shorter.
const maxLine = 1 << 20

// around is how long before and after the request lines without its id are still of interest.
const around = 2 * time.Second

// Names of fields and events that are looked at.
const (
	fieldTime     = "time"
	fieldEvent    = "event"
	fieldRequest  = "request"
	fieldTarget   = "target"
	fieldFrom     = "from"
	fieldTo       = "to"
	fieldSubject  = "subject"
	fieldInstance = "instance"
	fieldPassed   = "passed_over" // targets that the choice passed over, as id:reason:age:source, with blanks between
)

// ofInstance are events that touch whatever an instance is doing.
var ofInstance = map[string]bool{
	"start": true, "stop": true, "stopped": true, "reload": true, "reload_refused": true, "settings": true,
	"feed_failed": true, "feed_regained": true, "feed_era": true, "log_dropped": true,
}

// line is one line of a log.
type line struct {
	at     time.Time
	source string // the last word before the line: the name of the instance, as a collector adds it
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

// parse reads a line of key=value pairs; ok is false for any other.
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

// read parses all lines; what is no log line is left out.
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

// story is what one request went through.
type story struct {
	sources map[string]bool // instances that tell of it
	targets map[string]bool // that it was sent or moved to, or that were passed over for it
	first   time.Time
	last    time.Time
	end     *line // the line that tells how it ended, if any
}

// ends are events after which a request is over.
var ends = map[string]bool{"answered": true, "refused": true, "cut": true}

func storyOf(lines []line, request string) *story {
	s := &story{sources: map[string]bool{}, targets: map[string]bool{}}
	for i := range lines {
		l := &lines[i]
		if l.get(fieldRequest) != request {
			continue
		}
		s.sources[l.source] = true
		for _, key := range []string{fieldTarget, fieldFrom, fieldTo} {
			if t := l.get(key); t != "" {
				s.targets[t] = true
			}
		}
		for _, passed := range strings.Fields(l.get(fieldPassed)) {
			id, _, _ := strings.Cut(passed, ":")
			s.targets[id] = true
		}
		if s.first.IsZero() || l.at.Before(s.first) {
			s.first = l.at
		}
		if l.at.After(s.last) {
			s.last = l.at
		}
		if ends[l.event] {
			s.end = l
		}
	}
	return s
}

// concerns tells whether a line without the request's id belongs to its story.
func (s *story) concerns(l *line) bool {
	if l.get(fieldRequest) != "" || l.at.Before(s.first.Add(-around)) || l.at.After(s.last.Add(around)) {
		return false
	}
	if s.targets[l.get(fieldTarget)] || s.targets[l.get(fieldSubject)] {
		return true
	}
	return s.sources[l.source] && ofInstance[l.event]
}

// news names what a line tells. Of a target every instance tells the same; the first to see it is enough.
func (s *story) news(l *line) string {
	target := l.get(fieldTarget) + l.get(fieldSubject)
	if s.targets[target] {
		return l.event + " " + target
	}
	return l.event + " " + l.source + l.at.String()
}

// Request reads logs from r and writes to w the timeline of one request, and what ended it.
func Request(w io.Writer, r io.Reader, request string) error {
	lines, err := read(r)
	if err != nil {
		return err
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	s := storyOf(lines, request)
	if s.first.IsZero() {
		return ErrRequestNotFound
	}
	told := map[string]bool{}
	for i := range lines {
		l := &lines[i]
		switch {
		case l.get(fieldRequest) == request:
			s.print(w, l, "*")
		case s.concerns(l) && !told[s.news(l)]:
			told[s.news(l)] = true
			s.print(w, l, " ")
		}
	}
	_, err = fmt.Fprintln(w, s.conclusion())
	return err
}

// print writes a line with the time since the request's first one; its own lines are marked.
func (s *story) print(w io.Writer, l *line, mark string) {
	fmt.Fprintf(w, "%s %+9.3fs %s %s", mark, l.at.Sub(s.first).Seconds(), l.source, l.event)
	for _, f := range l.fields {
		switch f.key {
		case fieldTime, fieldEvent, fieldRequest, "level":
		default:
			fmt.Fprintf(w, " %s=%q", f.key, f.value)
		}
	}
	fmt.Fprintln(w)
}

// conclusion says in one line how the request ended.
func (s *story) conclusion() string {
	if s.end == nil {
		return "no line tells its end: the instance died, or dropped lines (see log_dropped), or the logs end before"
	}
	out := "ended: " + s.end.event
	for _, key := range []string{"status", "reason", "events", "after_ms", "age_ms"} {
		if v := s.end.get(key); v != "" {
			out += " " + key + "=" + v
		}
	}
	if text := reasons[s.end.get("reason")]; text != "" {
		out += ": " + text
	}
	return out
}
