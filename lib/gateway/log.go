package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
)

// Log writes one line for each decision about a request. Lines carry no key and no body.
type Log struct {
	Version func() int64 // of the settings in force
	Era     func() int64 // of the store's history that these were last read in; nil: not told
}

// entry is what each line about a call says of it.
type entry struct {
	id, route, kind, service string
	age                      time.Duration
}

func (c *call) entry() entry {
	e := entry{id: c.id, service: c.service, age: time.Since(c.arrived)}
	if c.route != nil {
		e.route = c.route.Name
		e.kind = c.route.Kind.String()
	}
	return e
}

func (l Log) line(at *log.Entry, event string, e entry) *log.Entry {
	at = at.Str("event", event).Str("request", e.id).Str("route", e.route).Str("kind", e.kind)
	at = at.Str("service", e.service).Int64("age_ms", e.age.Milliseconds())
	if l.Version != nil {
		at = at.Int64("settings", l.Version())
	}
	if l.Era != nil {
		at = at.Int64("era", l.Era())
	}
	return at
}

// Refused tells of an answer of the gateway's own.
func (l Log) Refused(e entry, status int, reason string, after time.Duration) {
	l.line(log.Warn(), "refused", e).Int("status", status).Str("reason", reason).Int64("retry_after_ms", after.Milliseconds()).Msg("")
}

// Unplaced tells why no target takes a call.
func (l Log) Unplaced(e entry, s fleet.Availability) {
	at := l.line(log.Info(), "no_target", e).Int("takes", s.Accepting).Int("cold", s.Cold).Int("limited", s.Limited).Int("resting", s.InBackoff)
	at.Int("evacuated", s.Evacuated).Int("out_of_region", s.OutOfRegion).Msg("")
}

// Sent tells how a send to one target ended, and what was believed of that target when it was chosen.
func (l Log) Sent(e entry, target string, b fleet.KnownState, status int, outcome string, err error) {
	at := l.line(log.Info(), "sent", e).Str("target", target).Int("ready", b.ReadyTargets)
	at = at.Int("runs", b.Load.Runs).Int("tokens", b.Load.Tokens).Int("unread", b.Load.Unread)
	at = at.Int("peers", b.Peers).Int64("news_ms", b.OldestUpdate.Milliseconds())
	if len(b.Skipped) > 0 {
		at = at.Str("passed_over", passedOver(b.Skipped))
	}
	logline.Cause(at.Int("status", status).Str("outcome", outcome), err)
}

// passedOver writes targets with what they said, its age in milliseconds and who heard it, as in w1:limit:120:told.
func passedOver(list []fleet.SkippedTarget) string {
	out := make([]string, len(list))
	for i, p := range list {
		source := "own"
		if p.Relayed {
			source = "told"
		}
		out[i] = fmt.Sprintf("%s:%s:%d:%s", p.ID, p.Reason, p.Age.Milliseconds(), source)
	}
	return strings.Join(out, " ")
}

// SaysItLeaves tells that a target says in an answer that it leaves.
func (l Log) SaysItLeaves(t fleet.Info) {
	log.Info().Str("event", "target_says_it_leaves").Str("target", t.ID).Str("service", t.Service).Msg("")
}

// Begun tells of a stream's first event, and how long the stream had waited for an engine before it was sent.
func (l Log) Begun(e entry, target string, waited time.Duration) {
	at := l.line(log.Info(), "first_event", e).Str("target", target).Int64("after_ms", e.age.Milliseconds())
	at.Int64("waited_ms", waited.Milliseconds()).Msg("")
}

// Answered tells of an answer passed on whole.
func (l Log) Answered(e entry, target string, status int, after time.Duration) {
	l.line(log.Info(), "answered", e).Str("target", target).Int("status", status).Int64("after_ms", after.Milliseconds()).Msg("")
}

// Streamed tells of a stream passed on whole, with its longest pause between two events.
func (l Log) Streamed(e entry, target string, events int, pause time.Duration) {
	at := l.line(log.Info(), "answered", e).Str("target", target).Int("status", http.StatusOK).Int64("after_ms", e.age.Milliseconds())
	at.Int("events", events).Int64("pause_ms", pause.Milliseconds()).Msg("")
}

// Cut tells of a stream broken off midway.
func (l Log) Cut(e entry, target, reason string, events int) {
	l.line(log.Warn(), "cut", e).Str("target", target).Str("reason", reason).Int("events", events).Msg("")
}

// Repeated tells of events that were left out because the caller has them; last is the newest of those.
func (l Log) Repeated(e entry, target, last string, n int) {
	l.line(log.Warn(), "events_repeated", e).Str("target", target).Str("last_event", last).Int("events", n).Msg("")
}

// Silent tells of a target given up on because nothing comes from it.
func (l Log) Silent(e entry, target string, since time.Duration) {
	l.line(log.Warn(), "target_silent", e).Str("target", target).Int64("silent_ms", since.Milliseconds()).Msg("")
}

// FromBackup tells of a run that goes on from its copy after its engine failed.
func (l Log) FromBackup(e entry, to string, events int) {
	l.line(log.Warn(), "from_backup", e).Str("to", to).Int("events", events).Msg("")
}

// Moved tells how a move of a run ended.
func (l Log) Moved(e entry, from, to string, took time.Duration, err error) {
	logline.Cause(l.line(log.Info(), "moved", e).Str("from", from).Str("to", to).Int64("took_ms", took.Milliseconds()), err)
}

// Limited tells that a target's limit begins, changes or ends.
func (l Log) Limited(t fleet.Info, limit fleet.Limit) {
	at := log.Info().Str("event", "target_limit").Str("target", t.ID).Str("service", t.Service)
	at.Bool("on", limit.On).Float64("per_second", limit.PerSecond).Msg("")
}

// Rests tells that a target wants nothing from this instance for some time.
func (l Log) Rests(t fleet.Info, rest time.Duration) {
	at := log.Info().Str("event", "target_rests").Str("target", t.ID).Str("service", t.Service)
	at.Int64("for_ms", rest.Milliseconds()).Msg("")
}

// Warn tells of something that touches no single request.
func (l Log) Warn(event, subject string, err error) {
	logline.Cause(log.Warn().Str("event", event).Str("subject", subject), err)
}

// String returns the name used in logs.
func (v verdict) String() string {
	return [...]string{"good", "failure", "not_run", "faulty"}[v]
}
