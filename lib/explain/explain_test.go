package explain

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const logs = `  1.0 gw-2 time=2026-01-01T00:00:01.500Z level=info event=target_leaving target=e1 addr=10.0.0.1:1
  1.0 gw-1 time=2026-01-01T00:00:01.200Z level=info event=first_event request=q1 target=e1 after_ms=200
  not a log line
  1.0 gw-1 time=2026-01-01T00:00:01.900Z level=warn event=cut request=q1 target=e1 reason=target_broken events=7
  1.0 gw-1 time=2026-01-01T00:00:01.000Z level=warn event=feed_failed feed=targets cause="connection reset by peer"
  1.0 gw-3 time=2026-01-01T00:00:01.000Z level=warn event=feed_failed feed=targets cause="of an instance that never had it"
  1.0 gw-1 time=2026-01-01T00:00:01.300Z level=info event=sent request=q2 target=e1 status=200
  1.0 gw-1 time=2026-01-01T00:01:00.000Z level=info event=stop instance=gw-1
`

// A stream was truncated because its engine left. The timeline has the request's own lines, the engine's leaving as logged by
// another instance, and the failed store connection of the request's instance, in order of time. It omits other requests, the
// feeds of other instances and much later lines.
func TestTimelineOfOneRequest(t *testing.T) {
	var out strings.Builder
	must.NoError(t, Request(&out, strings.NewReader(logs), "q1"))
	var events []string
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for _, l := range lines[:len(lines)-1] {
		for f := range strings.FieldsSeq(l) {
			if f == "cut" || f == "first_event" || f == "target_leaving" || f == "feed_failed" || f == "sent" || f == "stop" {
				events = append(events, f)
			}
		}
	}
	must.Eq(t, []string{"feed_failed", "first_event", "target_leaving", "cut"}, events)
	must.StrContains(t, lines[len(lines)-1], "ended: cut reason=target_broken events=7: the target's response was truncated")
	must.StrContains(t, out.String(), `cause="connection reset by peer"`)
}

func TestUnknownRequestIsReported(t *testing.T) {
	must.ErrorIs(t, Request(&strings.Builder{}, strings.NewReader(logs), "q9"), ErrRequestNotFound)
}

// An instance that is killed does not log the end of its requests.
func TestMissingEndIsReported(t *testing.T) {
	var out strings.Builder
	must.NoError(t, Request(&out, strings.NewReader(logs), "q2"))
	must.StrContains(t, out.String(), "no line records the end")
}

const passedLogs = `  1.0 gw-1 time=2026-01-01T00:00:01.100Z level=info event=target_limit target=p1 on=true per_second=4.5
  1.0 gw-1 time=2026-01-01T00:00:01.200Z level=info event=target_rests target=p2 for_ms=900
  1.0 gw-1 time=2026-01-01T00:00:01.300Z level=info event=target_rests target=p9 for_ms=900
  1.0 gw-1 time=2026-01-01T00:00:01.400Z level=info event=sent request=q1 target=p3 passed_over="p1:limit:300:told p2:rests:200:own"
  1.0 gw-1 time=2026-01-01T00:00:01.410Z level=info event=answered request=q1 target=p3 status=200
`

// A request was sent to the third target of a service. The timeline shows why the others were passed over and when their limits
// were logged.
func TestTimelineShowsPassedOverTargets(t *testing.T) {
	var out strings.Builder
	must.NoError(t, Request(&out, strings.NewReader(passedLogs), "q1"))
	must.StrContains(t, out.String(), `passed_over="p1:limit:300:told p2:rests:200:own"`)
	must.StrContains(t, out.String(), `target_limit target="p1"`)
	must.StrContains(t, out.String(), `target_rests target="p2"`)
	must.StrNotContains(t, out.String(), "p9")
}

const eraLogs = `  1.0 gw-1 time=2026-01-01T00:00:00.300Z level=warn event=feed_era feed=settings before=1/64 now=2/30 rows=0 kept_writes=1
  1.0 gw-2 time=2026-01-01T00:00:00.300Z level=warn event=feed_era feed=settings before=1/64 now=2/30 rows=0 kept_writes=1
  1.0 gw-1 time=2026-01-01T00:00:01.400Z level=info event=sent request=q1 settings=28 era=2 target=p3 status=200
`

// The store was restored from a backup before the request. The timeline shows this, and the store era of the settings that
// the request was served with.
func TestTimelineShowsStoreEra(t *testing.T) {
	var out strings.Builder
	must.NoError(t, Request(&out, strings.NewReader(eraLogs), "q1"))
	must.StrContains(t, out.String(), `gw-1 feed_era feed="settings" before="1/64" now="2/30"`)
	must.StrContains(t, out.String(), `settings="28" era="2"`)
	must.StrNotContains(t, out.String(), "gw-2")
}
