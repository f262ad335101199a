package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/owner"
)

const (
	// registerTimeout bounds one attempt to write rows.
	registerTimeout = 800 * time.Millisecond
	// registerRetry is how long a forwarded row may be missing from the list, which lags, before it is forwarded again.
	registerRetry = 4 * time.Second
	// forwardTries is the number of times that an instance forwards its row before it writes the row itself.
	forwardTries = 2
)

// self returns the row of this instance as other instances see it.
func (p *Process) self() owner.Instance {
	return owner.Instance{
		Name: p.cfg.Instance, Domain: p.cfg.Domain, Addr: p.cfg.Peer, Link: p.cfg.Link, Capacity: p.capacity(),
	}
}

// keepRegistered keeps this instance's row in the store. The row is written at the start, unless the same row is stored already, and
// whenever the store was restored from a backup without it. Without the row other instances would neither notify this one nor let it
// own shards.
func (p *Process) keepRegistered(ctx context.Context) {
	var row ownRow
	ranks := make(map[string][]byte) // as last written, by failure domain
	for {
		changed := p.feeds.instances.Changed()
		if p.mustRegister(&row) {
			p.submitRow(ctx, row.tries >= forwardTries)
			row = ownRow{written: time.Now(), tries: row.tries + 1}
		}
		if p.syncer.ReadsStore() {
			p.removeGhosts(ctx)
			p.updateRanks(ctx, ranks)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(registerRetry):
		}
	}
}

// ownRow is the registration state of this instance's row.
type ownRow struct {
	written time.Time // last attempt; zero: none yet
	seen    bool      // in the store since that attempt
	tries   int       // attempts so far
}

// mustRegister reports whether the store lacks this instance's row, and notes in own that the row was seen. A row that this process has
// not written is compared with the current one, since the instance may have been restarted elsewhere.
func (p *Process) mustRegister(own *ownRow) bool {
	if _, known := p.feeds.instances.Version(); !known || p.stopping() {
		return false
	}
	row, ok := p.feeds.instances.Stored(p.cfg.Instance)
	switch {
	case ok && own.written.IsZero():
		in, err := p.site.DecodeInstance(row)
		own.seen = err == nil && in == p.self()
		return !own.seen
	case ok:
		own.seen = true
		return false
	}
	return own.written.IsZero() || own.seen || time.Since(own.written) > registerRetry
}

func (p *Process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// submitRow forwards this instance's row to the reader of the store, or writes the row itself: during a rolling upgrade the reader
// may not know how to forward rows of others.
func (p *Process) submitRow(ctx context.Context, direct bool) {
	row, err := p.site.EncodeInstance(p.self())
	switch {
	case err != nil:
		logline.Send(log.Error().Str("event", "register_failed"), err)
	case direct:
		p.writeRows(ctx, []feed.Row{row})
	default:
		p.syncer.EnqueueWrite(row)
	}
}

// writeRows writes rows forwarded by instances. If the write fails, the instances forward them again.
func (p *Process) writeRows(ctx context.Context, rows []feed.Row) {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := p.site.Register(callCtx, rows)
	ev := log.Info().Str("event", "registered").Int("rows", len(rows))
	if err != nil {
		ev = log.Warn().Str("event", "register_failed").Int("rows", len(rows))
	}
	logline.Send(ev, err)
}

// anyVersion makes Unregister remove a row at any version.
const anyVersion = 0

// removeGhosts removes the rows of removed instances that reappeared when the store was restored from a backup. Nobody else would remove
// them, and the other instances would query those instances in vain for good. A row that was written since is kept.
func (p *Process) removeGhosts(ctx context.Context) {
	for _, row := range p.feeds.instances.Resurrected() {
		if row.Key == p.cfg.Instance {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		err := p.site.Unregister(callCtx, row.Key, row.Version)
		cancel()
		ev := log.Info().Str("event", "ghost_removed").Str("instance", row.Key).Int64("version", row.Version)
		if err != nil {
			logline.Send(ev, err)
			continue
		}
		ev.Msg("")
	}
}

// unregister removes this instance's row. A row that stays costs other instances a failed query now and then.
func (p *Process) unregister(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := p.site.Unregister(callCtx, p.cfg.Instance, anyVersion); err != nil {
		logline.Send(log.Warn().Str("event", "unregister_failed"), err)
	}
}
