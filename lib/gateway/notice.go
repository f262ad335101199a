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

// metricNotices counts what targets say of themselves in answers, when it begins, changes or ends.
const metricNotices = "anvilwick_gateway_notices_total"

// ResponseHook is told of an answer of a target, to a request or call that was sent at asked.
type ResponseHook func(target fleet.Info, resp *wirehttp.Response, asked time.Time)

// ReadNotices takes in what an answer says of its target, to a request or call that was sent at asked.
func (g *Gateway) ReadNotices(target fleet.Info, resp *wirehttp.Response, asked time.Time) {
	if resp.Status == http.StatusMisdirectedRequest {
		return // another target has the address
	}
	g.readLoad(target.ID, resp.Header)
	g.readLeaving(target, resp.Header)
	g.readLimit(target, resp.Header, asked)
	g.readRest(target, resp)
}

// readRest takes in that a target which turns a request away wants no other from this instance for some time.
func (g *Gateway) readRest(target fleet.Info, resp *wirehttp.Response) {
	if resp.Status != http.StatusServiceUnavailable && resp.Status != http.StatusTooManyRequests {
		return
	}
	now := time.Now()
	rest := retry.After(resp.Header, now)
	if rest <= 0 || !g.Fleet.BackOff(now, target, now.Add(rest)) {
		return
	}
	g.Log.Rests(target, rest)
	metrics.GetOrCreateCounter(metricNotices + `{notice="rest"}`).Inc()
}

// readLeaving takes in that a target says that it leaves. The list of targets may tell it much later: while the store is away, only
// answers do.
func (g *Gateway) readLeaving(target fleet.Info, h http.Header) {
	if v := strings.TrimSpace(h.Get(g.Names.Leaving)); v == "" || v == "0" || g.OnLeaving == nil {
		return
	}
	if g.Fleet.IsLeaving(target.ID) {
		return
	}
	g.Log.SaysItLeaves(target)
	metrics.GetOrCreateCounter(metricNotices + `{notice="leaving"}`).Inc()
	g.OnLeaving(target)
}

func (g *Gateway) readLimit(target fleet.Info, h http.Header, asked time.Time) {
	limit, ok := readLimit(h.Values(g.Names.Limit))
	if !limit.On && h.Get(g.Names.Seal) == "" {
		ok = false // only a target's own answer says that it no longer has a limit
	}
	if !ok {
		return
	}
	changed := g.Fleet.ApplyLimit(target.ID, fleet.LimitNotice{Limit: limit, RequestedAt: asked, ReceivedAt: time.Now()})
	if g.Owners != nil && (limit.On || changed) {
		g.Owners.ReportLimit(target, changed)
	}
	if !changed {
		return
	}
	g.Log.Limited(target, limit)
	metrics.GetOrCreateCounter(metricNotices + `{notice="limit"}`).Inc()
}

// readLimit reads a limit; without a value there is none. Of several values the lowest counts. ok is false when none can be read.
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
