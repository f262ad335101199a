package targetdial

import (
	"context"
	"sync"
	"time"
)

// Reach is whether a target accepts connections now. A process that pauses still does: its kernel accepts them.
type Reach uint8

const (
	ReachNone   Reach = iota // neither this instance nor a peer could connect
	ReachDirect              // over the own link
	ReachByPeer              // a peer could connect, this instance could not: the own link is lost
)

var reachNames = [...]string{"none", "direct", "peer"}

// String returns the name used in logs.
func (r Reach) String() string { return reachNames[r] }

// probes holds the latest probe of each target, so that many requests on one target share it.
type probes struct {
	mu     sync.Mutex
	byAddr map[string]*probe
}

// probe is one attempt to connect.
type probe struct {
	began time.Time
	done  chan struct{} // closed when it has ended
	reach Reach
}

// get returns the probe of a target that began at most maxAge ago; isNew says that the caller has to carry it out.
func (p *probes) get(now time.Time, addr string, maxAge time.Duration) (latest *probe, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest = p.byAddr[addr]
	if latest != nil && now.Sub(latest.began) <= maxAge {
		return latest, false
	}
	if p.byAddr == nil {
		p.byAddr = make(map[string]*probe)
	}
	latest = &probe{began: now, done: make(chan struct{})}
	p.byAddr[addr] = latest
	return latest, true
}

func (p *probes) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, latest := range p.byAddr {
		if now.Sub(latest.began) > forgetAfter {
			delete(p.byAddr, addr)
		}
	}
}

// Probe finds out whether a target accepts connections, unless that was found out at most maxAge ago. It may take half a second. The
// connection is kept for later requests.
func (d *Dialer) Probe(addr string, maxAge time.Duration) Reach {
	now := time.Now()
	p, isNew := d.probes.get(now, addr, maxAge)
	if !isNew {
		<-p.done
		return p.reach
	}
	defer close(p.done)
	p.reach = d.probe(addr, now)
	return p.reach
}

func (d *Dialer) probe(addr string, now time.Time) Reach {
	direct := d.dialDirect(addr)
	if direct.err == nil {
		d.keep(addr, direct)
		return ReachDirect
	}
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	conn, err := d.Tunnel(ctx, addr)
	if err != nil {
		return ReachNone
	}
	d.recordLost(addr, now, direct.err)
	d.KeepIdle(addr, conn)
	return ReachByPeer
}

// Prune forgets targets without recent news. Call it periodically.
func (d *Dialer) Prune(now time.Time) {
	d.Paths.Prune(now)
	d.probes.prune(now)
}
