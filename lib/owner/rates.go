package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
)

const (
	// maxPaces bounds the paces of one report that are used.
	maxPaces = 256
	// ratedTTL is how long a target without observations is tracked.
	ratedTTL = 30 * time.Second
)

// rateFeed passes what reports say of the speed of engines to a Table. It is protected by the Ledger's lock.
type rateFeed struct {
	table   enginerate.Table
	fleet   *fleet.Fleet
	targets map[string]*ratedTarget // of the fleet's targets
	reports uint64                  // number of reports applied
}

// ratedTarget is what is needed beside a Pace to interpret it.
type ratedTarget struct {
	service    string
	born       int64
	lastUnread time.Time // when it last had prompt tokens to prefill
	lastReport uint64    // number of the last report with its pace
	seen       time.Time
}

func newRateFeed(f *fleet.Fleet) rateFeed {
	return rateFeed{fleet: f, targets: make(map[string]*ratedTarget)}
}

// Rates returns the estimated speeds of the engines that reports have named.
func (l *Ledger) Rates() *enginerate.Table { return &l.rates.table }

// target returns the entry of a target; nil if the fleet has none. The estimates of an earlier incarnation are dropped.
func (f *rateFeed) target(now time.Time, id string) *ratedTarget {
	info, known := f.fleet.Info(id)
	if !known {
		return nil
	}
	g := f.targets[id]
	if g != nil && !g.is(&info) {
		f.drop(id, g)
		g = nil
	}
	if g == nil {
		g = &ratedTarget{service: info.Service}
		f.targets[id] = g
	}
	g.born, g.seen = info.Born, now
	return g
}

// is reports whether an entry of the fleet is the same incarnation. Its start may become known later than the target.
func (g *ratedTarget) is(info *fleet.Info) bool {
	return g.service == info.Service && (g.born == info.Born || g.born == 0)
}

func (f *rateFeed) drop(id string, g *ratedTarget) {
	f.table.Forget(g.service, id)
	delete(f.targets, id)
}

// markUnread records that the targets of some runs have prompt tokens to prefill.
func (f *rateFeed) markUnread(now time.Time, runs []Run) {
	for i := range runs {
		if runs[i].Unread > 0 {
			f.markTarget(now, runs[i].Target)
		}
	}
}

// markGrants records the same for runs that were granted and not reported yet.
func (f *rateFeed) markGrants(now time.Time, grants []grant) {
	for i := range grants {
		if grants[i].load.Unread > 0 {
			f.markTarget(now, grants[i].target)
		}
	}
}

func (f *rateFeed) markTarget(now time.Time, id string) {
	if g := f.target(now, id); g != nil {
		g.lastUnread = now
	}
}

// observe applies what a report says of the speed of engines. Slowdowns come first: they apply to the events of the same interval.
func (f *rateFeed) observe(now time.Time, r *Report) {
	f.reports++
	for _, p := range r.Paces[:min(len(r.Paces), maxPaces)] {
		g := f.target(now, p.Target)
		if g == nil || g.lastReport == f.reports {
			continue // a faulty report that repeats a target must not move its estimate far
		}
		g.lastReport = f.reports
		f.table.ObserveSlowdown(now.Add(-max(0, p.SlowdownAge)), g.service, p.Target, p.Slowdown)
		f.table.ObserveEvents(now, g.service, p.Target, enginerate.Events{
			Shortest: p.Shortest, Longest: p.Longest, Prefilling: f.prefilling(now, p.Target, g),
		})
	}
	for _, m := range r.PrefillSamples {
		if g := f.target(now, m.Target); g != nil {
			f.table.ObservePrefill(now, g.service, m.Target, m.Unread, m.Took)
		}
	}
}

// prefilling reports whether a target had prompt tokens to prefill within the last report interval.
func (f *rateFeed) prefilling(now time.Time, id string, g *ratedTarget) bool {
	return now.Sub(g.lastUnread) <= ReportInterval || f.fleet.Unread(id) > 0
}

// tick drops targets that have left, are in a new incarnation, or were not observed for long.
func (f *rateFeed) tick(now time.Time) {
	for id, g := range f.targets {
		info, known := f.fleet.Info(id)
		if !known || !g.is(&info) || now.Sub(g.seen) > ratedTTL {
			f.drop(id, g)
			continue
		}
		g.born = info.Born
	}
}
