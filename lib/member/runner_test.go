package member

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

const runnerInterval = 50 * time.Millisecond

// process is a node and its runner on a real socket.
type process struct {
	*Runner
	node *mesh.Node
	self Member
	stop func()
}

func startProcess(t testing.TB, name string, incarnation uint64, addr string, interval time.Duration) *process {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	must.NoError(t, err)
	self := Member{Instance: name, Incarnation: incarnation, FailureDomain: "d", MeshAddr: ln.Addr().String()}
	node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: name, Incarnation: incarnation}, Plaintext: true})
	must.NoError(t, err)
	p := &process{Runner: NewRunner(node, Config{Self: self, Interval: interval}), node: node, self: self}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	go node.Serve(ln)
	stopped := false
	p.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		node.Close()
		<-done
	}
	t.Cleanup(p.stop)
	return p
}

func startProcesses(t testing.TB, n int, interval time.Duration) []*process {
	t.Helper()
	var ps []*process
	for i := range n {
		ps = append(ps, startProcess(t, fmt.Sprintf("i%02d", i), 1, "127.0.0.1:0", interval))
	}
	// Only the first gets the list; the others learn of each other from heartbeats.
	var list []Member
	for _, p := range ps {
		list = append(list, p.self)
	}
	ps[0].SetInstances(list)
	for _, p := range ps {
		waitView(t, p, fmt.Sprint(n, " live members"), func(v *View) bool { return countLive(v) == n })
	}
	return ps
}

func countLive(v *View) int {
	n := 0
	for _, m := range v.Members {
		if m.State == Live {
			n++
		}
	}
	return n
}

func waitView(t testing.TB, p *process, what string, cond func(v *View) bool) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		changed := p.Changed()
		if cond(p.View()) {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("%s: timed out waiting for %s: %+v", p.self.Instance, what, p.View().Members)
		}
	}
}

func stateIs(name string, incarnation uint64, s State) func(v *View) bool {
	return func(v *View) bool {
		m, ok := v.Get(name)
		return ok && m.Incarnation == incarnation && m.State == s
	}
}

// An instance is killed: its sockets close and its address refuses connections. All others must declare it dead soon. A new process with
// a higher incarnation on the same address must then be live at all of them, and its announcement of leaving must reach all.
func TestRunnersDetectDeathRestartAndLeaving(t *testing.T) {
	ps := startProcesses(t, 5, runnerInterval)
	ps[4].stop()
	start := time.Now()
	for _, p := range ps[:4] {
		waitView(t, p, "death", stateIs("i04", 1, Dead))
	}
	t.Logf("dead at all after %v, interval %v", time.Since(start).Round(time.Millisecond), runnerInterval)
	restarted := startProcess(t, "i04", 2, ps[4].self.MeshAddr, runnerInterval)
	restarted.SetInstances([]Member{ps[1].self})
	for _, p := range ps[:4] {
		waitView(t, p, "the new incarnation", stateIs("i04", 2, Live))
	}
	start = time.Now()
	restarted.Leave()
	for _, p := range ps[:4] {
		waitView(t, p, "leaving", func(v *View) bool {
			m, _ := v.Get("i04")
			return m.Leaving
		})
	}
	t.Logf("leaving known to all after %v", time.Since(start).Round(time.Millisecond))
	must.Len(t, 4, ps[0].View().Workers())
}

func TestIntervalIsSetWhileRunning(t *testing.T) {
	ps := startProcesses(t, 2, time.Hour/1000)
	for _, p := range ps {
		p.SetInterval(runnerInterval)
	}
	ps[1].stop()
	waitView(t, ps[0], "death at the new interval", stateIs("i01", 1, Dead))
}

func TestRunnersExchangeDigestsAndRevisions(t *testing.T) {
	ps := startProcesses(t, 3, runnerInterval)
	ps[1].SetLocal(12, []*meshpb.ShardDigest{{Service: "planner", Shard: 3, Queued: 9}})
	for end := time.Now().Add(10 * time.Second); len(ps[0].Digests()) == 0; time.Sleep(5 * time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	d := ps[0].Digests()[0]
	must.Eq(t, "i01", d.Instance)
	must.EqOp(t, 9, d.GetQueued())
	must.EqOp(t, 12, ps[0].SettingsRevisions()["i01"])
}
