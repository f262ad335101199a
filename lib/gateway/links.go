package gateway

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/targetdial"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// slowResponse is the time without a response after which the link to a plain target is checked. Requests on open connections get no
// response when the link is lost, and nothing else may show that.
const slowResponse = 150 * time.Millisecond

// slowProbeMaxAge is the age up to which a probe of a target is used again for one that is slow, but serves others.
const slowProbeMaxAge = time.Second

// isDirect reports whether a connection uses this instance's own link to its target.
func isDirect(conn *wirehttp.Conn) bool {
	_, tunneled := conn.NetConn().(backoffReporter)
	return !tunneled
}

// viaOf returns the peer by way of which a connection reaches its target; empty: none.
func viaOf(conn *wirehttp.Conn) string {
	if t, ok := conn.NetConn().(interface{ Peer() string }); ok {
		return t.Peer()
	}
	return ""
}

// backoffReporter is a connection by way of a peer. A target's back-off is meant for the sender of the request, which for the target is
// the peer.
type backoffReporter interface {
	ReportBackoff(d time.Duration)
}

// judge returns the outcome of an exchange with a target, unless it says nothing about the target because this instance's own link to it is
// lost. Otherwise owners and peers would avoid a target that serves everybody else.
func (g *Gateway) judge(target fleet.Info, o fleet.Outcome, direct bool) fleet.Outcome {
	if (o == fleet.Unreachable || o == fleet.Failed && direct) && g.Links != nil && g.Links.Lost(target.Addr) {
		return fleet.Abandoned
	}
	return o
}

// checkSlowResponse checks the own link to a target if its response takes long, and calls abandon if the link carries nothing any more.
// The returned function ends that.
func (g *Gateway) checkSlowResponse(conn *wirehttp.Conn, target fleet.Info, abandon func()) (stop func() bool) {
	if g.Links == nil || !isDirect(conn) {
		return func() bool { return true }
	}
	return time.AfterFunc(slowResponse, func() {
		if g.Links.Probe(target.Addr, slowProbeMaxAge) == targetdial.ReachByPeer && g.Links.Silent(target.Addr) {
			abandon()
		}
	}).Stop
}
