package control

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/lease"
	"anvilwick.example/anvilwick/lib/platformapi"
)

const (
	leaseClaims     = "claims"
	collectInterval = time.Minute
)

// collectClaims deletes claims past their retention while this process holds the lease, so that the table does not grow
// without bound. Concurrent collectors would be harmless but redundant; the lease saves their reads.
func (p *Process) collectClaims(ctx context.Context) {
	cfg := p.leaseConfig(leaseClaims)
	lease.Run(ctx, p.store, cfg, func(ctx context.Context, h *lease.Term) {
		defer p.state.trackLease(h)()
		runEvery(ctx, collectInterval, func(ctx context.Context) {
			n, err := claim.Collect(ctx, p.store, []platformapi.Cond{h.Cond()}, time.Now())
			if err != nil {
				reportPollError(ctx, "claims", err)
			}
			if n > 0 {
				log.Info().Str("event", "claims_collected").Int("claims", n).Msg("")
			}
		})
	})
}
