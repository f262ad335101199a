package gateway

import (
	"context"
	"errors"
	"time"

	"anvilwick.example/anvilwick/lib/wirehttp"
)

// incarnationTimeout bounds the question which incarnation an engine is.
const incarnationTimeout = 300 * time.Millisecond

// errRestarted means that an engine has started again since it was listed, possibly with another software version.
var errRestarted = errors.New("gateway: the engine has started again")

// checkIncarnation returns an error unless the engine at the other end of a connection is the listed incarnation, as far as it says. Only a stream of
// which the caller has events needs that: engines don't check which version wrote them. The connection can't outlive the engine's process, so that
// the answer holds for the request that follows on it.
func (r *run) checkIncarnation(ctx context.Context, conn *wirehttp.Conn, to placement) error {
	if r.c.software.ID == 0 || to.copyFrom != "" || to.target.Born == 0 || r.g.Engines == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	born, err := r.g.Engines.Incarnation(ctx, conn, to.target)
	if err != nil {
		return err
	}
	if born <= to.target.Born {
		return nil
	}
	if r.g.OnRestarted != nil {
		r.g.OnRestarted(to.target.ID, born)
	}
	return errRestarted
}
