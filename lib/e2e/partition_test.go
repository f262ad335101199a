package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/faultproxy"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
)

// An entry loses its links to all targets, while callers and the other entries still reach it. Its callers must be served by way of those: the
// balancer still sends them there.
func TestCallersOfEntryWithoutLinksToTargetsAreServed(t *testing.T) {
	for _, kind := range []faultproxy.Partition{faultproxy.PartitionHangs, faultproxy.PartitionResets, faultproxy.PartitionClosed} {
		t.Run(kind.String(), func(t *testing.T) { checkPartitionedEntry(t, kind) })
	}
}

func checkPartitionedEntry(t *testing.T, kind faultproxy.Partition) {
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	bin, err := proc.Binaries(ctx)
	must.NoError(t, err)
	egress := make(map[string]*faultproxy.Egress)
	site, err := localsite.Start(ctx, localsite.Config{
		Binaries: bin, Engines: 2, Plains: 2, Entries: 3, Settings: defaultSettings(),
		EngineFlags: []string{"-report-lag", "100ms", "-step-base", "5ms"},
		TargetProxy: func(entry string) string {
			e, err := faultproxy.NewEgress("targets of " + entry)
			must.NoError(t, err)
			t.Cleanup(e.Close)
			egress[entry] = e
			return e.Addr()
		},
	})
	must.NoError(t, err)
	t.Cleanup(site.Close)
	c := newClient(site)
	serve := func(n int) (served int) {
		for i := range n {
			s := startStream(ctx, c, fmt.Sprint("cut ", i), 5, caller.Call{Entry: 0})
			<-s.done
			if s.err == nil {
				served++
			}
		}
		return served
	}
	must.Eq(t, 5, serve(5))
	egress["entry-1"].Set(kind)
	serve(5) // the entry notices
	time.Sleep(2 * time.Second)
	must.Eq(t, 10, serve(10))
}
