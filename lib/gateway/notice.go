package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/retry"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// metricNotices counts changes in what targets report about themselves in responses, by kind of notice.
const metricNotices = "anvilwick_gateway_notices_total"

// ResponseHook is called with a target's response to a request or call that was sent at sentAt.
type ResponseHook func(target fleet.Info, resp *wirehttp.Response, sentAt time.Time)

// ReadNotices applies what a response says about its target. The request or call was sent at sentAt.
func (g *Gateway) ReadNotices(target fleet.Info, resp *wirehttp.Response, sentAt time.Time) {
	if resp.Status == http.StatusMisdirectedRequest {
		return // the address belongs to another target
	}
	g.readLoad(target, resp.Header)
	g.readLeaving(target, resp.Header)
	g.readLimit(target, resp, sentAt)
	g.readRetryAfter(target, resp)
}

// readRetryAfter applies the back-off that a target requests from this instance by Retry-After in a refusal.
func (g *Gateway) readRetryAfter(target fleet.Info, resp *wirehttp.Response) {
	if resp.Status != http.StatusServiceUnavailable && resp.Status != http.StatusTooManyRequests {
		return
	}
	now := time.Now()
	wait := retry.ParseRetryAfter(resp.Header, now)
	if wait <= 0 {
		return
	}
	if t, ok := resp.NetConn().(backoffReporter); ok {
		t.ReportBackoff(wait)
	}
	if !g.Fleet.BackOff(now, target, now.Add(wait)) {
		return
	}
	g.Log.TargetResting(target, wait)
	metrics.GetOrCreateCounter(metricNotices + `{notice="rest"}`).Inc()
}

// readLeaving handles a response that says that its target is leaving. The list of targets may say so much later: while the
// store is unavailable, responses are the only source.
func (g *Gateway) readLeaving(target fleet.Info, h http.Header) {
	if v := strings.TrimSpace(h.Get(g.Names.Leaving)); v == "" || v == "0" || g.OnLeaving == nil {
		return
	}
	if g.Fleet.DepartureOf(target.ID) == fleet.Announced {
		return
	}
	g.Log.TargetLeaving(target)
	metrics.GetOrCreateCounter(metricNotices + `{notice="leaving"}`).Inc()
	g.OnLeaving(target)
}

func (g *Gateway) readLimit(target fleet.Info, resp *wirehttp.Response, sentAt time.Time) {
	h := resp.Header
	limit, ok := readLimit(h.Values(g.Names.Limit))
	rejected := resp.Status == http.StatusServiceUnavailable && h.Get(g.Names.NotRun) != ""
	if h.Get(g.Names.Seal) == "" && !limit.On && !rejected {
		return // only the target's own response proves that its limit has ended
	}
	brittle := g.readBrittle(target, h)
	if brittle.On {
		if !ok {
			limit = fleet.Limit{}
		}
		limit, ok = brittle.RoomLimit(time.Now(), sentAt, g.Fleet.LimitOf(target.ID), limit, rejected)
	} else if !limit.On && rejected {
		ok = false
	}
	if !ok {
		return
	}
	changed := g.Fleet.ApplyLimit(target.ID, fleet.LimitNotice{Limit: limit, RequestedAt: sentAt, ReceivedAt: time.Now(), Brittle: brittle.On})
	if g.Owners != nil && (limit.On || changed) {
		g.Owners.ReportLimit(target, changed)
	}
	if !changed {
		return
	}
	g.Log.LimitChanged(target, limit)
	metrics.GetOrCreateCounter(metricNotices + `{notice="limit"}`).Inc()
}

// readBrittle reads how many rejections a second its target bears, and records it.
func (g *Gateway) readBrittle(target fleet.Info, h http.Header) fleet.Brittle {
	b, ok := readBrittle(h.Values(g.Names.Brittle))
	if !ok && g.Fleet.FirstInvalidBrittle(target.ID) {
		g.Log.BrittleInvalid(target, h.Get(g.Names.Brittle))
	}
	if g.Fleet.MarkBrittle(target.ID, b) {
		g.Log.BrittleChanged(target, b)
		metrics.GetOrCreateCounter(metricNotices + `{notice="brittle"}`).Inc()
	}
	return b
}

// readBrittle parses the rejections that a target bears; no value means that it is not brittle, and the lowest of several counts. ok is
// false when none is valid.
func readBrittle(values []string) (b fleet.Brittle, ok bool) {
	if len(values) == 0 {
		return fleet.Brittle{}, true
	}
	for _, v := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		one := fleet.Brittle{On: true, MaxRejected: n}
		if err != nil || !one.Valid() {
			continue
		}
		if !b.On || n < b.MaxRejected {
			b, ok = one, true
		}
	}
	return b, ok
}

// readLimit parses a limit; no value means no limit, and the lowest of several counts. ok is false when none is valid.
func readLimit(values []string) (limit fleet.Limit, ok bool) {
	if len(values) == 0 {
		return fleet.Limit{}, true
	}
	for _, v := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		l := fleet.Limit{On: true, PerSecond: perSecond}
		if err != nil || !l.Valid() {
			continue
		}
		if !limit.On || perSecond < limit.PerSecond {
			limit, ok = l, true
		}
	}
	return limit, ok
}
