package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/poison"
)

// Log writes one line for each decision about a request. Lines contain no keys and no bodies.
type Log struct {
	Version func() int64 // of the settings in force
	Era     func() int64 // of the store's history that the settings were read in; nil: not logged
}

// entry holds the fields common to all log lines of a call.
type entry struct {
	id, route, kind, service string
	age                      time.Duration
	resumes, lastEvent       string // of a stream that its caller resumes
	segments                 []uint64
}

func (c *call) entry() entry {
	e := entry{id: c.id, service: c.service, age: time.Since(c.arrived), resumes: c.resumes, lastEvent: c.lastEvent, segments: c.segments}
	if c.route != nil {
		e.route = c.route.Name
		e.kind = c.route.Kind.String()
	}
	return e
}

func (l Log) line(ev *log.Entry, event string, e entry) *log.Entry {
	ev = ev.Str("event", event).Str("request", e.id).Str("route", e.route).Str("kind", e.kind)
	ev = ev.Str("service", e.service).Int64("age_ms", e.age.Milliseconds())
	if l.Version != nil {
		ev = ev.Int64("settings", l.Version())
	}
	if l.Era != nil {
		ev = ev.Int64("era", l.Era())
	}
	if e.resumes != "" || e.lastEvent != "" {
		ev = ev.Str("resumes", shorten(e.resumes)).Str("last_event", shorten(e.lastEvent))
	}
	return ev
}

// Refused logs a response of the gateway itself.
func (l Log) Refused(e entry, status int, reason string, after time.Duration) {
	l.line(log.Warn(), "refused", e).Int("status", status).Str("reason", reason).Int64("retry_after_ms", after.Milliseconds()).Msg("")
}

// Origin logs what is known of a stream that its caller resumes, and how long that took to find.
func (l Log) Origin(e entry, o StreamOrigin, took time.Duration) {
	ev := l.line(log.Info(), "stream_origin", e).Bool("known", o.Software != 0).Bool("settled", o.Settled)
	ev.Int64("took_ms", took.Milliseconds()).Msg("")
}

// NoTarget logs why no target accepts a call.
func (l Log) NoTarget(e entry, a fleet.Availability) {
	ev := l.line(log.Info(), "no_target", e).Int("takes", a.Accepting).Int("cold", a.Cold).Int("limited", a.Limited).
		Int("resting", a.InBackoff)
	ev.Int("evacuated", a.Evacuated).Int("out_of_region", a.OutOfRegion).Int("other_software", a.OtherSoftware).Msg("")
}

// Sent logs how an exchange with a target ended, and the state of the target assumed when it was chosen. via is the peer by way of which
// it went; empty: none.
func (l Log) Sent(e entry, target fleet.Info, known fleet.KnownState, via string, status int, outcome string, err error) {
	ev := l.line(log.Info(), "sent", e).Str("target", target.ID).Str("software", target.Software.Name).Int("ready", known.ReadyTargets)
	if via != "" {
		ev = ev.Str("via", via)
	}
	ev = ev.Int("runs", known.Load.Runs).Int("tokens", known.Load.Tokens).Int("unread", known.Load.Unread)
	ev = ev.Int("peers", known.Peers).Int64("news_ms", known.OldestUpdate.Milliseconds())
	if p := known.Plain; p.Reported {
		ev = ev.Int("others", p.Others).Int64("load_ms", p.Age.Milliseconds())
	}
	if p := known.Plain; p.Slowdown > 1 {
		ev = ev.Float64("slowdown", p.Slowdown)
	}
	if len(e.segments) > 0 {
		ev = ev.Str("segments", formatSegments(e.segments))
	}
	if len(known.Skipped) > 0 {
		ev = ev.Str("passed_over", passedOver(known.Skipped))
	}
	logline.Send(ev.Int("status", status).Str("outcome", outcome), err)
}

// maxLoggedSegments bounds the prompt segments in a log line.
const maxLoggedSegments = 8

