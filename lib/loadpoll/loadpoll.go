// Package loadpoll reads the load reports and cache events of model engines and passes them to whoever decides for them.
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

// DefaultInterval is the time between two polls of one target.
const DefaultInterval = 250 * time.Millisecond

// goneAfter is the number of polls in a row that must fail before a target counts as gone. One lost answer is
// common on a stalled link; three in a row take at least half a second and match a death or a cut.
const goneAfter = 3

// Poller polls a changing set of targets. Targets are polled apart from each other, so that one stalled link delays
// nobody's report.
type Poller struct {
	ctx      context.Context
	interval time.Duration
	feed     placer.Feed
	// OnReport, when set, sees each whole report besides the feed.
	OnReport func(name string, rep *engineapi.LoadReport)

	mu   sync.Mutex
	stop map[string]polled
}

type polled struct {
	client *target.Client
	cancel context.CancelFunc
}

// New returns a Poller that lives until ctx is done.
func New(ctx context.Context, feed placer.Feed, interval time.Duration) *Poller {
	if interval <= 0 {
		interval = DefaultInterval
	}
	return &Poller{ctx: ctx, interval: interval, feed: feed, stop: make(map[string]polled)}
}

// SetTargets starts polling new targets and stops polling those not listed. A target whose address changed is a new one.
func (p *Poller) SetTargets(clients []*target.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[string]bool, len(clients))
	for _, c := range clients {
		keep[c.Name()] = true
		if old, ok := p.stop[c.Name()]; ok {
			if old.client.Addr() == c.Addr() {
				continue
			}
			old.cancel()
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.stop[c.Name()] = polled{client: c, cancel: cancel}
		go p.poll(ctx, c)
	}
	for name, old := range p.stop {
		if !keep[name] {
			old.cancel()
			delete(p.stop, name)
		}
	}
}

func (p *Poller) poll(ctx context.Context, c *target.Client) {
	w := watch{poller: p, client: c}
	t := time.NewTicker(p.interval)
	defer t.Stop()
	for {
		w.once(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// watch is what the Poller remembers of one target.
type watch struct {
	poller      *Poller
	client      *target.Client
	failed      int
	incarnation uint64
	dating      dating
	cache       cacheCursor
}

func (w *watch) once(ctx context.Context) {
	rep, err := w.client.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.fail()
		return
	}
	w.date(rep)
	w.failed = 0
	if rep.Incarnation != w.incarnation {
		w.replaced(rep.Incarnation)
	}
	w.poller.feed.Report(toReport(w.client.Name(), rep))
	if w.poller.OnReport != nil {
		w.poller.OnReport(w.client.Name(), rep)
	}
	w.cache.poll(ctx, w.client, w.poller.feed)
}

// date puts the report's true age in place of the one that it tells.
func (w *watch) date(rep *engineapi.LoadReport) {
	now := time.Now()
	if w.failed >= goneAfter {
		w.dating.restart(now)
	}
	told := time.Duration(rep.AgeMS) * time.Millisecond
	age := w.dating.age(now, rep.Incarnation, rep.Seq, told)
	rep.AgeMS = int64((age + time.Millisecond - 1) / time.Millisecond) // rounded up: never younger than it is
}

func (w *watch) fail() {
	w.failed++
	if w.failed == goneAfter {
		w.poller.feed.TargetGone(w.client.Name())
	}
}

// replaced forgets what was known of the engine process before this one: its cache is empty and its sequences are gone.
func (w *watch) replaced(incarnation uint64) {
	if w.incarnation != 0 {
		w.poller.feed.TargetGone(w.client.Name())
	}
	w.incarnation = incarnation
	w.cache = cacheCursor{}
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

// cacheCursor follows one engine's cache events.
type cacheCursor struct {
	seq   uint64
	known bool
	off   bool // the engine publishes none
}

// poll reads new events. Events come late and with gaps; after a gap nothing that was believed can be told from what
// was evicted unseen, so a snapshot replaces it all.
func (cc *cacheCursor) poll(ctx context.Context, c *target.Client, feed placer.Feed) {
	if cc.off {
		return
	}
	evs, err := c.CacheEvents(ctx, cc.seq, !cc.known)
	if err != nil {
		cc.off = refused(err)
		return
	}
	if evs.Snapshot {
		feed.CacheSnapshot(c.Name(), storedPrefixes(evs.Events))
		cc.seq, cc.known = evs.Seq, true
		return
	}
	for _, ev := range evs.Events {
		if ev.Seq <= cc.seq {
			continue
		}
		if ev.Seq != cc.seq+1 {
			feed.CacheSnapshot(c.Name(), nil)
			cc.known = false
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
