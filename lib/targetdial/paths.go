package targetdial

import (
	"maps"
	"sync"
	"time"
)

const (
	// probeInterval is the pause between two attempts to reach a lost target over the own link. Attempts are made while there are calls.
	probeInterval = 300 * time.Millisecond
	// probeSpacing is the pause between two such attempts for any targets, when the links to all of them are lost.
	probeSpacing = 60 * time.Millisecond
	// lostFor bounds how long a target counts as lost without an attempt to reach it: without calls nothing is known of its link.
	lostFor = 5 * time.Second
	// forgetAfter is how long the times of attempts are kept; longer than any interval between them.
	forgetAfter = 5 * time.Second
)

// Paths holds what is known of this instance's own links to targets, by address. A link is lost when the target did not accept a
// connection of this instance and did accept one of a peer: a target that neither reaches is down. The links to all targets are lost when
// one is, and nothing has arrived from any target since.
//
// It does no I/O and reads no clock. It is safe for concurrent use.
type Paths struct {
	mu          sync.Mutex
	lost        map[string]*lostPath
	lastContact time.Time            // when something last arrived from a target over an own link
	allSince    time.Time            // since when all links are lost; zero: they are not
	allSeen     time.Time            // last evidence of it
	probed      map[string]time.Time // last attempts to reach lost targets over their own links
	lastProbe   time.Time            // the last of them all
}

// lostPath is a lost link.
type lostPath struct {
	seen    time.Time // last evidence of it
	refused bool      // the attempt was refused; otherwise it got no answer
}

// NewPaths returns Paths without lost links.
func NewPaths() *Paths {
	return &Paths{lost: make(map[string]*lostPath), probed: make(map[string]time.Time)}
}

// Contact records that something arrived from a target over an own link, or that the target accepted a connection.
func (p *Paths) Contact(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.lastContact) {
		p.lastContact = now
	}
	p.allSince = time.Time{}
}

// ContactSince reports whether something has arrived over an own link since a time.
func (p *Paths) ContactSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastContact.After(at)
}

// Reached records that a target accepted a connection over the own link. It reports whether the link was lost before.
func (p *Paths) Reached(now time.Time, addr string) (regained bool) {
	p.Contact(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	_, regained = p.lost[addr]
	delete(p.lost, addr)
	return regained
}

// Failed records that an attempt that began at since failed over the own link, while a peer reached the target. It reports whether the
// link, or the links to all targets, are newly lost.
func (p *Paths) Failed(now, since time.Time, addr string, refused bool) (newlyLost, newlyAll bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lost[addr]
	if l == nil {
		l = new(lostPath)
		p.lost[addr], newlyLost = l, true
	}
	l.seen, l.refused = now, refused
	if since.Before(p.lastContact) {
		return newlyLost, false
	}
	if p.allSince.IsZero() {
		p.allSince, newlyAll = since, true
	}
	p.allSeen = now
	return newlyLost, newlyAll
}

// Lost reports whether the link to a target is lost.
func (p *Paths) Lost(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allLost(now) || p.lostPath(now, addr) != nil
}

// AllLost reports whether the links to all targets are lost.
func (p *Paths) AllLost(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allLost(now)
}

// Silent reports whether open connections over the own link to a target carry nothing any more. Where only new connections are refused,
// open ones go on.
func (p *Paths) Silent(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.allLost(now) {
		return true
	}
	l := p.lostPath(now, addr)
	return l != nil && !l.refused
}

func (p *Paths) allLost(now time.Time) bool {
	if !p.allSince.IsZero() && now.Sub(p.allSeen) > lostFor {
		p.allSince = time.Time{}
	}
	return !p.allSince.IsZero()
}

func (p *Paths) lostPath(now time.Time, addr string) *lostPath {
	l := p.lost[addr]
	if l != nil && now.Sub(l.seen) > lostFor {
		delete(p.lost, addr)
		return nil
	}
	return l
}

// TakeProbe reports whether the own link to a lost target is to be tried now, and counts the attempt.
func (p *Paths) TakeProbe(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.probed[addr]) < probeInterval || now.Sub(p.lastProbe) < probeSpacing {
		return false
	}
	p.probed[addr], p.lastProbe = now, now
	return true
}

// Prune forgets addresses without recent news. Call it periodically.
func (p *Paths) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.lost {
		if now.Sub(l.seen) > lostFor {
			delete(p.lost, addr)
		}
	}
	maps.DeleteFunc(p.probed, func(_ string, at time.Time) bool { return now.Sub(at) > forgetAfter })
}
