package control

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/lease"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/power"
	"anvilwick.example/anvilwick/lib/powerplan"
	"anvilwick.example/anvilwick/lib/shard"
)

// The holder of a lease divides the site's power. Followers, beside the entries that own shards, write reports to the table
// and read their shares from it: one write per shard in every reportInterval, and one for all shares together. That is far
// below the table's limit with few shards; with hundreds of shards it would need direct streams.
const (
	leasePower     = "power"
	reportInterval = 2500 * time.Millisecond
	powerInterval  = 500 * time.Millisecond
	powerPage      = 500
	reportPrefix   = platformapi.KeyPower + "report/"
	sharePrefix    = platformapi.KeyPower + "share/"
)

// powerReport is the value at power/report/{part}.
type powerReport struct {
	Report        power.Report `json:"report"`
	MeasuredWatts float64      `json:"measured_watts"`
	MeasuredAgeMS int64        `json:"measured_age_ms"`
}

// followPower keeps a Follower for each shard that the entry owns, and sends the entry its power limits.
func (p *Process) followPower(ctx context.Context) {
	f := &followers{p: p, parts: map[string]*follower{}}
	runEvery(ctx, powerInterval, f.tick)
}

type followers struct {
	p            *Process
	revision     uint64
	plan         *powerplan.Plan
	parts        map[string]*follower
	lastShareRev uint64 // table revision of the last share read
}

type follower struct {
	*power.Follower
	reported time.Time
}

func (f *followers) tick(ctx context.Context) {
	f.replan()
	if f.plan == nil {
		f.updateMetrics(stateView{}, nil, time.Now())
		return
	}
	v := f.p.state.snapshot()
	owned := f.ownedShards(v)
	f.report(ctx, v, owned)
	f.readShares(ctx)
	f.sendShares(time.Now())
	f.updateMetrics(v, owned, time.Now())
}

func (f *followers) replan() {
	snap := f.p.Snapshot()
	if snap == nil || snap.Revision == f.revision {
		return
	}
	f.revision = snap.Revision
	f.plan = powerplan.FromSnapshot(snap)
	for name, part := range f.parts {
		if f.plan == nil || f.plan.Parts[name] == nil {
			delete(f.parts, name)
			continue
		}
		part.SetFallback(f.plan.Fallbacks[name])
	}
}

// ownedShards returns the load of each shard that the entry owns, and keeps followers for only those.
func (f *followers) ownedShards(v stateView) map[string]ownedShard {
	out := map[string]ownedShard{}
	for _, d := range v.entry.GetShards() {
		name := partName(d)
		if f.plan.Parts[name] == nil {
			continue
		}
		out[name] = ownedShard{queued: int(d.GetQueued()), running: int(d.GetRunning())}
		if f.parts[name] == nil {
			now := time.Now()
			epoch := uint64(now.UnixNano()) // increases with each new follower, in this process or another
			f.parts[name] = &follower{Follower: power.NewFollower(now, f.plan.Config, name, epoch, f.plan.Fallbacks[name])}
		}
	}
	for name := range f.parts {
		if _, ok := out[name]; !ok {
			delete(f.parts, name)
		}
	}
	return out
}

// report writes the reports that are due in one transaction.
func (f *followers) report(ctx context.Context, v stateView, owned map[string]ownedShard) {
	now := time.Now()
	var txn platformapi.Txn
	for name, part := range f.parts {
		if now.Sub(part.reported) < reportInterval {
			continue
		}
		part.reported = now
		d := demandOf(f.plan.Parts[name], v, owned[name], now)
		value, err := json.Marshal(powerReport{
			Report: part.Report(now, d.wanted, d.modelled), MeasuredWatts: d.measured, MeasuredAgeMS: d.ageMS,
		})
		if err != nil {
			continue
		}
		txn.Puts = append(txn.Puts, platformapi.Put{Key: reportPrefix + name, Value: value})
	}
	if len(txn.Puts) == 0 {
		return
	}
	if _, err := f.p.store.Txn(ctx, txn); err != nil {
		reportPollError(ctx, "power report", err)
	}
}

func (f *followers) readShares(ctx context.Context) {
	if len(f.parts) == 0 {
		return
	}
	page, err := f.p.store.Range(ctx, sharePrefix, f.lastShareRev, powerPage)
	if err != nil {
		reportPollError(ctx, "power shares", err)
		return
	}
	for _, it := range page.Items {
		f.lastShareRev = max(f.lastShareRev, it.Rev)
		var s power.Share
		if err := json.Unmarshal(it.Value, &s); err != nil {
			continue
		}
		if part := f.parts[s.Part]; part != nil {
			part.Apply(time.Now(), s)
		}
	}
}

// sendShares sends the entry one share per shard. For a shard that it doesn't own this is the fallback, so that the entry
// starts at the fallback if it becomes the owner before its control process is notified.
func (f *followers) sendShares(now time.Time) {
	shares := fallbackShares(f.plan)
	for name, part := range f.parts {
		s := shares[name]
		s.Watts, s.ValidMs = part.Limit(now), part.ValidFor(now).Milliseconds()
	}
	for _, s := range shares {
		f.p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Power{Power: s}})
	}
	f.p.state.setShares(shares, now)
}

