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
	// registerTimeout bounds one try to write rows.
	registerTimeout = 800 * time.Millisecond
	// registerAgain is how long a row that was handed on may stay unseen: the list comes late.
	registerAgain = 4 * time.Second
	// handedOn is how often an instance hands its row on before it writes it itself.
	handedOn = 2
)

// self is this instance as others see it.
func (p *Process) self() owner.Instance {
	return owner.Instance{
		Name: p.cfg.Instance, Domain: p.cfg.Domain, Addr: p.cfg.Peer, Link: p.cfg.Link, Capacity: p.capacity(),
	}
}

// beListed sees to it that this instance's row is in the store: when it starts, unless it is started again where it was, and whenever
// the store has come back from a copy without it. Others would else never tell it anything, or let it decide.
func (p *Process) beListed(ctx context.Context) {
	var row ownRow
	ranks := make(map[string][]byte) // as written, by failure domain
	for {
		changed := p.feeds.instances.Changed()
		if p.mustRegister(&row) {
			p.haveRowWritten(ctx, row.tries >= handedOn)
			row = ownRow{written: time.Now(), tries: row.tries + 1}
		}
		if p.track.ReadsStore() {
			p.removeGhosts(ctx)
			p.keepRanks(ctx, ranks)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(registerAgain):
		}
	}
}

// ownRow is what this process knows of its own row.
type ownRow struct {
	written time.Time // zero: it has not had it written
	seen    bool      // the store had it since
	tries   int       // to have it written
}

// mustRegister looks whether the store lacks this instance's row, and notes in own that it was seen. What a row says that this process
// has not written is looked at, too: the instance may be started again elsewhere.
func (p *Process) mustRegister(own *ownRow) bool {
	if _, known := p.feeds.instances.Version(); !known || p.stops() {
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
	return own.written.IsZero() || own.seen || time.Since(own.written) > registerAgain
}

func (p *Process) stops() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// haveRowWritten has this instance's row written by the one that reads the store for all, or writes it itself: while builds are mixed, that
// one may not know of the rows of others.
func (p *Process) haveRowWritten(ctx context.Context, itself bool) {
	row, err := p.site.EncodeInstance(p.self())
	switch {
	case err != nil:
		logline.Cause(log.Error().Str("event", "register_failed"), err)
	case itself:
		p.writeRows(ctx, []feed.Row{row})
	default:
		p.track.EnqueueWrite(row)
	}
}

// writeRows writes the rows of instances that have handed them on. What fails they hand on again.
func (p *Process) writeRows(ctx context.Context, rows []feed.Row) {
	try, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := p.site.Register(try, rows)
	at := log.Info().Str("event", "registered").Int("rows", len(rows))
	if err != nil {
		at = log.Warn().Str("event", "register_failed").Int("rows", len(rows))
	}
	logline.Cause(at, err)
}

// anyVersion stands for a row as it is.
const anyVersion = 0

// removeGhosts takes rows away of instances that had been removed, and that a copy of the store has again: nobody else would, and
// the others would ask those instances in vain for good. One that has written its row meanwhile keeps it.
func (p *Process) removeGhosts(ctx context.Context) {
	for _, row := range p.feeds.instances.Resurrected() {
		if row.Key == p.cfg.Instance {
			continue
		}
		try, cancel := context.WithTimeout(ctx, registerTimeout)
		err := p.site.Unregister(try, row.Key, row.Version)
		cancel()
		at := log.Info().Str("event", "ghost_removed").Str("instance", row.Key).Int64("version", row.Version)
		if err != nil {
			logline.Cause(at, err)
			continue
		}
		at.Msg("")
	}
}

// unregister takes the row away. One that stays makes others ask in vain now and then.
func (p *Process) unregister(ctx context.Context) {
	try, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := p.site.Unregister(try, p.cfg.Instance, anyVersion); err != nil {
		logline.Cause(log.Warn().Str("event", "unregister_failed"), err)
	}
}
