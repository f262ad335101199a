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

// The site's power is divided by the holder of a lease. Followers, beside the entries that own shards, leave reports in
// the table and read their shares there: a write for each shard in every reportEvery, and one for all shares together.
// That is far under the table's limit at today's few shards; with hundreds of shards it needs direct streams.
const (
	leasePower   = "power"
	reportEvery  = 2500 * time.Millisecond
	powerTick    = 500 * time.Millisecond
	powerPage    = 500
	reportPrefix = platformapi.KeyPower + "report/"
	sharePrefix  = platformapi.KeyPower + "share/"
)

// powerReport is the value at power/report/{part}.
type powerReport struct {
	Report        power.Report `json:"report"`
	MeasuredWatts float64      `json:"measured_watts"`
	MeasuredAgeMS int64        `json:"measured_age_ms"`
}

// follow keeps a Follower for each shard that the entry owns, and tells the entry what it may draw.
func (p *Process) follow(ctx context.Context) {
	f := &followers{p: p, parts: map[string]*follower{}}
	every(ctx, powerTick, f.tick)
}

type followers struct {
	p        *Process
	revision uint64
	plan     *powerplan.Plan
	parts    map[string]*follower
	after    uint64 // revision of the last share read
}

type follower struct {
	*power.Follower
	reported time.Time
}

func (f *followers) tick(ctx context.Context) {
	f.replan()
	if f.plan == nil {
		f.measure(tablesView{}, nil, time.Now())
		return
	}
	v := f.p.tables.view()
	owned := f.owned(v)
	f.report(ctx, v, owned)
	f.readShares(ctx)
	f.tell(time.Now())
	f.measure(v, owned, time.Now())
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

// owned returns what waits and runs in each shard that the entry owns, and keeps followers for those only.
func (f *followers) owned(v tablesView) map[string]ownedShard {
	out := map[string]ownedShard{}
	for _, d := range v.entry.GetShards() {
		name := partName(d)
		if f.plan.Parts[name] == nil {
			continue
		}
		out[name] = ownedShard{queued: int(d.GetQueued()), running: int(d.GetRunning())}
		if f.parts[name] == nil {
			now := time.Now()
			epoch := uint64(now.UnixNano()) // grows with each life of a follower, of this process or another
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

// report leaves the reports that are due in one transaction.
func (f *followers) report(ctx context.Context, v tablesView, owned map[string]ownedShard) {
	now := time.Now()
	var txn platformapi.Txn
	for name, part := range f.parts {
		if now.Sub(part.reported) < reportEvery {
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
		pollFailed(ctx, "power report", err)
	}
}

func (f *followers) readShares(ctx context.Context) {
	if len(f.parts) == 0 {
		return
	}
	page, err := f.p.store.Range(ctx, sharePrefix, f.after, powerPage)
	if err != nil {
		pollFailed(ctx, "power shares", err)
		return
	}
	for _, it := range page.Items {
		f.after = max(f.after, it.Rev)
		var s power.Share
		if err := json.Unmarshal(it.Value, &s); err != nil {
			continue
		}
		if part := f.parts[s.Part]; part != nil {
			part.Apply(time.Now(), s)
		}
	}
}

// tell sends the entry one share a shard. For a shard that it doesn't own it is told the fallback, so that it starts at
// it should it become an owner before its control process has heard of that.
func (f *followers) tell(now time.Time) {
	shares := fallbackShares(f.plan)
	for name, part := range f.parts {
		s := shares[name]
		s.Watts, s.ValidMs = part.Limit(now), part.ValidFor(now).Milliseconds()
	}
	for _, s := range shares {
		f.p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Power{Power: s}})
	}
	f.p.tables.setShares(shares, now)
}

// fallbackShares gives each part of a plan, which may be nil, its fallback, valid for no time.
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

// allot divides the cap while this process holds the lease.
func (p *Process) allot(ctx context.Context) {
	cfg := p.leaseConfig(leasePower)
	lease.Run(ctx, p.store, cfg, func(ctx context.Context, h *lease.Term) {
		defer p.tables.hold(h)()
		defer unmeasure()
		log.Info().Str("event", "lease_held").Str("lease", h.Name()).Uint64("fence", h.Fence()).Msg("")
		a := &allotting{p: p, held: h, since: time.Now(), reports: map[string]heardReport{}}
		every(ctx, powerTick, a.tick)
	})
}

type allotting struct {
	p        *Process
	held     *lease.Term
	since    time.Time
	revision uint64
	plan     *powerplan.Plan
	allotter *power.Allocator
	after    uint64
	reports  map[string]heardReport // the newest of each part
}

type heardReport struct {
	powerReport
	at time.Time
}

func (a *allotting) tick(ctx context.Context) {
	a.replan()
	if a.plan == nil {
		return
	}
	a.measure(time.Now())
	page, err := a.p.store.Range(ctx, reportPrefix, a.after, powerPage)
	if err != nil {
		pollFailed(ctx, "power reports", err)
		return
	}
	a.allotter.SetLease(power.Lease{Fence: a.held.Fence(), Since: a.since, Until: time.Now().Add(a.held.Remaining())})
	fresh := a.take(page.Items)
	if len(fresh) == 0 {
		return
	}
	a.answer(ctx, fresh)
	a.read()
}

func (a *allotting) replan() {
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
		// Another cap: shares given under the old one must be waited out, as those of another holder are.
		a.allotter = power.NewAllocator(plan.Config)
		a.since = time.Now()
	}
	a.plan = plan
	a.allotter.SetFallbacks(plan.Fallbacks)
}

func (a *allotting) take(items []platformapi.Item) []power.Report {
	var fresh []power.Report
	for _, it := range items {
		a.after = max(a.after, it.Rev)
		var r powerReport
		if err := json.Unmarshal(it.Value, &r); err != nil || strings.TrimPrefix(it.Key, reportPrefix) != r.Report.Part {
			continue
		}
		a.reports[r.Report.Part] = heardReport{r, time.Now()}
		fresh = append(fresh, r.Report)
	}
	return fresh
}

// read gives the allotter the site's draw as the targets report it, as old as the oldest part of it. It comes after
// answer, by which the allotter has modelled what the reports draw. A reading from before this allotter began is left
// out: nothing was modelled then, so all of it would count as excess and hold every part near its fallback.
func (a *allotting) read() {
	var sum power.Reading
	now := time.Now()
	for name, r := range a.reports {
		if a.plan.Parts[name] == nil {
			delete(a.reports, name)
			continue
		}
		sum.Watts += r.MeasuredWatts
		sum.Age = max(sum.Age, time.Duration(r.MeasuredAgeMS)*time.Millisecond+now.Sub(r.at))
	}
	if now.Add(-sum.Age).Before(a.since) {
		return
	}
	a.allotter.AddReading(now, sum)
}

// answer writes all new shares in one transaction under the lease's condition: the table refuses them once another
// process holds the lease, however long this one was paused.
func (a *allotting) answer(ctx context.Context, fresh []power.Report) {
	txn := platformapi.Txn{Conds: []platformapi.Cond{a.held.Cond()}}
	for _, r := range fresh {
		share, ok := a.allotter.HandleReport(time.Now(), r)
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
		pollFailed(ctx, "power shares", err)
	}
}
