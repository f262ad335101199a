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

// open opens or reuses a connection for the run's request, and returns the target at its other end. A stream of which the caller has events is sent from
// its prompt only if the engine has not named another incarnation than the listed one on that connection. One that begins goes on at a newer incarnation,
// and at an engine that can't be asked; the software version of the latter is doubted.
func (r *run) open(ctx context.Context, to placement, x *exchange) (conn *wirehttp.Conn, target fleet.Info, err error) {
	conn, err = r.connectVia(ctx, to, x)
	if err != nil {
		return nil, to.target, err
	}
	err = r.checkIncarnation(ctx, conn, to)
	if err == nil {
		return conn, to.target, nil
	}
	restarted := errors.Is(err, errRestarted)
	if now, known := r.g.Fleet.Info(to.target.ID); restarted && known && now.Born > to.target.Born && r.beginsAt(to) {
		return conn, now, nil
	}
	conn.Close()
	if restarted || r.continuesFromPrompt(to) {
		return nil, to.target, err
	}
	r.g.Log.SoftwareUnknown(r.c.entry(), to.target.ID, err)
	conn, err = r.connectVia(ctx, to, x)
	return conn, withDoubtedSoftware(to.target), err
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

// beginsAt reports whether the caller has no events of the run and the target no memory of it.
func (r *run) beginsAt(to placement) bool { return r.c.software.ID == 0 && to.copyFrom == "" }

// checkIncarnation returns an error unless the engine at the other end of a connection is the listed incarnation, as far as it says. Engines don't check
// which version wrote the events that they continue from, and the version of a stream that begins is taken from the list. A connection can't outlive the
// engine's process, so that the answer holds for the request that follows on it.
func (r *run) checkIncarnation(ctx context.Context, conn *wirehttp.Conn, to placement) error {
	if !r.mustAskIncarnation(to) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	born, err := r.g.Engines.Incarnation(ctx, conn, to.target)
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

// withDoubtedSoftware returns a target that may run another software version than the listed one, with a version that no target runs: what begins there
// can't continue elsewhere.
func withDoubtedSoftware(target fleet.Info) fleet.Info {
	target.Software = fleet.UnnamedSoftware(target.Service, target.ID, 0)
	return target
}

// arrive records which target is at the other end of the run's connection.
func (r *run) arrive(target fleet.Info) {
	r.doubted = target.Software == withDoubtedSoftware(target).Software
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}
