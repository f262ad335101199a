package gateway

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// incarnationTimeout bounds the question which incarnation an engine is.
const incarnationTimeout = 300 * time.Millisecond

// errRestarted means that an engine has started again since it was listed, possibly with another software version.
var errRestarted = errors.New("gateway: the engine has started again")

// errEarlierIncarnation means that the engine at the other end of a connection has been replaced by the listed incarnation.
var errEarlierIncarnation = errors.New("gateway: the connection is to an earlier incarnation of the engine")

// open opens or reuses a connection for the run's request to the listed incarnation of a target. A stream of which the caller has events is sent from
// its prompt only if the engine has not said otherwise on that connection. Any other is sent to an engine that can't be asked, too; proven is false then:
// the target may run another software version than the listed one.
func (r *run) open(ctx context.Context, to placement, x *exchange) (conn *wirehttp.Conn, proven bool, err error) {
	conn, err = r.connectVia(ctx, to, x)
	if err != nil {
		return nil, false, err
	}
	err = r.checkIncarnation(ctx, conn, to)
	if err == nil {
		return conn, true, nil
	}
	conn.Close()
	if errors.Is(err, errRestarted) || r.continuesFromPrompt(to) {
		return nil, false, err
	}
	conn, err = r.connectVia(ctx, to, x)
	return conn, false, err
}

// connectVia is connect and notes in x which way the connection takes.
func (r *run) connectVia(ctx context.Context, to placement, x *exchange) (*wirehttp.Conn, error) {
	conn, err := r.connect(ctx, to)
	if err == nil {
		x.direct, x.via = isDirect(conn), viaOf(conn)
	}
	return conn, err
}

// continuesFromPrompt reports whether the run is a stream of which the caller has events and the target has no memory.
func (r *run) continuesFromPrompt(to placement) bool {
	return r.c.software.ID != 0 && to.copyFrom == ""
}

// checkIncarnation returns an error unless the engine at the other end of a connection is the listed incarnation, as far as it says. Engines don't check
// which version wrote the events that they continue from, and the version of a stream that begins is taken from the list. A connection can't outlive the
// engine's process, so that the answer holds for the request that follows on it.
func (r *run) checkIncarnation(ctx context.Context, conn *wirehttp.Conn, to placement) error {
	if !r.mustAskIncarnation(to) {
		return nil
	}
	born, err := r.incarnationOf(ctx, conn, to)
	switch {
	case err != nil:
		return err
	case born == 0 || born == to.target.Born:
		return nil
	case born < to.target.Born:
		return errEarlierIncarnation
	}
	if r.g.OnRestarted != nil {
		r.g.OnRestarted(to.target.ID, born)
	}
	return errRestarted
}

// incarnationOf returns which incarnation is at the other end of a connection, which is asked once on each connection; 0: unknown.
func (r *run) incarnationOf(ctx context.Context, conn *wirehttp.Conn, to placement) (int64, error) {
	if known := conn.Incarnation(); known != 0 {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	born, err := r.g.Engines.Incarnation(ctx, conn, to.target)
	conn.SetIncarnation(born)
	return born, err
}

// mustAskIncarnation reports whether a target must be asked which incarnation it is. Questions count against an engine's rate limit: only a continuation
// from the prompt is worth that.
func (r *run) mustAskIncarnation(to placement) bool {
	switch {
	case to.target.Born == 0 || r.g.Engines == nil:
		return false
	case r.continuesFromPrompt(to):
		return true
	}
	return r.c.engine != nil && !r.g.Fleet.LimitOf(to.target.ID).On
}

// doubtSoftware records that the run's target may run another software version than the listed one, and returns a version that no target runs: what begins
// there can't continue elsewhere.
func (r *run) doubtSoftware() fleet.Software {
	r.doubted = true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target.Software = fleet.UnnamedSoftware(r.target.Service, r.target.ID, 0)
	return r.target.Software
}
