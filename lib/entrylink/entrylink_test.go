package entrylink

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
)

const text = `
site:
  name: test
  failure_domains: [a]
classes:
  standard: {priority: 1}
workspaces:
  w:
    keys: ["sha256:281a9d5c534a7d234d6b82adf17405b9773697b952213c4a5015d757782fd5d9"]
    classes: [standard]
services:
  model:
    kind: model
    models: [m]
    targets:
      t1: {addr: "127.0.0.1:9001", failure_domain: a, instance: e1}
      t2: {addr: "127.0.0.1:9002", failure_domain: a, instance: e2}
`

func settingsMsg(rev uint64, text string) *meshpb.LocalDown {
	return &meshpb.LocalDown{Msg: &meshpb.LocalDown_Settings{Settings: &meshpb.SettingsBody{Revision: rev, Yaml: []byte(text)}}}
}

func drainMsg(target string, on bool) *meshpb.LocalDown {
	return &meshpb.LocalDown{Msg: &meshpb.LocalDown_Drain{Drain: &meshpb.Drain{Target: target, On: on}}}
}

// run starts a Link in virtual time and returns it with a function that reports the settings in effect.
func run(t *testing.T) (l *Link, inForce func() *settings.Snapshot) {
	t.Helper()
	var snap *settings.Snapshot
	sy := settingsync.New(settingsync.Config{})
	l = New(Options{Instance: "i1", Sync: sy, Apply: func(s *settings.Snapshot) { snap = s }})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go sy.Run(ctx)
	go l.Run(ctx)
	return l, func() *settings.Snapshot {
		time.Sleep(time.Minute) // longer than a settings swap may be delayed
		synctest.Wait()
		return snap
	}
}

func draining(s *settings.Snapshot) []bool {
	var out []bool
	for _, t := range s.Services["model"].Targets {
		out = append(out, t.Draining)
	}
	return out
}

// An operator drains a target, and a later settings revision does not mention the drain. If drains were lost with each
// revision, the draining target would receive new work again.
func TestDrainSurvivesSettingsRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, inForce := run(t)
		l.HandleDown(settingsMsg(1, text))
		must.Eq(t, []bool{false, false}, draining(inForce()))
		l.HandleDown(drainMsg("t1", true))
		must.Eq(t, []bool{true, false}, draining(inForce()))
		l.HandleDown(settingsMsg(2, text+"# changed\n"))
		s := inForce()
		must.Eq(t, 2, s.Revision)
		must.Eq(t, []bool{true, false}, draining(s))
		l.HandleDown(drainMsg("t1", false))
		must.Eq(t, []bool{false, false}, draining(inForce()))
	})
}

// An entry restarts after an operator drained a target, and its peers send it the settings before its control process sends
// the drain. If it served with those settings alone, the draining target would receive new work again.
func TestRestartedEntryAwaitsDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var applied []*settings.Snapshot
		sy := settingsync.New(settingsync.Config{})
		l := New(Options{Instance: "i1", Sync: sy, Apply: func(s *settings.Snapshot) { applied = append(applied, s) }})
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go sy.Run(ctx)
		go l.Run(ctx)
		sy.Receive(settingsMsg(1, text).GetSettings(), "peer")
		time.Sleep(time.Second)
		synctest.Wait()
		must.SliceEmpty(t, applied)
		l.HandleDown(drainMsg("t1", true))
		l.HandleDown(settingsMsg(1, text))
		time.Sleep(time.Millisecond)
		synctest.Wait()
		for _, s := range applied {
			must.Eq(t, []bool{true, false}, draining(s))
		}
		must.SliceNotEmpty(t, applied)
	})
}

// The control process is dead when its entry restarts. The entry must still serve with the settings of its peers, within
// the time that a drain may take to arrive.
func TestEntryServesWithoutControlProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, inForce := run(t)
		l.opts.Sync.Receive(settingsMsg(1, text).GetSettings(), "peer")
		must.NotNil(t, inForce())
	})
}

// A control process that read a lagging replica sends an older revision. Applying it would undo an accepted change.
func TestOlderRevisionIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, inForce := run(t)
		l.HandleDown(settingsMsg(5, text))
		must.Eq(t, 5, inForce().Revision)
		l.HandleDown(settingsMsg(4, text+"# older\n"))
		must.Eq(t, 5, inForce().Revision)
	})
}

func TestOverlayDoesNotModifySnapshot(t *testing.T) {
	tree, err := settings.Parse([]byte(text), "f")
	must.NoError(t, err)
	snap, err := tree.Resolve(1)
	must.NoError(t, err)
	l := New(Options{})
	l.setDrain("t2", true)
	must.Eq(t, []bool{false, true}, draining(l.overlay(snap)))
	must.Eq(t, []bool{false, false}, draining(snap))
}

func TestReportsAgeAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Options{})
		l.Report("t1", &engineapi.LoadReport{Running: 3, AgeMS: 500})
		time.Sleep(time.Second)
		rep := l.UpMessages()[0].GetReports().GetTargets()
		must.Len(t, 1, rep)
		must.Eq(t, 1500, rep[0].GetAgeMs())
		time.Sleep(reportRetention)
		must.Len(t, 0, l.UpMessages()[0].GetReports().GetTargets())
	})
}
