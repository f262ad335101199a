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
	leaseClaims  = "claims"
	collectEvery = time.Minute
)

// collectClaims deletes claims past their retention while this process holds the lease, so that the table does not grow
// for ever. Two at once would only meet each other's deletions; the lease saves the reads.
func (p *Process) collectClaims(ctx context.Context) {
	cfg := p.leaseConfig(leaseClaims)
	lease.Run(ctx, p.store, cfg, func(ctx context.Context, h *lease.Term) {
		defer p.tables.hold(h)()
		every(ctx, collectEvery, func(ctx context.Context) {
			n, err := claim.Collect(ctx, p.store, []platformapi.Cond{h.Cond()}, time.Now())
			if err != nil {
				pollFailed(ctx, "claims", err)
			}
			if n > 0 {
				log.Info().Str("event", "claims_collected").Int("claims", n).Msg("")
			}
		})
	})
}
