package entryproc

import (
	"context"
	"net"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/sockbuf"
	"anvilwick.example/anvilwick/lib/target"
	"anvilwick.example/anvilwick/lib/targetdial"
	"anvilwick.example/anvilwick/lib/tunnel"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

const (
	// tunnelProbeMaxAge is the age up to which a probe of a target is used again when a connection for another entry has failed.
	tunnelProbeMaxAge = time.Second
	// tunnelPeersInterval is the period at which the entries that may carry connections are updated.
	tunnelPeersInterval = 500 * time.Millisecond
	// targetKeepAlive is the keep-alive period of connections to targets.
	targetKeepAlive = 10 * time.Second
)

// tunnels opens connections to targets by way of other entries where this one's own links to targets are lost, and for other entries.
type tunnels struct {
	dialer  *targetdial.Dialer
	client  *tunnel.Client // nil without links
	carrier *tunnel.Server
}

// newTunnels returns a dialer that knows no other entries yet.
func newTunnels(cfg Config) *tunnels {
	direct := func(ctx context.Context, addr string) (net.Conn, error) {
		d := net.Dialer{KeepAlive: targetKeepAlive, Control: sockbuf.Control(sockbuf.TargetBytes)}
		return d.DialContext(ctx, "tcp", addr)
	}
	if cfg.TargetProxy != "" {
		direct = wirehttp.DialThrough(cfg.TargetProxy)
	}
	return &tunnels{dialer: &targetdial.Dialer{
		Paths: targetdial.NewPaths(), Direct: direct,
		KeepIdle: func(_ string, nc net.Conn) { _ = nc.Close() },
		OnLost: func(addr string, all bool, err error) {
			logline.Send(log.Warn().Str("event", "target_link_lost").Str("addr", addr).Bool("all", all), err)
		},
		OnRegained: func(addr string) { log.Info().Str("event", "target_link_regained").Str("addr", addr).Msg("") },
	}}
}

// clients returns the clients of targets. Without links to other entries they use this entry's own links only.
func (t *tunnels) clients(linked bool) *target.Clients {
	dial := t.dialer.Direct
	if linked {
		dial = t.dialer.Dial
	}
	return target.NewClientsWithDial(func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) })
}

// join opens tunnels over the links to other entries, and serves theirs. permitted reports whether an address is that of a target.
func (t *tunnels) join(cfg Config, l *links, memory *membudget.Budget, permitted func(addr string) bool) {
	t.client = tunnel.NewClient(l.node, cfg.Instance, cfg.Domain, memory)
	t.dialer.Tunnel = t.client.Dial
	t.carrier = &tunnel.Server{
		Dial: t.dialForPeer, LinksLost: func() bool { return t.dialer.Paths.AllLost(time.Now()) }, Permitted: permitted,
		OnBackoff: func(string, time.Duration) {}, Memory: memory,
	}
	t.carrier.Serve(l.node)
}

// dialForPeer opens a connection over this entry's own link. If that fails, the link may be lost, which this entry's own calls may not have
// shown yet.
func (t *tunnels) dialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := t.dialer.DialDirect(ctx, addr)
	if err != nil {
		go t.dialer.Probe(addr, tunnelProbeMaxAge)
	}
	return conn, err
}

// run keeps the list of other entries up to date until ctx is done.
func (t *tunnels) run(ctx context.Context, view func() *member.View) {
	tick := time.NewTicker(tunnelPeersInterval)
	defer tick.Stop()
	for {
		if v := view(); v != nil {
			t.client.SetPeers(tunnelPeers(v), "")
		}
		t.dialer.Prune(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func tunnelPeers(v *member.View) []tunnel.Peer {
	var out []tunnel.Peer
	for _, m := range v.Workers() {
		out = append(out, tunnel.Peer{Name: m.Instance, Domain: m.FailureDomain, Addr: m.MeshAddr})
	}
	return out
}

// isTarget reports whether the settings in force list a target at an address.
func (p *Process) isTarget(addr string) bool {
	snap := p.snapshot()
	if snap == nil {
		return false
	}
	for _, svc := range snap.Services {
		for i := range svc.Targets {
			if svc.Targets[i].Addr == addr {
				return true
			}
		}
	}
	return false
}
