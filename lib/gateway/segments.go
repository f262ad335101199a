package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilwick.example/anvilwick/lib/poison"
)

// Probes permits single requests that find out whether a conviction still holds.
type Probes interface {
	// Acquire reports whether this request is the one, of all instances, that may.
	Acquire(ctx context.Context, v poison.Conviction) bool
}

// probeTimeout bounds the time that a request waits for the permit to be a probe.
const probeTimeout = 500 * time.Millisecond

// reasonSegments is the reason of refusals for segments that crash targets.
const reasonSegments = "segment_refused"

// segmentsRefusal has no Retry-After: the request will not be served when it returns, unless the verdict is probed before.
var segmentsRefusal = refusal{status: http.StatusServiceUnavailable, reason: reasonSegments}

// reasonHeld is the reason of refusals for segments that may crash targets, while another request tests them.
const reasonHeld = "segment_on_trial"

// admitSegments refuses a call that has just arrived if its prompt has segments that crash the targets that begin it, or may do so. While a probe is due,
// it admits the call: the permit is for the first one that a target is found for, since one that is refused for another reason would use it up.
func (g *Gateway) admitSegments(c *call) *refusal {
	now := time.Now()
	v := g.segments.Check(now, c.service, c.model, c.causes())
	if !v.Refused {
		return g.checkTrials(now, c, nil)
	}
	if v.ProbeDue && g.Probes != nil {
		c.mayProbe = true
		return nil
	}
	return segmentsRefusalOf(now, c, &v.Conviction)
}

// acquireProbe acquires the permit to be a probe for a call that was admitted as one and for which a target has been found, or refuses it.
func (g *Gateway) acquireProbe(c *call) *refusal {
	if !c.mayProbe || c.probe || c.sends > 0 || c.mayHaveRun {
		return nil
	}
	now := time.Now()
	v := g.segments.Check(now, c.service, c.model, c.causes())
	if !v.Refused {
		c.mayProbe = false // the conviction has ended meanwhile
		return g.checkPoison(c)
	}
	if v.ProbeDue && g.permitProbe(v.Conviction) {
		c.probe = true
		return nil
	}
	return segmentsRefusalOf(now, c, &v.Conviction)
}

// checkSegments is like admitSegments, for a call that is about to be sent to a target. A probe may run once. self is the call's run; nil: it has none yet.
func (g *Gateway) checkSegments(c *call, self *poison.SegmentRun) *refusal {
	now := time.Now()
	if c.probe && c.sends == 0 {
		return nil
	}
	v := g.segments.Check(now, c.service, c.model, c.causes())
	if !v.Refused {
		return g.checkTrials(now, c, self)
	}
	return segmentsRefusalOf(now, c, &v.Conviction)
}

// soonProbed is the time to a first probe from which on callers are not asked to return: they would wait too long.
const soonProbed = 15 * time.Second

// segmentsRefusalOf names a time to return if the verdict may end soon.
func segmentsRefusalOf(now time.Time, c *call, v *poison.Conviction) *refusal {
	ref := segmentsRefusal
	if wait := v.ProbeAt.Sub(now); !v.Fixed && v.Probes == 0 && wait < soonProbed {
		ref.after = c.boundWait(max(wait, retryAfterStream))
	}
	return &ref
}

// checkTrials refuses a call while one of its segments is on trial, unless a part of the response has been sent to the caller: a stream that has begun is
// not what crashes targets that begin it.
func (g *Gateway) checkTrials(now time.Time, c *call, self *poison.SegmentRun) *refusal {
	if c.begun || c.continues() {
		return nil
	}
	wait, held := g.segments.Held(now, c.service, c.model, c.segments, self)
	if !held {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, after: c.boundWait(wait), reason: reasonHeld}
}

// permitProbe acquires the permit to be a probe. One call at a time requests one: each holds its place at a target until the store answers.
func (g *Gateway) permitProbe(v poison.Conviction) bool {
	if !g.probing.TryLock() {
		return false
	}
	defer g.probing.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return g.Probes.Acquire(ctx, v)
}

// Segments returns the table of prompt segments that crash targets.
func (g *Gateway) Segments() *poison.SegmentTable { return g.segments }

// maxSegments bounds the prompt segments of one call that are considered.
const maxSegments = 64

// parseSegments returns the segments of a prompt but the last, in order and each once. The header lists them as id:tokens, separated by commas. The last
// belongs to the request or its session alone. Entries without an id are left out.
func parseSegments(header string) []uint64 {
	var out []uint64
	last := uint64(0)
	for entry := range strings.SplitSeq(header, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		s, ok := parseSegment(id)
		if !ok {
			continue
		}
		if last != 0 && len(out) < maxSegments && !slices.Contains(out, last) {
			out = append(out, last)
		}
		last = s
	}
	return out
}

// parseSegment reads a hexadecimal id, whatever its case and leading zeros. An id that does not fit into 64 bits is replaced by its hash.
func parseSegment(id string) (uint64, bool) {
	id = strings.TrimLeft(strings.ToLower(strings.TrimSpace(id)), "0")
	if id == "" {
		return 0, false
	}
	if n, err := strconv.ParseUint(id, 16, 64); err == nil {
		return n, true
	}
	return max(1, xxhash.Sum64String(id)), true
}
