package wirehttp

import (
	"errors"
	"net"
	"time"
)

const (
	// earlyClose is the time after an answer within which the failure of the next exchange on its connection shows that the target closes connections early,
	// or sends bytes that no request asked for.
	earlyClose = 250 * time.Millisecond
	// noReuse is the time for which each request to such a target gets a connection of its own.
	noReuse = 5 * time.Second
)

// fail marks the connection as unusable after an exchange failed with err.
func (c *Conn) fail(err error) {
	closed := c.unusable.Swap(true)
	if !closed && c.onEarlyClose != nil && c.endedEarly(err, time.Now()) {
		c.onEarlyClose()
	}
}

// endedEarly reports whether the failure of an exchange shows that the target closed the connection shortly after its last answer. Connections that know by
// themselves whether they are idle end with others that carry them.
func (c *Conn) endedEarly(err error, now time.Time) bool {
	if _, carried := c.nc.(idler); carried || !c.used || now.Sub(c.answered) > earlyClose {
		return false
	}
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// recordEarlyClose closes the idle connections to a target that closes connections early, and prevents their reuse for a while.
//
// A request that is sent in the moment before its connection ends is lost, or fails with an unknown outcome. Without this the next one takes the same risk.
func (p *Pool) recordEarlyClose(addr string, now time.Time) {
	p.mu.Lock()
	p.early[addr] = now.Add(noReuse)
	p.mu.Unlock()
	p.CloseIdle(addr)
}

// closesEarly reports whether a target is known to close connections early.
func (p *Pool) closesEarly(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.early[addr])
}
