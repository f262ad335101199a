package locallink

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/proc"
)

const patience = 5 * time.Second

const self = "i1"

func settingsMsg(rev uint64) *meshpb.LocalDown {
	return &meshpb.LocalDown{Msg: &meshpb.LocalDown_Settings{Settings: &meshpb.SettingsBody{Revision: rev}}}
}

func drainMsg(target string, on bool) *meshpb.LocalDown {
	return &meshpb.LocalDown{Msg: &meshpb.LocalDown_Drain{Drain: &meshpb.Drain{Target: target, On: on}}}
}

func powerMsg(validMS int64) *meshpb.LocalDown {
	return &meshpb.LocalDown{Msg: &meshpb.LocalDown_Power{Power: &meshpb.PowerShare{Service: "s", Watts: 10, ValidMs: validMS}}}
}

func statusMsg() *meshpb.LocalUp {
	return &meshpb.LocalUp{Msg: &meshpb.LocalUp_Status{Status: &meshpb.EntryStatus{Instance: self}}}
}

func newNode(t *testing.T, instance string) *mesh.Node {
	t.Helper()
	n, err := mesh.New(mesh.Options{
		Self:       mesh.Identity{Instance: instance, Incarnation: 7},
		Plaintext:  true,
		BackoffMin: time.Millisecond,
		BackoffMax: 20 * time.Millisecond,
	})
	must.NoError(t, err)
	t.Cleanup(n.Close)
	return n
}

// startServer listens on addr ("" draws one) and passes what comes down to the returned channel.
func startServer(t *testing.T, addr, instance string) (string, chan *meshpb.LocalDown, func()) {
	t.Helper()
	if addr == "" {
		addrs, err := proc.Addrs(1)
		must.NoError(t, err)
		addr = addrs[0]
	}
	ln, err := net.Listen("tcp", addr)
	must.NoError(t, err)
	down := make(chan *meshpb.LocalDown, 64)
	s := &Server{
		Instance:  instance,
		OnMessage: func(m *meshpb.LocalDown) { down <- m },
		Reports:   func() []*meshpb.LocalUp { return []*meshpb.LocalUp{statusMsg()} },
		Interval:  10 * time.Millisecond,
	}
	n := newNode(t, instance)
	n.Handle(meshpb.StreamKind_STREAM_LOCAL, s.Handle)
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Serve(ln) }()
	stop := func() { n.Close(); <-done }
	return addr, down, stop
}

func newClient(t *testing.T, addr string) *Client {
	t.Helper()
	return NewClient(newNode(t, self), addr)
}

func startClient(t *testing.T, c *Client) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func next[T any](t *testing.T, ch chan T) T {
	t.Helper()
	select {
	case m := <-ch:
		return m
	case <-time.After(patience):
		t.Fatal("nothing came over the link")
		panic("unreachable")
	}
}

func TestStateGoesDownAndReportsComeUp(t *testing.T) {
	addr, down, _ := startServer(t, "", self)
	c := newClient(t, addr)
	up := make(chan *meshpb.LocalUp, 64)
	c.OnReport = func(m *meshpb.LocalUp) { up <- m }
	startClient(t, c)
	c.Set(settingsMsg(3))
	must.Eq(t, 3, next(t, down).GetSettings().GetRevision())
	must.Eq(t, self, next(t, up).GetStatus().GetInstance())
}

// The entry dies and comes back on its address with nothing in memory. Nothing changes at the control process
// meanwhile, so a link that carried only changes would leave the new entry without settings: it would refuse every
// caller. The client sends all that it holds on each new link.
func TestRestartedEntryGetsTheWholeState(t *testing.T) {
	addr, down, stop := startServer(t, "", self)
	c := newClient(t, addr)
	startClient(t, c)
	c.Set(settingsMsg(3))
	next(t, down)
	c.Set(drainMsg("t1", true))
	next(t, down)
	stop()

	_, down2, _ := startServer(t, addr, self)
	must.Eq(t, "t1", next(t, down2).GetDrain().GetTarget()) // before the settings, on which the entry serves
	must.Eq(t, 3, next(t, down2).GetSettings().GetRevision())
}

// The control process is frozen and its successor connects while the old link still stands. When the old one wakes it
// sends what it held before. Were both links read, the entry would apply the old state over the new.
func TestNewestLinkWins(t *testing.T) {
	addr, down, _ := startServer(t, "", self)
	old := newClient(t, addr)
	oldDone := make(chan struct{})
	go func() { defer close(oldDone); _ = old.once(t.Context()) }()
	old.Set(drainMsg("t1", true))
	next(t, down)

	successor := newClient(t, addr)
	successor.Set(drainMsg("t1", false))
	startClient(t, successor)
	must.False(t, next(t, down).GetDrain().GetOn())

	select {
	case <-oldDone: // the server closed the older link
	case <-time.After(patience):
		t.Fatal("the older link still stands")
	}
}

func TestClientRefusesAnotherInstancesEntry(t *testing.T) {
	addr, down, _ := startServer(t, "", "i2")
	c := newClient(t, addr)
	lost := make(chan error, 8)
	c.OnDisconnect = func(err error) { lost <- err }
	c.Set(settingsMsg(1))
	startClient(t, c)
	must.Error(t, next(t, lost))
	must.Eq(t, 0, len(down))
}

func TestEntryRefusesAnotherInstancesControl(t *testing.T) {
	addr, down, _ := startServer(t, "", "i2")
	st, err := newNode(t, self).Open(t.Context(), mesh.Peer{Addr: addr}, meshpb.StreamKind_STREAM_LOCAL)
	must.NoError(t, err)
	defer st.Close()
	_ = st.Write(settingsMsg(1))
	must.Error(t, st.Read(&meshpb.LocalUp{})) // closed by the entry
	must.Eq(t, 0, len(down))
}

func TestOnlyTheNewestOfASubjectIsHeld(t *testing.T) {
	c := newClient(t, "")
	for rev := range uint64(100) {
		c.Set(settingsMsg(rev))
	}
	c.Set(drainMsg("t1", true))
	c.Set(drainMsg("t1", false))
	msgs, v := c.since(0)
	must.Len(t, 2, msgs)
	must.Eq(t, "t1", msgs[0].GetDrain().GetTarget()) // drains first: the settings are the sign that all were told
	must.False(t, msgs[0].GetDrain().GetOn())
	must.Eq(t, 99, msgs[1].GetSettings().GetRevision())
	msgs, _ = c.since(v)
	must.Len(t, 0, msgs)
}

// A power share is valid for ten seconds. The link breaks after eight and comes back; the share is sent again. Given
// its whole span once more the entry would run on it for eighteen seconds, while another holder hands the same watts
// to others: the site passes its cap.
func TestPowerShareIsSentWithTheTimeThatIsLeft(t *testing.T) {
	c := newClient(t, "")
	c.Set(powerMsg(10_000))
	e := c.state["power/s/0"]
	later := e.current(e.expires.Add(-2 * time.Second))
	must.Eq(t, 2000, later.GetPower().GetValidMs())
	must.Eq(t, 0, e.current(e.expires.Add(time.Hour)).GetPower().GetValidMs())
	must.Eq(t, 10_000, e.msg.GetPower().GetValidMs())
}
