package prove

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/faultproxy"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/standin/plain"
	"anvilwick.example/anvilwick/lib/standin/platform"
)

const (
	readyLimit = 20 * time.Second // for a restarted process to become ready
	stopLimit  = 40 * time.Second // for a planned stop, more than the longest request takes
)

// Parameters of the faults that stand-ins simulate.
const (
	slowPlatformMS   = 400
	staleReadsMS     = 5000
	listLagMS        = 6000
	loseProbability  = 0.3
	slowEngineFactor = 4
	plainDelayMS     = 1500
	plainFaultCalls  = 5
)

// injectAll injects each fault when it is due and ends it after its span.
func (r *run) injectAll(ctx context.Context, faults []fault) {
	var wg sync.WaitGroup
	for _, f := range faults {
		if !r.due(ctx, f.at) {
			break
		}
		r.faultCounts[f.name()]++
		if f.pair {
			r.faultCounts["pairs"]++
		}
		fmt.Fprintf(r.out, "%v\n", f)
		wg.Go(func() { r.inject(ctx, f) })
	}
	wg.Wait()
}

// inject starts a fault, waits for its span and ends it. Failing to start it is an error of this tool and is reported as such.
func (r *run) inject(ctx context.Context, f fault) {
	end := r.faultLog.Begin(f.subject, f.kind)
	defer end()
	endFault, err := r.startFault(ctx, f)
	if err != nil {
		r.addViolation("prove itself: inject %v: %v", f, err)
		return
	}
	r.due(ctx, f.at+f.span)
	if err := endFault(ctx); err != nil {
		r.addViolation("end of fault %v: %v", f, err)
	}
}

type endFunc func(context.Context) error

func (r *run) startFault(ctx context.Context, f fault) (endFunc, error) {
	switch f.kind {
	case faultCut:
		return r.setLink(f.subject, faultproxy.Cut)
	case faultStall:
		return r.setLink(f.subject, faultproxy.Stalled)
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
		return func(ctx context.Context) error { return r.restart(ctx, n) }, n.Kill()
	case faultStop:
		return func(ctx context.Context) error { return r.awaitStopAndRestart(ctx, n) }, n.Terminate()
	}
	return nil, fmt.Errorf("unknown fault kind %q", f.kind)
}

func (r *run) setLink(name string, m faultproxy.Mode) (endFunc, error) {
	return func(context.Context) error { return r.proxies.Set(name, faultproxy.Up) }, r.proxies.Set(name, m)
}

func (r *run) node(name string) *localsite.Node {
	for _, n := range r.site.Nodes() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// restart restarts a process that has ended and waits until it is ready.
func (r *run) restart(ctx context.Context, n *localsite.Node) error {
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

// awaitStopAndRestart waits for the end of a planned stop, which must be graceful, and restarts the process.
func (r *run) awaitStopAndRestart(ctx context.Context, n *localsite.Node) error {
	wait, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	code, err := n.Wait(wait)
	if err != nil {
		return fmt.Errorf("planned stop did not finish: %w", err)
	}
	if code != 0 {
		return fmt.Errorf("exit code %d after a planned stop", code)
	}
	return r.restart(ctx, n)
}

func (r *run) platformFault(ctx context.Context, f fault) (endFunc, error) {
	standinFault := platform.Fault{Kind: f.standinKind}
	switch f.standinKind {
	case platform.FaultSlow:
		standinFault.DelayMS = slowPlatformMS
	case platform.FaultStaleReads:
		standinFault.DelayMS = staleReadsMS
	case platform.FaultListLag:
		standinFault.DelayMS = listLagMS
	case platform.FaultLoseAnswer:
		standinFault.Probability = loseProbability
	}
	end := func(ctx context.Context) error {
		return r.site.PlatformFault(ctx, platform.Fault{Kind: platform.FaultClear})
	}
	return end, r.site.PlatformFault(ctx, standinFault)
}

func (r *run) engineFault(ctx context.Context, f fault) (endFunc, error) {
	n := r.node(f.subject)
	standinFault := engine.Fault{Kind: f.standinKind, Factor: slowEngineFactor}
	if f.standinKind == engine.FaultStall {
		standinFault.MS = f.span.Milliseconds()
	}
	end := func(ctx context.Context) error {
		return localsite.EngineFault(ctx, n, engine.Fault{Kind: engine.FaultHealthy})
	}
	return end, localsite.EngineFault(ctx, n, standinFault)
}

func (r *run) plainFault(ctx context.Context, f fault) (endFunc, error) {
	n := r.node(f.subject)
	standinFault := plain.Fault{Kind: f.standinKind, MS: plainDelayMS, Count: plainFaultCalls}
	end := func(ctx context.Context) error {
		return localsite.PlainFault(ctx, n, plain.Fault{Kind: plain.FaultHealthy})
	}
	return end, localsite.PlainFault(ctx, n, standinFault)
}
