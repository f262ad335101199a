package prove

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/relay"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/standin/plain"
	"anvilwick.example/anvilwick/lib/standin/platform"
)

const (
	readyLimit = 20 * time.Second // for a process that was started again
	stopLimit  = 40 * time.Second // for a planned stop: the longest request and more
)

// Figures of faults that stand-ins are ordered.
const (
	slowPlatformMS  = 400
	staleMS         = 5000
	listLagMS       = 6000
	loseShare       = 0.3
	slowEngine      = 4
	plainDelayMS    = 1500
	plainFaultCalls = 5
)

// injectAll injects each fault when it is due and ends it after its time.
func (r *run) injectAll(ctx context.Context, faults []fault) {
	var wg sync.WaitGroup
	for _, f := range faults {
		if !r.due(ctx, f.at) {
			break
		}
		r.faults[f.name()]++
		if f.pair {
			r.faults["pairs"]++
		}
		fmt.Fprintf(r.out, "%v\n", f)
		wg.Go(func() { r.inject(ctx, f) })
	}
	wg.Wait()
}

// inject takes a fault through its life. An order that can't be given is a fault of this tool and is reported as such.
func (r *run) inject(ctx context.Context, f fault) {
	end := r.down.Begin(f.subject, f.kind)
	defer end()
	heal, err := r.start(ctx, f)
	if err != nil {
		r.violated("the tool: inject %v: %v", f, err)
		return
	}
	r.due(ctx, f.at+f.span)
	if err := heal(ctx); err != nil {
		r.violated("%v: %v", f, err)
	}
}

type healer func(context.Context) error

func (r *run) start(ctx context.Context, f fault) (healer, error) {
	switch f.kind {
	case faultCut:
		return r.link(f.subject, relay.Cut)
	case faultStall:
		return r.link(f.subject, relay.Stalled)
	case faultPlatform:
		return r.platformFault(ctx, f)
	case faultEngine:
		return r.engineFault(ctx, f)
	case faultPlain:
		return r.plainFault(ctx, f)
	}
	n := r.node(f.subject)
	switch f.kind {
	case faultFreeze:
		return func(context.Context) error { return n.Thaw() }, n.Freeze()
	case faultKill:
		return func(ctx context.Context) error { return r.again(ctx, n) }, n.Kill()
	case faultStop:
		return func(ctx context.Context) error { return r.stopped(ctx, n) }, n.Terminate()
	}
	return nil, fmt.Errorf("unknown kind %q", f.kind)
}

func (r *run) link(name string, m relay.Mode) (healer, error) {
	return func(context.Context) error { return r.relays.Set(name, relay.Up) }, r.relays.Set(name, m)
}

func (r *run) node(name string) *localsite.Node {
	for _, n := range r.site.Nodes() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// again starts a process that has ended and waits until it is ready.
func (r *run) again(ctx context.Context, n *localsite.Node) error {
	if err := r.site.Restart(n); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if n.OpsAddr != "" {
		return r.site.AwaitReady(ctx, n)
	}
	return proc.Until(ctx, n.Name, func(ctx context.Context) error {
		if strings.HasPrefix(n.Name, "engine") {
			_, err := localsite.Stats(ctx, n)
			return err
		}
		_, err := localsite.Executions(ctx, n)
		return err
	})
}

// stopped waits for the end of a planned stop, which must be graceful, and starts the process again.
func (r *run) stopped(ctx context.Context, n *localsite.Node) error {
	wait, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	code, err := n.Wait(wait)
	if err != nil {
		return fmt.Errorf("planned stop does not end: %w", err)
	}
	if code != 0 {
		return fmt.Errorf("exit code %d after a planned stop", code)
	}
	return r.again(ctx, n)
}

func (r *run) platformFault(ctx context.Context, f fault) (healer, error) {
	order := platform.Fault{Kind: f.order}
	switch f.order {
	case platform.FaultSlow:
		order.DelayMS = slowPlatformMS
	case platform.FaultStaleReads:
		order.DelayMS = staleMS
	case platform.FaultListLag:
		order.DelayMS = listLagMS
	case platform.FaultLoseAnswer:
		order.Probability = loseShare
	}
	heal := func(ctx context.Context) error {
		return r.site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultClear})
	}
	return heal, r.site.PlatformFault(ctx, order)
}

func (r *run) engineFault(ctx context.Context, f fault) (healer, error) {
	n := r.node(f.subject)
	order := engine.Fault{Kind: f.order, Factor: slowEngine}
	if f.order == engine.FaultStall {
		order.MS = f.span.Milliseconds()
	}
	heal := func(ctx context.Context) error {
		return localsite.EngineFault(ctx, n, engine.Fault{Kind: engine.FaultHealthy})
	}
	return heal, localsite.EngineFault(ctx, n, order)
}

func (r *run) plainFault(ctx context.Context, f fault) (healer, error) {
	n := r.node(f.subject)
	order := plain.Fault{Kind: f.order, MS: plainDelayMS, Count: plainFaultCalls}
	heal := func(ctx context.Context) error {
		return localsite.PlainFault(ctx, n, plain.Fault{Kind: plain.FaultHealthy})
	}
	return heal, localsite.PlainFault(ctx, n, order)
}
