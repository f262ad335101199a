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

// ErrNoReport is returned by Engines.Incarnation for an engine that answers with something other than a report.
var ErrNoReport = errors.New("gateway: the engine's answer is no report")

// errRestarted means that an engine has started again since it was listed, possibly with another software version.
var errRestarted = errors.New("gateway: the engine has started again")

// errEarlierIncarnation means that the engine at the other end of a connection has been replaced by the listed incarnation.
var errEarlierIncarnation = errors.New("gateway: the connection is to an earlier incarnation of the engine")

// errNotQueried means that an engine's rate limit leaves no room to query its incarnation.
var errNotQueried = errors.New("gateway: the engine's rate limit leaves no room to query its incarnation")

// open opens or reuses a connection for the run's request, and returns the target at its other end. A stream of which the caller has events is sent from
// its prompt only if the engine has not named another incarnation than the listed one on that connection. One that begins goes on at a newer incarnation,
// and at an engine that can't be queried; the software version of the latter is doubted.
func (r *run) open(ctx context.Context, to placement, x *exchange) (conn *wirehttp.Conn, target fleet.Info, err error) {
	conn, err = r.connectVia(ctx, to, x)
	if err != nil {
		return nil, to.target, err
	}
	err = r.checkIncarnation(ctx, conn, to)
	switch {
	case err == nil:
		return conn, to.target, nil
	case errors.Is(err, errNotQueried):
		r.g.Log.SoftwareUnknown(r.c.entry(), to.target.ID, err)
		return conn, withDoubtedSoftware(to.target), nil
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
	r.unproven.Store(false)
	if !r.canQueryIncarnation(to.target) {
		return nil
	}
	if limited := r.g.Fleet.LimitOf(to.target.ID).On; limited && !r.beginsAt(to) {
		r.g.countForced(to.target)
	} else if limited && !r.mayQueryLimited(ctx, to.target) {
		if r.g.mayRelease(to.target.Service) {
			return errNotQueried
		}
		r.unproven.Store(true)
		return nil
	}
	return r.g.queryIncarnation(ctx, conn, to.target)
}

// canQueryIncarnation reports whether a target names its start, and the run may go on at another.
func (r *run) canQueryIncarnation(target fleet.Info) bool {
	return target.Born != 0 && r.g.Engines != nil && (r.c.engine != nil || r.c.route.MayRepeat() || r.c.software.ID != 0)
}

// mayQueryLimited reports whether an engine with a rate limit may be queried before a stream begins there. Queries count against the limit and so take the
// place of streams, which is worth it only while another version may be about; the limit must have room left.
func (r *run) mayQueryLimited(ctx context.Context, target fleet.Info) bool {
	if !r.g.mayRelease(target.Service) {
		return false
	}
	p, outcome := r.g.permit(ctx, target)
	countPermit(outcome)
	return p.Granted
}

// mayRelease reports whether targets of a service are known to run several software versions.
func (g *Gateway) mayRelease(service string) bool { return len(g.Fleet.ServiceSoftware(service)) > 1 }

// queryIncarnation queries the engine at the other end of a connection which incarnation it is, and returns an error unless it is the listed one.
func (g *Gateway) queryIncarnation(ctx context.Context, conn *wirehttp.Conn, target fleet.Info) error {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	born, err := g.Engines.Incarnation(ctx, conn, target)
	switch {
	case err != nil:
		return err
	case born == 0 || born == target.Born:
		return nil
	case born < target.Born:
		return errEarlierIncarnation
	}
	g.noticeRestart(target, born)
	return errRestarted
}

// proveSoftware doubts the software version of a broken stream that began at an engine without a query, if that engine turns out to have started again:
// the stream may have begun after that. An engine that doesn't answer has crashed with the stream.
func (r *run) proveSoftware(ctx context.Context) {
	target := r.currentTarget()
	if !r.headSent || r.provenAt(ctx, target) {
		return
	}
	r.unproven.Store(false)
	r.g.Log.SoftwareUnknown(r.c.entry(), target.ID, errRestarted)
	r.doubted = true
	r.c.software = withDoubtedSoftware(target).Software
	r.recordStart()
}

// provenAt reports whether a run is certain to have begun at the listed incarnation of its target, or may be taken to have. A run that has begun without
// a question is proven by one that the target answers later, or by a target that has crashed with it.
func (r *run) provenAt(ctx context.Context, target fleet.Info) bool {
	if !r.unproven.Load() {
		return true
	}
	if r.g.mayHaveRestarted(ctx, target) {
		return false
	}
	r.unproven.Store(false)
	return true
}

// mayHaveRestarted queries a target, whatever its rate limit, and reports whether it has started again since it was listed, or serves without naming its start.
func (g *Gateway) mayHaveRestarted(ctx context.Context, target fleet.Info) bool {
	g.countForced(target)
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	conn, err := g.connect(ctx, target)
	if err != nil {
		return false
	}
	defer conn.Close()
	born, err := g.Engines.Incarnation(ctx, conn, target)
	if born > target.Born {
		g.noticeRestart(target, born)
		return true
	}
	return errors.Is(err, ErrNoReport)
}

func (g *Gateway) noticeRestart(target fleet.Info, born int64) {
	if g.OnRestarted != nil {
		g.OnRestarted(target.ID, born)
	}
}

// proveOrigin resolves the record of a stream that began at a target which was not queried for its incarnation: the target is queried now. One that has
// started again may have begun the stream with another version, which is unknown until its next entry says that it is the same. One that does not answer
// is taken to have crashed with the stream.
func (g *Gateway) proveOrigin(ctx context.Context, c *call, origin StreamOrigin) StreamOrigin {
	began, ok := g.Fleet.Beginning(c.service, origin.Software)
	switch {
	case !ok:
		return origin
	case began.Pending:
		return StreamOrigin{}
	case began.Target.ID != "" && g.mayHaveRestartedShared(ctx, began.Target):
		return StreamOrigin{}
	}
	return StreamOrigin{Software: began.Software, Settled: true}
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
