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
	g.readLimit(target, resp.Header, sentAt)
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
	if g.Fleet.IsLeaving(target.ID) {
		return
	}
	g.Log.TargetLeaving(target)
	metrics.GetOrCreateCounter(metricNotices + `{notice="leaving"}`).Inc()
	g.OnLeaving(target)
}

func (g *Gateway) readLimit(target fleet.Info, h http.Header, sentAt time.Time) {
	limit, ok := readLimit(h.Values(g.Names.Limit))
	if !limit.On && h.Get(g.Names.Seal) == "" {
		ok = false // only the target's own response proves that its limit has ended
	}
	if !ok {
		return
	}
	changed := g.Fleet.ApplyLimit(target.ID, fleet.LimitNotice{Limit: limit, RequestedAt: sentAt, ReceivedAt: time.Now()})
	if g.Owners != nil && (limit.On || changed) {
		g.Owners.ReportLimit(target, changed)
	}
	if !changed {
		return
	}
	g.Log.LimitChanged(target, limit)
	metrics.GetOrCreateCounter(metricNotices + `{notice="limit"}`).Inc()
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