// fallbackShares returns, for each part of a plan, a share of its fallback power with zero validity. plan may be nil.
func fallbackShares(plan *powerplan.Plan) map[string]*meshpb.PowerShare {
	shares := map[string]*meshpb.PowerShare{}
	if plan == nil {
		return shares
	}
	for name, part := range plan.Parts {
		w := plan.Fallbacks[name]
		shares[name] = &meshpb.PowerShare{Service: part.ID.Service, Shard: part.ID.Index, Watts: w, FallbackWatts: w}
	}
	return shares
}

func partName(d *meshpb.ShardDigest) string {
	return shard.ID{Service: d.GetService(), Index: d.GetShard()}.String()
}

// allocatePower divides the power cap while this process holds the lease.
func (p *Process) allocatePower(ctx context.Context) {
	cfg := p.leaseConfig(leasePower)
	lease.Run(ctx, p.store, cfg, func(ctx context.Context, h *lease.Term) {
		defer p.state.trackLease(h)()
		defer resetSiteMetrics()
		log.Info().Str("event", "lease_held").Str("lease", h.Name()).Uint64("fence", h.Fence()).Msg("")
		a := &powerAllocation{p: p, held: h, startedAt: time.Now(), reports: map[string]receivedReport{}}
		runEvery(ctx, powerInterval, a.tick)
	})
}

type powerAllocation struct {
	p             *Process
	held          *lease.Term
	startedAt     time.Time
	revision      uint64
	plan          *powerplan.Plan
	allocator     *power.Allocator
	lastReportRev uint64
	reports       map[string]receivedReport // newest report of each part
}

type receivedReport struct {
	powerReport
	receivedAt time.Time
}

func (a *powerAllocation) tick(ctx context.Context) {
	a.replan()
	if a.plan == nil {
		return
	}
	a.updateMetrics(time.Now())
	page, err := a.p.store.Range(ctx, reportPrefix, a.lastReportRev, powerPage)
	if err != nil {
		reportPollError(ctx, "power reports", err)
		return
	}
	a.allocator.SetLease(power.Lease{Fence: a.held.Fence(), Since: a.startedAt, Until: time.Now().Add(a.held.Remaining())})
	fresh := a.acceptReports(page.Items)
	if len(fresh) == 0 {
		return
	}
	a.writeShares(ctx, fresh)
	a.addReading()
}

func (a *powerAllocation) replan() {
	snap := a.p.Snapshot()
	if snap == nil || snap.Revision == a.revision {
		return
	}
	a.revision = snap.Revision
	plan := powerplan.FromSnapshot(snap)
	if plan == nil {
		a.plan = nil
		return
	}
	if a.plan == nil || a.plan.Config != plan.Config {
		// The cap changed: shares granted under the old one must expire first, as after a change of lease holder.
		a.allocator = power.NewAllocator(plan.Config)
		a.startedAt = time.Now()
	}
	a.plan = plan
	a.allocator.SetFallbacks(plan.Fallbacks)
}

func (a *powerAllocation) acceptReports(items []platformapi.Item) []power.Report {
	var fresh []power.Report
	for _, it := range items {
		a.lastReportRev = max(a.lastReportRev, it.Rev)
		var r powerReport
		if err := json.Unmarshal(it.Value, &r); err != nil || strings.TrimPrefix(it.Key, reportPrefix) != r.Report.Part {
			continue
		}
		a.reports[r.Report.Part] = receivedReport{r, time.Now()}
		fresh = append(fresh, r.Report)
	}
	return fresh
}

// addReading passes the site's power draw, as reported by the targets, to the allocator; its age is that of the oldest
// report. It is called after writeShares, by which the allocator has modelled the draw of the reports. Readings from before
// the allocator started are skipped: nothing was modelled then, so all of it would count as excess and hold every part near
// its fallback.
func (a *powerAllocation) addReading() {
	var sum power.Reading
	now := time.Now()
	for name, r := range a.reports {
		if a.plan.Parts[name] == nil {
			delete(a.reports, name)
			continue
		}
		sum.Watts += r.MeasuredWatts
		sum.Age = max(sum.Age, time.Duration(r.MeasuredAgeMS)*time.Millisecond+now.Sub(r.receivedAt))
	}
	if now.Add(-sum.Age).Before(a.startedAt) {
		return
	}
	a.allocator.AddReading(now, sum)
}

// writeShares writes all new shares in one transaction, conditional on the lease: the table rejects them once another
// process holds the lease, however long this process was paused.
func (a *powerAllocation) writeShares(ctx context.Context, fresh []power.Report) {
	txn := platformapi.Txn{Conds: []platformapi.Cond{a.held.Cond()}}
	for _, r := range fresh {
		share, ok := a.allocator.HandleReport(time.Now(), r)
		if !ok {
			continue
		}
		value, err := json.Marshal(share)
		if err != nil {
			continue
		}
		txn.Puts = append(txn.Puts, platformapi.Put{Key: sharePrefix + share.Part, Value: value})
	}
	if len(txn.Puts) == 0 {
		return
	}
	if _, err := a.p.store.Txn(ctx, txn); err != nil {
		reportPollError(ctx, "power shares", err)
	}
}