// formatSegments joins the ids of segments by commas; the number of those left out follows after a plus sign.
func formatSegments(list []uint64) string {
	out := make([]string, 0, maxLoggedSegments+1)
	for _, s := range list[:min(len(list), maxLoggedSegments)] {
		out = append(out, strconv.FormatUint(s, 16))
	}
	if more := len(list) - maxLoggedSegments; more > 0 {
		out = append(out, fmt.Sprintf("+%d", more))
	}
	return strings.Join(out, ",")
}

// TargetDied logs that a target accepts no connections after it broke off a call, and how its content is judged now.
func (l Log) TargetDied(e entry, target string, content uint64, verdict poison.Verdict, err error) {
	ev := l.line(log.Warn(), "target_died", e).Str("target", target).Uint64("content", content).Str("verdict", verdict.String())
	logline.Send(ev.Str("segments", formatSegments(e.segments)), err)
}

// TargetAlive logs that a target accepts connections after it broke off a call, which is therefore not blamed.
func (l Log) TargetAlive(e entry, target string) {
	l.line(log.Info(), "target_alive", e).Str("target", target).Msg("")
}

// DeathUnknown logs that a target that broke off a call may have died, or this instance's own link may be lost. The call is not blamed.
func (l Log) DeathUnknown(e entry, target string, cause error) {
	l.line(log.Info(), "target_death_unknown", e).Str("target", target).AnErr("cause", cause).Msg("")
}

// BlamesMerged logs that a peer reported contents that were on dying targets.
func (l Log) BlamesMerged(contents, segments int) {
	log.Info().Str("event", "blames_merged").Int("contents", contents).Int("segments", segments).Msg("")
}

// passedOver formats skipped targets as id, reason, its age in milliseconds and its source, as in w1:limit:120:told.
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

// TargetLeaving logs that a target's response says that it is leaving.
func (l Log) TargetLeaving(t fleet.Info) {
	log.Info().Str("event", "target_says_it_leaves").Str("target", t.ID).Str("service", t.Service).Msg("")
}

// FirstEvent logs a stream's first event, and how long the stream had waited for an engine before it was sent.
func (l Log) FirstEvent(e entry, target string, waited time.Duration) {
	ev := l.line(log.Info(), "first_event", e).Str("target", target).Int64("after_ms", e.age.Milliseconds())
	ev.Int64("waited_ms", waited.Milliseconds()).Msg("")
}

// Answered logs a response forwarded whole.
func (l Log) Answered(e entry, target string, status int, after time.Duration) {
	l.line(log.Info(), "answered", e).Str("target", target).Int("status", status).Int64("after_ms", after.Milliseconds()).Msg("")
}

// Streamed logs a stream forwarded to its end, with its longest pause between two events.
func (l Log) Streamed(e entry, target string, events int, pause time.Duration) {
	ev := l.line(log.Info(), "answered", e).Str("target", target).Int("status", http.StatusOK).Int64("after_ms", e.age.Milliseconds())
	ev.Int("events", events).Int64("pause_ms", pause.Milliseconds()).Msg("")
}

// StreamCut logs a stream aborted midway.
func (l Log) StreamCut(e entry, target, reason string, events int) {
	l.line(log.Warn(), "cut", e).Str("target", target).Str("reason", reason).Int("events", events).Msg("")
}

// AnswerCut logs a response that was forwarded as it arrived and broke off.
func (l Log) AnswerCut(e entry, target string, err error) {
	l.line(log.Warn(), "answer_cut", e).Str("target", target).Err(err).Msg("")
}

// EventsRepeated logs events dropped because the caller has them; last is the id of the newest of those.
func (l Log) EventsRepeated(e entry, target, last string, n int) {
	l.line(log.Warn(), "events_repeated", e).Str("target", target).Str("last_event", last).Int("events", n).Msg("")
}

