package control

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/locallink"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/settingsync"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

const testTimeout = 5 * time.Second

const baseSettings = `
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

func commit(t *testing.T, s *standin.Server, text string, base uint64) {
	t.Helper()
	c := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport()})
	_, err := settingsync.Commit(t.Context(), c, settingsync.Change{Text: []byte(text), File: "f", Base: base, Operator: "ann"})
	must.NoError(t, err)
}

// fakeEntry listens for its control process and forwards the messages it receives to a channel. It may start with settings.
func fakeEntry(t *testing.T, instance string, initial ...*meshpb.SettingsBody) (addr string, down chan *meshpb.LocalDown) {
	t.Helper()
	addrs, err := proc.Addrs(1)
	must.NoError(t, err)
	ln, err := net.Listen("tcp", addrs[0])
	must.NoError(t, err)
	n, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: instance}, Plaintext: true})
	must.NoError(t, err)
	t.Cleanup(n.Close)
	down = make(chan *meshpb.LocalDown, 100)
	sync := serveSettings(t, n)
	srv := &locallink.Server{
		Instance: instance,
		OnMessage: func(m *meshpb.LocalDown) {
			if m.GetSettings() != nil {
				sync.Receive(m.GetSettings(), "control")
			}
			down <- m
		},
		Reports:  func() []*meshpb.LocalUp { return reports(sync.Status().InForce) },
		Interval: 20 * time.Millisecond,
	}
	n.Handle(meshpb.StreamKind_STREAM_LOCAL, srv.Handle)
	for _, body := range initial {
		sync.Receive(body, "peer")
	}
	go func() { _ = n.Serve(ln) }()
	return addrs[0], down
}

// serveSettings runs the settings of an entry and serves them on its node.
func serveSettings(t *testing.T, n *mesh.Node) *settingsync.Sync {
	t.Helper()
	sync := settingsync.New(settingsync.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); sync.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	n.Handle(meshpb.StreamKind_STREAM_SETTINGS, func(_ context.Context, st *mesh.Stream) { _ = sync.ServeStream(st) })
	return sync
}

func reports(revision uint64) []*meshpb.LocalUp {
	status := &meshpb.EntryStatus{
		SettingsRevision: revision,
		Streams:          3,
		Shards:           []*meshpb.ShardDigest{{Service: "model", Queued: 2}},
	}
	targets := &meshpb.TargetReports{Targets: []*meshpb.TargetReport{{Target: "t1", Running: 1, AgeMs: 100}}}
	return []*meshpb.LocalUp{
		{Msg: &meshpb.LocalUp_Status{Status: status}},
		{Msg: &meshpb.LocalUp_Reports{Reports: targets}},
	}
}

func start(t *testing.T, s *standin.Server, instance string, initial ...*meshpb.SettingsBody) (*Process, chan *meshpb.LocalDown) {
	t.Helper()
	addr, down := fakeEntry(t, instance, initial...)
	p, err := New(Options{
		Instance:     instance,
		EntryAddr:    addr,
		Links:        mesh.Options{Plaintext: true},
		Platform:     platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport()},
		InstancePoll: 20 * time.Millisecond,
		DrainPoll:    20 * time.Millisecond,
	})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return p, down
}

// awaitMessage waits for a message that f accepts.
func awaitMessage(t *testing.T, down chan *meshpb.LocalDown, f func(*meshpb.LocalDown) bool) {
	t.Helper()
	after := time.After(testTimeout)
	for {
		select {
		case m := <-down:
			if f(m) {
				return
			}
		case <-after:
			t.Fatal("the entry did not receive the expected message")
		}
	}
}

func isDrain(target string, on bool) func(*meshpb.LocalDown) bool {
	return func(m *meshpb.LocalDown) bool {
		return m.GetDrain().GetTarget() == target && m.GetDrain().GetOn() == on
	}
}

func isRevision(n uint64) func(*meshpb.LocalDown) bool {
	return func(m *meshpb.LocalDown) bool { return m.GetSettings().GetRevision() == n }
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	must.NoError(t, proc.Until(ctx, what, func(context.Context) error {
		if !cond() {
			return context.DeadlineExceeded
		}
		return nil
	}))
}

func TestEntryReceivesSettingsAndInstances(t *testing.T) {
	s := standin.New(standin.Config{})
	s.PutInstance(platformapi.Instance{ID: "i1", Incarnation: 2, State: platformapi.InstanceLeaving})
	commit(t, s, baseSettings, 0)
	p, down := start(t, s, "i1")
	awaitMessage(t, down, isRevision(1))
	commit(t, s, baseSettings+"# changed\n", 1)
	awaitMessage(t, down, isRevision(2))
	eventually(t, "the instance list", func() bool { return len(p.Status().Members) == 1 })
	eventually(t, "the revision here", func() bool { return p.Status().SettingsRevision == 2 })
}

// An operator drains a target through one instance. The others must learn of it within the three seconds in which the
// target may still get work; so must a control process that starts later, or it would send work to the target.
func TestDrainReachesEveryInstance(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, baseSettings, 0)
	p1, down1 := start(t, s, "i1")
	p2, down2 := start(t, s, "i2")
	eventually(t, "settings", func() bool { return p1.Snapshot() != nil && p2.Snapshot() != nil })

	from := time.Now()
	rep, err := p1.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: true, Operator: "ann"})
	must.NoError(t, err)
	must.True(t, rep.Applied && rep.Durable)
	awaitMessage(t, down1, isDrain("t1", true))
	awaitMessage(t, down2, isDrain("t1", true))
	must.Less(t, 3*time.Second, time.Since(from))
	must.Eq(t, opsapi.TargetDraining, p2.Targets()[0].State)

	_, down3 := start(t, s, "i3")
	awaitMessage(t, down3, isDrain("t1", true))

	_, err = p2.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: false, Operator: "ben"})
	must.NoError(t, err)
	awaitMessage(t, down1, isDrain("t1", false))
	_, err = p1.Drain(t.Context(), opsapi.DrainRequest{Target: "t9", On: true, Operator: "ann"})
	must.Error(t, err)
}

// The write of an operator's drain is delayed on its way to the table, and the operator is told that its outcome is unknown.
// A colleague ends the drain durably through another instance, and then the delayed write arrives. It must not be applied,
// or it would drain the target again without anyone's knowledge.
func TestDelayedDrainDoesNotOverwriteNewer(t *testing.T) {
	const late = 600 * time.Millisecond
	s := standin.New(standin.Config{})
	commit(t, s, baseSettings, 0)
	p1, down1 := start(t, s, "i1")
	p2, down2 := start(t, s, "i2")
	awaitMessage(t, down1, isRevision(1))
	awaitMessage(t, down2, isRevision(1))
	eventually(t, "settings", func() bool { return p1.Snapshot() != nil && p2.Snapshot() != nil })
	s.SetFault(standin.Fault{Kind: standin.FaultSlow, DelayMS: late.Milliseconds(), WritesOnly: true})
	ctx, cancel := context.WithTimeout(t.Context(), late/3)
	defer cancel()
	sent := time.Now()
	rep, err := p1.Drain(ctx, opsapi.DrainRequest{Target: "t1", On: true, Operator: "ann"})
	must.NoError(t, err)
	must.False(t, rep.Durable)
	s.SetFault(standin.Fault{Kind: standin.FaultClear})
	rep, err = p2.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: false, Operator: "ben"})
	must.NoError(t, err)
	must.True(t, rep.Durable)
	time.Sleep(time.Until(sent.Add(2 * late)))
	it, ok := s.Item(drainKey("t1", byOperator))
	must.True(t, ok)
	must.StrContains(t, string(it.Value), `"on":false`)
	eventually(t, "the drain to end everywhere", func() bool {
		return !p1.state.draining("t1") && !p2.state.draining("t1")
	})
}

// The store is down while an operator drains a target. The drain must apply to this instance, and the operator must be told
// that it reached no other.
func TestDrainDuringOutage(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, baseSettings, 0)
	p, down := start(t, s, "i1")
	eventually(t, "settings", func() bool { return p.Snapshot() != nil })
	must.True(t, s.SetFault(standin.Fault{Kind: standin.FaultOutage}))
	eventually(t, "the store to be seen down", func() bool { return p.Status().Store == "down" })

	rep, err := p.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: true, Operator: "ann"})
	must.NoError(t, err)
	must.True(t, rep.Applied)
	must.False(t, rep.Durable)
	awaitMessage(t, down, isDrain("t1", true))
	must.Eq(t, opsapi.TargetDraining, p.Targets()[0].State)
	must.Eq(t, 1, p.Status().SettingsRevision) // the last valid settings stay in force
}

// A lagging replica of the table shows a drain that was ended. If it were applied, a target would be taken out of service
// that its operator has put back.
func TestStaleDrainIsIgnored(t *testing.T) {
	state := newSharedState()
	must.True(t, state.setDrain("t1", byOperator, drainState{on: true, rev: 5}))
	must.True(t, state.setDrain("t1", byOperator, drainState{on: false, rev: 9}))
	must.False(t, state.setDrain("t1", byOperator, drainState{on: true, rev: 5}))
	must.False(t, state.draining("t1"))
}

// A model change ends on a target that an operator has drained meanwhile. If both were one drain, the target would get work
// again although the operator has drained it.
func TestOperatorDrainSurvivesModelChange(t *testing.T) {
	state := newSharedState()
	state.setDrain("t1", byPlacement, drainState{on: true, rev: 1})
	state.setDrain("t1", byOperator, drainState{on: true, rev: 2})
	state.setDrain("t1", byPlacement, drainState{on: false, rev: 3})
	must.True(t, state.draining("t1"))
	state.setDrain("t1", byOperator, drainState{on: false, rev: 4})
	must.False(t, state.draining("t1"))
}

func TestStatusShowsTargetsAndQueues(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, baseSettings, 0)
	p, _ := start(t, s, "i1")
	eventually(t, "reports", func() bool { return p.Snapshot() != nil && p.Status().Streams == 3 && p.Targets()[0].Running == 1 })
	must.Eq(t, opsapi.TargetLive, p.Targets()[0].State)
	must.Eq(t, opsapi.TargetSilent, p.Targets()[1].State)
	must.Eq(t, 2, p.Queues()[0].Queued)
	must.Eq(t, "up", p.Status().Link)
	must.NoError(t, p.ready())
}

func TestTransportCountsBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	tr := countedTransport("test")
	resp, err := (&http.Client{Transport: tr}).Get("http://" + ln.Addr().String())
	must.NoError(t, err)
	_ = resp.Body.Close()
	// The transport's writer counts after its write returns, which may be after the response was read here.
	for _, name := range []string{"received", "sent"} {
		c := metrics.GetOrCreateCounter(`anvilwick_control_` + name + `_bytes_total{link="test"}`)
		eventually(t, name+" bytes", func() bool { return c.Get() > 0 })
	}
}

// The table is restored from a backup that lacks an operator's drain, or has an earlier state of it. The drain must stay in
// force everywhere and be rewritten by the instance that took the request, and a control process that starts later must
// learn of it.
func TestDrainSurvivesTableRestore(t *testing.T) {
	for name, before := range map[string]bool{"never drained before": false, "drained and ended before": true} {
		t.Run(name, func(t *testing.T) {
			s := standin.New(standin.Config{})
			commit(t, s, baseSettings, 0)
			p1, down1 := start(t, s, "i1")
			p2, down2 := start(t, s, "i2")
			eventually(t, "settings", func() bool { return p1.Snapshot() != nil && p2.Snapshot() != nil })
			if before {
				for _, on := range []bool{true, false} {
					_, err := p1.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: on, Operator: "ann"})
					must.NoError(t, err)
					awaitMessage(t, down2, isDrain("t1", on))
				}
			}
			time.Sleep(200 * time.Millisecond)
			copied := time.Now()
			rep, err := p1.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: true, Operator: "ann"})
			must.NoError(t, err)
			must.True(t, rep.Durable)
			awaitMessage(t, down1, isDrain("t1", true))
			awaitMessage(t, down2, isDrain("t1", true))
			s.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: time.Since(copied).Milliseconds() + 50})
			it, _ := s.Item(drainKey("t1", byOperator))
			must.StrNotContains(t, string(it.Value), `"on":true`)
			eventually(t, "the drain in the table again", func() bool {
				it, _ := s.Item(drainKey("t1", byOperator))
				return strings.Contains(string(it.Value), `"on":true`)
			})
			must.True(t, p1.state.draining("t1"))
			must.True(t, p2.state.draining("t1"))
			_, down3 := start(t, s, "i3")
			awaitMessage(t, down3, isDrain("t1", true))
			_, err = p2.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: false, Operator: "ben"})
			must.NoError(t, err)
			awaitMessage(t, down1, isDrain("t1", false))
		})
	}
}
