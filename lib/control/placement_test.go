package control

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

const managedEngines = 3

func engineAddr(i int) string { return fmt.Sprintf("127.0.0.1:91%02d", i) }

// managedSettings requires a version of model m on every engine.
func managedSettings(version string) string {
	var b strings.Builder
	b.WriteString(baseSettings[:strings.Index(baseSettings, "services:")])
	fmt.Fprintf(&b, "services:\n  model:\n    kind: model\n    models: [m]\n    fencing: enforced\n    model: m\n    version: %q\n    targets:\n", version)
	for i := range managedEngines {
		fmt.Fprintf(&b, "      t%d: {addr: %q, failure_domain: a, instance: e%d}\n", i, engineAddr(i), i)
	}
	return b.String()
}

// drainedTargets returns the targets that a process sees as drained.
func drainedTargets(p *Process) (names []string) {
	for i := range managedEngines {
		if name := fmt.Sprint("t", i); p.state.draining(name) {
			names = append(names, name)
		}
	}
	return names
}

// An operator commits a new version. Engines change one after the other, each drained and idle before its order. The lease
// holder dies in the middle of a change, and its successor resumes from the intent and the drain in the table. In the end
// every engine must have the version, none may be left drained, and none may have changed while it ran something.
func TestRolloutSurvivesLeaseHolderFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 2, managedSettings("1"))
		defer f.close()
		for i := range managedEngines {
			f.engines.add(engineAddr(i), "m", "1", 0)
		}
		f.engines.setRunning(engineAddr(0), 2)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		commit(t, f.store, managedSettings("2"), 1)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		must.Eq(t, "1", f.engines.version(engineAddr(0))) // it is still running sequences
		must.Eq(t, []string{"t0"}, drainedTargets(f.procs[0]))
		must.Eq(t, []string{"t0"}, drainedTargets(f.procs[1]))

		dead := f.holder(leasePlacement)
		must.True(t, f.store.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: 500}))
		f.stop[dead]()
		f.engines.setRunning(engineAddr(0), 0)
		successor := f.procs[1-dead]
		for range 240 {
			time.Sleep(time.Second)
			synctest.Wait()
			must.LessEq(t, 1, len(drainedTargets(successor)))
		}
		for i := range managedEngines {
			must.Eq(t, "2", f.engines.version(engineAddr(i)))
		}
		must.SliceEmpty(t, drainedTargets(successor))
		must.Eq(t, 0, f.engines.rejected)
	})
}