// TargetSilent logs that a stream was ended because its target went silent.
func (l Log) TargetSilent(e entry, target string, since time.Duration) {
	l.line(log.Warn(), "target_silent", e).Str("target", target).Int64("silent_ms", since.Milliseconds()).Msg("")
}

// RunKept logs that a run waits until one of the engines that keep its memory accepts it, and how long they keep it.
func (l Log) RunKept(e entry, k *keptRun, now time.Time) {
	ids := make([]string, len(k.holders))
	for i, h := range k.holders {
		ids[i] = h.target.ID
	}
	ev := l.line(log.Info(), "run_kept", e).Str("at", strings.Join(ids, " "))
	ev.Int64("left_ms", (k.ttl - handleMargin - now.Sub(k.updated)).Milliseconds()).Msg("")
}

// ResumedFromBackup logs a run that resumes from a copy after its engine failed.
func (l Log) ResumedFromBackup(e entry, to fleet.Info, events int) {
	l.line(log.Warn(), "from_backup", e).Str("to", to.ID).Str("software", to.Software.Name).Int("events", events).Msg("")
}

// Moved logs how a move of a run ended.
func (l Log) Moved(e entry, from, to fleet.Info, took time.Duration, err error) {
	ev := l.line(log.Info(), "moved", e).Str("from", from.ID).Str("software", from.Software.Name)
	ev = ev.Str("to", to.ID).Str("to_software", to.Software.Name)
	logline.Send(ev.Int64("took_ms", took.Milliseconds()), err)
}

// LimitChanged logs that a target's limit begins, changes or ends.
func (l Log) LimitChanged(t fleet.Info, limit fleet.Limit) {
	ev := log.Info().Str("event", "target_limit").Str("target", t.ID).Str("service", t.Service)
	ev.Bool("on", limit.On).Float64("per_second", limit.PerSecond).Msg("")
}

// BrittleChanged logs that a target begins or ceases to be brittle.
func (l Log) BrittleChanged(t fleet.Info, b fleet.Brittle) {
	ev := log.Info().Str("event", "target_brittle").Str("target", t.ID).Str("service", t.Service)
	ev.Bool("on", b.On).Float64("max_rejected", b.MaxRejected).Msg("")
}

// BrittleInvalid logs that a target named a number of rejections that is ignored.
func (l Log) BrittleInvalid(t fleet.Info, value string) {
	ev := log.Warn().Str("event", "brittle_fault").Str("target", t.ID).Str("service", t.Service)
	ev.Str("value", shorten(value)).Msg("")
}

// LoadFault logs that a target's response named a load that is ignored.
func (l Log) LoadFault(t fleet.Info, fault, value string) {
	ev := log.Warn().Str("event", "load_fault").Str("target", t.ID).Str("service", t.Service)
	ev.Str("fault", fault).Str("value", shorten(value)).Msg("")
}

// maxLoggedValue bounds a value from a target or a caller in a log line, in bytes.
const maxLoggedValue = 64

func shorten(value string) string { return value[:min(len(value), maxLoggedValue)] }

// TargetResting logs that a target accepts nothing from this instance for some time.
func (l Log) TargetResting(t fleet.Info, wait time.Duration) {
	ev := log.Info().Str("event", "target_rests").Str("target", t.ID).Str("service", t.Service)
	ev.Int64("for_ms", wait.Milliseconds()).Msg("")
}

// Warn logs an event that belongs to no single request.
func (l Log) Warn(event, subject string, err error) {
	logline.Send(log.Warn().Str("event", event).Str("subject", subject), err)
}

// String returns the verdict's name in logs.
func (v verdict) String() string {
	return [...]string{"good", "failure", "not_run", "faulty"}[v]
}

// SoftwareUnknown logs that a stream begins at an engine that could not be asked for its incarnation, and can't continue elsewhere.
func (l Log) SoftwareUnknown(e entry, target string, err error) {
	logline.Send(l.line(log.Info(), "software_unknown", e).Str("target", target), err)
}
