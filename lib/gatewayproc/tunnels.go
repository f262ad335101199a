package gatewayproc

import (
	"context"
	"net"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/targetdial"
	"anvilwick.example/anvilwick/lib/tunnel"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// probeMaxAge is the age up to which a probe of a target is used again when a connection for a peer has failed.
const probeMaxAge = time.Second

// newTargetDialer makes a pool open its connections by way of peers where this instance's own links to targets are lost.
func newTargetDialer(pool *wirehttp.Pool) *targetdial.Dialer {
	d := &targetdial.Dialer{Paths: targetdial.NewPaths(), KeepIdle: pool.AddIdle, OnLost: logLinkLost, OnRegained: logLinkRegained}
	pool.WrapDial(func(direct wirehttp.DialFunc) wirehttp.DialFunc {
		d.Direct = direct
		return d.Dial
	}, d.Usable)
	return d
}

func logLinkLost(addr string, all bool, err error) {
	logline.Send(log.Warn().Str("event", "target_link_lost").Str("addr", addr).Bool("all", all), err)
}

func logLinkRegained(addr string) {
	log.Info().Str("event", "target_link_regained").Str("addr", addr).Msg("")
}

// openTunnels opens connections to targets by way of peers, and for them.
func (p *Process) openTunnels() {
	p.tunnels = tunnel.NewClient(p.node, p.cfg.Instance, p.cfg.Domain, p.gate.Memory)
	p.tunnels.RegionOf = p.regionOfTarget
	p.dialer.Tunnel = p.tunnels.Dial
	p.carrier = &tunnel.Server{
		Dial: p.dialForPeer, LinksLost: p.linksLost, Permitted: p.mayConnect, OnBackoff: p.backOffForPeer, Memory: p.gate.Memory,
	}
	p.carrier.Serve(p.node)
}

func (p *Process) linksLost() bool { return p.dialer.Paths.AllLost(time.Now()) }

// dialForPeer opens a connection over this instance's own link. If that fails, the link may be lost, which this instance's own calls
// may not have shown yet. With a probe now, the next requests of peers are refused at once.
func (p *Process) dialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := p.dialer.DialDirect(ctx, addr)
	if err != nil {
		go p.dialer.Probe(addr, probeMaxAge)
	}
	return conn, err
}

// mayConnect reports whether this instance may connect to a target for a peer: only to one that it knows and could send to itself.
func (p *Process) mayConnect(addr string) bool {
	t, known := p.fleet.At(addr)
	if !known {
		return p.feeds.targets.Partial()
	}
	return !p.fleet.Evacuated(t.Domain) && !p.fleet.InBackoff(time.Now(), t.ID)
}

// backOffForPeer records a back-off that a target has requested in its response to a peer's request.
func (p *Process) backOffForPeer(addr string, d time.Duration) {
	if t, known := p.fleet.At(addr); known {
		now := time.Now()
		p.fleet.BackOff(now, t, now.Add(d))
	}
}

// regionOfTarget returns the region of the target at an address, and whether requests of the settings in force are bound to regions.
func (p *Process) regionOfTarget(addr string) (region string, bound bool) {
	table := p.gate.Table()
	if table == nil || !table.BindsRegions() {
		return "", false
	}
	if t, known := p.fleet.At(addr); known {
		region = p.fleet.Region(t.Domain)
	}
	return region, true
}

// setTunnelPeers sets which instances may carry connections for this one, with the regions of the settings file.
func (p *Process) setTunnelPeers(instances []owner.Instance) {
	p.tunnels.SetPeers(p.tunnelPeers(instances), p.fleet.Region(p.cfg.Domain))
}

func (p *Process) tunnelPeers(instances []owner.Instance) []tunnel.Peer {
	out := make([]tunnel.Peer, len(instances))
	for i, in := range instances {
		out[i] = tunnel.Peer{Name: in.Name, Domain: in.Domain, Region: p.fleet.Region(in.Domain), Addr: in.Link}
	}
	return out
}
