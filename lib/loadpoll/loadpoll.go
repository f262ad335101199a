// Package loadpoll polls load reports and cache events of model engines and passes them to the component that places requests.
package loadpoll

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/target"
)

// DefaultInterval is the default time between two polls of one target.
const DefaultInterval = 250 * time.Millisecond

// goneAfterFailures is the number of consecutive failed polls after which a target counts as gone. A single lost response is
// common on a stalled link; three in a row take at least half a second and indicate a crash or a cut link.
const goneAfterFailures = 3

// Poller polls a changing set of targets. Each target has its own goroutine, so that a stalled link delays no other
// target's reports.
type Poller struct {
	ctx      context.Context
	interval time.Duration
	feed     placer.Feed
	// OnReport, if set, receives each full report in addition to the feed.
	OnReport func(name string, rep *engineapi.LoadReport)

	mu     sync.Mutex
	active map[string]activePoll
}

type activePoll struct {
	client *target.Client
	cancel context.CancelFunc
}

// New returns a Poller that runs until ctx is done.
func New(ctx context.Context, feed placer.Feed, interval time.Duration) *Poller {
	if interval <= 0 {
		interval = DefaultInterval
	}
	return &Poller{ctx: ctx, interval: interval, feed: feed, active: make(map[string]activePoll)}
}

// SetTargets starts polling new targets and stops polling those not listed. A target with a new address is polled anew.
func (p *Poller) SetTargets(clients []*target.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[string]bool, len(clients))
	for _, c := range clients {
		keep[c.Name()] = true
		if old, ok := p.active[c.Name()]; ok {
			if old.client.Addr() == c.Addr() {
				continue
			}
			old.cancel()
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.active[c.Name()] = activePoll{client: c, cancel: cancel}
		go p.poll(ctx, c)
	}
	for name, old := range p.active {
		if !keep[name] {
			old.cancel()
			delete(p.active, name)
		}
	}
}

func (p *Poller) poll(ctx context.Context, c *target.Client) {
	tp := targetPoll{poller: p, client: c}
	t := time.NewTicker(p.interval)
	defer t.Stop()
	for {
		tp.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// targetPoll is the polling state of one target.
type targetPoll struct {
	poller      *Poller
	client      *target.Client
	failures    int
	incarnation uint64
	ageTracker  ageTracker
	cache       cacheCursor
}

func (p *targetPoll) pollOnce(ctx context.Context) {
	rep, err := p.client.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.recordFailure()
		return
	}
	p.correctAge(rep)
	p.failures = 0
	if rep.Incarnation != p.incarnation {
		p.engineReplaced(rep.Incarnation)
	}
	p.poller.feed.Report(toReport(p.client.Name(), rep))
	if p.poller.OnReport != nil {
		p.poller.OnReport(p.client.Name(), rep)
	}
	p.cache.poll(ctx, p.client, p.poller.feed)
}

// correctAge replaces the age in the report by the actual age.
func (p *targetPoll) correctAge(rep *engineapi.LoadReport) {
	now := time.Now()
	if p.failures >= goneAfterFailures {
		p.ageTracker.reset(now)
	}
	reported := time.Duration(rep.AgeMS) * time.Millisecond
	age := p.ageTracker.update(now, rep.Incarnation, rep.Seq, reported)
	rep.AgeMS = int64((age + time.Millisecond - 1) / time.Millisecond) // rounded up: never younger than the actual age
}

func (p *targetPoll) recordFailure() {
	p.failures++
	if p.failures == goneAfterFailures {
		p.poller.feed.TargetGone(p.client.Name())
	}
}

// engineReplaced resets the state when a new engine process answers: its cache is empty and its sequence numbers start over.
func (p *targetPoll) engineReplaced(incarnation uint64) {
	if p.incarnation != 0 {
		p.poller.feed.TargetGone(p.client.Name())
	}
	p.incarnation = incarnation
	p.cache = cacheCursor{}
}

func toReport(name string, rep *engineapi.LoadReport) sched.Report {
	return sched.Report{
		Target:      name,
		Age:         time.Duration(rep.AgeMS) * time.Millisecond,
		Running:     rep.Running,
		Waiting:     rep.Waiting,
		KVUsed:      rep.KVUsed,
		KVTotal:     rep.KVTotal,
		MaxBatch:    rep.MaxBatch,
		Watts:       rep.Watts,
		Leaving:     rep.Leaving,
		Incarnation: rep.Incarnation,
	}
}

// cacheCursor tracks the position in one engine's cache events.
type cacheCursor struct {
	seq      uint64
	synced   bool
	disabled bool // the engine does not publish cache events
}

// poll reads new events. Events may be late or missing. After a gap, a cached prefix may have been evicted without notice,
// so the whole state is dropped until a snapshot replaces it.
func (cc *cacheCursor) poll(ctx context.Context, c *target.Client, feed placer.Feed) {
	if cc.disabled {
		return
	}
	evs, err := c.CacheEvents(ctx, cc.seq, !cc.synced)
	if err != nil {
		cc.disabled = unsupported(err)
		return
	}
	if evs.Snapshot {
		feed.CacheSnapshot(c.Name(), storedPrefixes(evs.Events))
		cc.seq, cc.synced = evs.Seq, true
		return
	}
	for _, ev := range evs.Events {
		if ev.Seq <= cc.seq {
			continue
		}
		if ev.Seq != cc.seq+1 {
			feed.CacheSnapshot(c.Name(), nil)
			cc.synced = false
			return
		}
		feed.CacheStored(c.Name(), ev.Prefix, ev.Stored)
		cc.seq = ev.Seq
	}
}

func storedPrefixes(events []engineapi.CacheEvent) []uint64 {
	out := make([]uint64, 0, len(events))
	for _, ev := range events {
		if ev.Stored {
			out = append(out, ev.Prefix)
		}
	}
	return out
}
