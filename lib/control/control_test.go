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

const patience = 5 * time.Second

const someSettings = `
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

// fakeEntry listens for its control process and passes what it is told to a channel. It may have settings already.
func fakeEntry(t *testing.T, instance string, had ...*meshpb.SettingsBody) (addr string, down chan *meshpb.LocalDown) {
	t.Helper()
	addrs, err := proc.Addrs(1)
	must.NoError(t, err)
	ln, err := net.Listen("tcp", addrs[0])
	must.NoError(t, err)
	n, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: instance}, Plaintext: true})
	must.NoError(t, err)
	t.Cleanup(n.Close)
	down = make(chan *meshpb.LocalDown, 100)
	held := settingsOf(t, n)
	srv := &locallink.Server{
		Instance: instance,
		Down: func(m *meshpb.LocalDown) {
			if m.GetSettings() != nil {
				held.Receive(m.GetSettings(), "control")
			}
			down <- m
		},
		Up:       func() []*meshpb.LocalUp { return reports(held.Status().InForce) },
		Interval: 20 * time.Millisecond,
	}
	n.Handle(meshpb.StreamKind_STREAM_LOCAL, srv.Handle)
	for _, body := range had {
		held.Receive(body, "peer")
	}
	go func() { _ = n.Serve(ln) }()
	return addrs[0], down
}

// settingsOf runs the settings of an entry, and serves them on its node.
func settingsOf(t *testing.T, n *mesh.Node) *settingsync.Sync {
	t.Helper()
	held := settingsync.New(settingsync.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); held.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	n.Handle(meshpb.StreamKind_STREAM_SETTINGS, func(_ context.Context, st *mesh.Stream) { _ = held.ServeStream(st) })
	return held
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

func start(t *testing.T, s *standin.Server, instance string, had ...*meshpb.SettingsBody) (*Process, chan *meshpb.LocalDown) {
	t.Helper()
	addr, down := fakeEntry(t, instance, had...)
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

// told waits for a message that f accepts.
func told(t *testing.T, down chan *meshpb.LocalDown, f func(*meshpb.LocalDown) bool) {
	t.Helper()
	after := time.After(patience)
	for {
		select {
		case m := <-down:
			if f(m) {
				return
			}
		case <-after:
			t.Fatal("the entry was not told")
		}
	}
}

func drained(target string, on bool) func(*meshpb.LocalDown) bool {
	return func(m *meshpb.LocalDown) bool {
		return m.GetDrain().GetTarget() == target && m.GetDrain().GetOn() == on
	}
}

func revision(n uint64) func(*meshpb.LocalDown) bool {
	return func(m *meshpb.LocalDown) bool { return m.GetSettings().GetRevision() == n }
}

func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	must.NoError(t, proc.Until(ctx, what, func(context.Context) error {
		if !cond() {
			return context.DeadlineExceeded
		}
		return nil
	}))
}

func TestEntryIsToldSettingsAndInstances(t *testing.T) {
	s := standin.New(standin.Config{})
	s.PutInstance(platformapi.Instance{ID: "i1", Incarnation: 2, State: platformapi.InstanceLeaving})
	commit(t, s, someSettings, 0)
	p, down := start(t, s, "i1")
	told(t, down, revision(1))
	commit(t, s, someSettings+"# changed\n", 1)
	told(t, down, revision(2))
	until(t, "the instance list", func() bool { return len(p.Status().Members) == 1 })
	until(t, "the revision here", func() bool { return p.Status().SettingsRevision == 2 })
}

// An operator drains a target through one instance. The others must hear of it within the three seconds in which the
// target may still get work, and so must a control process that starts later, else it would send work again.
func TestDrainReachesEveryInstance(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, someSettings, 0)
	p1, down1 := start(t, s, "i1")
	p2, down2 := start(t, s, "i2")
	until(t, "settings", func() bool { return p1.Snapshot() != nil && p2.Snapshot() != nil })

	from := time.Now()
	rep, err := p1.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: true, Operator: "ann"})
	must.NoError(t, err)
	must.True(t, rep.Applied && rep.Durable)
	told(t, down1, drained("t1", true))
	told(t, down2, drained("t1", true))
	must.Less(t, 3*time.Second, time.Since(from))
	must.Eq(t, opsapi.TargetDraining, p2.Targets()[0].State)

	_, down3 := start(t, s, "i3")
	told(t, down3, drained("t1", true))

	_, err = p2.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: false, Operator: "ben"})
	must.NoError(t, err)
	told(t, down1, drained("t1", false))
	_, err = p1.Drain(t.Context(), opsapi.DrainRequest{Target: "t9", On: true, Operator: "ann"})
	must.Error(t, err)
}

// An operator drains a target and the write is held up on its way to the table. The operator hears that it isn't known to
// be there, and a colleague ends the drain through another instance, durably. Then the held-up write arrives. Taken, it
// would drain the target again behind the back of the one who was told that it is not.
func TestLateDrainDoesNotUndoANewerOne(t *testing.T) {
	const late = 600 * time.Millisecond
	s := standin.New(standin.Config{})
	commit(t, s, someSettings, 0)
	p1, down1 := start(t, s, "i1")
	p2, down2 := start(t, s, "i2")
	told(t, down1, revision(1))
	told(t, down2, revision(1))
	until(t, "settings", func() bool { return p1.Snapshot() != nil && p2.Snapshot() != nil })
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
	until(t, "the drain to end everywhere", func() bool {
		return !p1.tables.draining("t1") && !p2.tables.draining("t1")
	})
}

// The store is down while an operator drains a target. The drain must hold at this instance all the same, and the
// operator must be told that it reached no other.
func TestDrainDuringAnOutage(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, someSettings, 0)
	p, down := start(t, s, "i1")
	until(t, "settings", func() bool { return p.Snapshot() != nil })
	must.True(t, s.SetFault(standin.Fault{Kind: standin.FaultOutage}))
	until(t, "the store to be seen down", func() bool { return p.Status().Store == "down" })

	rep, err := p.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: true, Operator: "ann"})
	must.NoError(t, err)
	must.True(t, rep.Applied)
	must.False(t, rep.Durable)
	told(t, down, drained("t1", true))
	must.Eq(t, opsapi.TargetDraining, p.Targets()[0].State)
	must.Eq(t, 1, p.Status().SettingsRevision) // the last good settings stay
}

// A replica of the table that lags shows a drain that was taken back. Applied, it would take a target out of service
// that its operator has put back.
func TestOldDrainChangesNothing(t *testing.T) {
	tb := newTables()
	must.True(t, tb.setDrain("t1", byOperator, drainState{on: true, rev: 5}))
	must.True(t, tb.setDrain("t1", byOperator, drainState{on: false, rev: 9}))
	must.False(t, tb.setDrain("t1", byOperator, drainState{on: true, rev: 5}))
	must.False(t, tb.draining("t1"))
}

// A change of model ends on a target that an operator has drained meanwhile. Were the two one drain, the target would
// get work again under the operator's hands.
func TestOperatorsDrainOutlivesAChangeOfModel(t *testing.T) {
	tb := newTables()
	tb.setDrain("t1", byPlacement, drainState{on: true, rev: 1})
	tb.setDrain("t1", byOperator, drainState{on: true, rev: 2})
	tb.setDrain("t1", byPlacement, drainState{on: false, rev: 3})
	must.True(t, tb.draining("t1"))
	tb.setDrain("t1", byOperator, drainState{on: false, rev: 4})
	must.False(t, tb.draining("t1"))
}

func TestOperatorsSeeTargetsAndQueues(t *testing.T) {
	s := standin.New(standin.Config{})
	commit(t, s, someSettings, 0)
	p, _ := start(t, s, "i1")
	until(t, "reports", func() bool { return p.Snapshot() != nil && p.Status().Streams == 3 && p.Targets()[0].Running == 1 })
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
	tr := counted("test")
	resp, err := (&http.Client{Transport: tr}).Get("http://" + ln.Addr().String())
	must.NoError(t, err)
	_ = resp.Body.Close()
	// The transport's writer counts after its write returns, which may be after the answer was read here.
	for _, name := range []string{"received", "sent"} {
		c := metrics.GetOrCreateCounter(`anvilwick_control_` + name + `_bytes_total{link="test"}`)
		until(t, name+" bytes", func() bool { return c.Get() > 0 })
	}
}

// The table comes back from a copy that lacks an operator's drain, or has the one before it. The drain stays in force everywhere, is written
// again by the instance that took the order, and a control process that starts later hears of it.
func TestDrainThatACopyLacksHolds(t *testing.T) {
	for name, before := range map[string]bool{"never drained before": false, "drained and ended before": true} {
		t.Run(name, func(t *testing.T) {
			s := standin.New(standin.Config{})
			commit(t, s, someSettings, 0)
			p1, down1 := start(t, s, "i1")
			p2, down2 := start(t, s, "i2")
			until(t, "settings", func() bool { return p1.Snapshot() != nil && p2.Snapshot() != nil })
			if before {
				for _, on := range []bool{true, false} {
					_, err := p1.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: on, Operator: "ann"})
					must.NoError(t, err)
					told(t, down2, drained("t1", on))
				}
			}
			time.Sleep(200 * time.Millisecond)
			copied := time.Now()
			rep, err := p1.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: true, Operator: "ann"})
			must.NoError(t, err)
			must.True(t, rep.Durable)
			told(t, down1, drained("t1", true))
			told(t, down2, drained("t1", true))
			s.SetFault(standin.Fault{Kind: standin.FaultRestore, DelayMS: time.Since(copied).Milliseconds() + 50})
			it, _ := s.Item(drainKey("t1", byOperator))
			must.StrNotContains(t, string(it.Value), `"on":true`)
			until(t, "the drain in the table again", func() bool {
				it, _ := s.Item(drainKey("t1", byOperator))
				return strings.Contains(string(it.Value), `"on":true`)
			})
			must.True(t, p1.tables.draining("t1"))
			must.True(t, p2.tables.draining("t1"))
			_, down3 := start(t, s, "i3")
			told(t, down3, drained("t1", true))
			_, err = p2.Drain(t.Context(), opsapi.DrainRequest{Target: "t1", On: false, Operator: "ben"})
			must.NoError(t, err)
			told(t, down1, drained("t1", false))
		})
	}
}
