package gatewayproc

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/owner"
)

const (
	// registerTimeout bounds one try to write this instance's row.
	registerTimeout = 800 * time.Millisecond
	// registerSpread is the time over which instances write their rows that start at once, or that a copy lacks at once: the store
	// takes 200 of them a second.
	registerSpread = 1500 * time.Millisecond
	// registerAgain is how long a row that was written may stay unseen: the list comes late.
	registerAgain = 4 * time.Second
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
	for {
		changed := p.feeds.instances.Changed()
		if p.mustRegister(&row) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(rand.N(registerSpread)):
			}
			if p.mustRegister(&row) {
				p.register(ctx)
				row = ownRow{written: time.Now()}
			}
		}
		if p.track.Reads() {
			p.removeGhosts(ctx)
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
	written time.Time // zero: it has not written it
	seen    bool      // the store had it since
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

// register writes this instance's row until the store has taken it.
func (p *Process) register(ctx context.Context) {
	for !p.stops() {
		try, cancel := context.WithTimeout(ctx, registerTimeout)
		err := p.site.Register(try, p.self())
		cancel()
		if err == nil {
			return
		}
		logline.Cause(log.Warn().Str("event", "register_failed"), err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(instanceOptions.RetryMax):
		}
	}
}

// anyVersion stands for a row as it is.
const anyVersion = 0

// removeGhosts takes rows away of instances that had been removed, and that a copy of the store has again: nobody else would, and
// the others would ask those instances in vain for good. One that has written its row meanwhile keeps it.
func (p *Process) removeGhosts(ctx context.Context) {
	for _, row := range p.feeds.instances.Ghosts() {
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
