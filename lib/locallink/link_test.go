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

const testTimeout = 5 * time.Second

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

// startServer listens on addr (empty: a free address) and sends received messages to the returned channel.
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

func receive[T any](t *testing.T, ch chan T) T {
	t.Helper()
	select {
	case m := <-ch:
		return m
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a message over the link")
		panic("unreachable")
	}
}

func TestStateAndReportsAreDelivered(t *testing.T) {
	addr, down, _ := startServer(t, "", self)
	c := newClient(t, addr)
	up := make(chan *meshpb.LocalUp, 64)
	c.OnReport = func(m *meshpb.LocalUp) { up <- m }
	startClient(t, c)
	c.Set(settingsMsg(3))
	must.Eq(t, 3, receive(t, down).GetSettings().GetRevision())
	must.Eq(t, self, receive(t, up).GetStatus().GetInstance())
}

// The entry restarts on the same address without state, while nothing changes in the control process. If the link carried
// only changes, the new entry would have no settings and refuse every caller. The client must send its full state on each
// new link.
func TestRestartedEntryReceivesFullState(t *testing.T) {
	addr, down, stop := startServer(t, "", self)
	c := newClient(t, addr)
	startClient(t, c)
	c.Set(settingsMsg(3))
	receive(t, down)
	c.Set(drainMsg("t1", true))
	receive(t, down)
	stop()

	_, down2, _ := startServer(t, addr, self)
	must.Eq(t, "t1", receive(t, down2).GetDrain().GetTarget()) // before the settings, which make the entry start serving
	must.Eq(t, 3, receive(t, down2).GetSettings().GetRevision())
}

// The control process is frozen, and its successor connects while the old link is still open. When the old process resumes,
// it sends its outdated state. If both links were read, the entry would overwrite the new state with the old.
func TestNewestLinkWins(t *testing.T) {
	addr, down, _ := startServer(t, "", self)
	old := newClient(t, addr)
	oldDone := make(chan struct{})
	go func() { defer close(oldDone); _ = old.runLink(t.Context()) }()
	old.Set(drainMsg("t1", true))
	receive(t, down)

	successor := newClient(t, addr)
	successor.Set(drainMsg("t1", false))
	startClient(t, successor)
	must.False(t, receive(t, down).GetDrain().GetOn())

	select {
	case <-oldDone: // the server closed the older link
	case <-time.After(testTimeout):
		t.Fatal("the older link is still open")
	}
}

func TestClientRejectsEntryOfAnotherInstance(t *testing.T) {
	addr, down, _ := startServer(t, "", "i2")
	c := newClient(t, addr)
	lost := make(chan error, 8)
	c.OnDisconnect = func(err error) { lost <- err }
	c.Set(settingsMsg(1))
	startClient(t, c)
	must.Error(t, receive(t, lost))
	must.Eq(t, 0, len(down))
}

func TestEntryRejectsControlProcessOfAnotherInstance(t *testing.T) {
	addr, down, _ := startServer(t, "", "i2")
	st, err := newNode(t, self).Open(t.Context(), mesh.Peer{Addr: addr}, meshpb.StreamKind_STREAM_LOCAL)
	must.NoError(t, err)
	defer st.Close()
	_ = st.Write(settingsMsg(1))
	must.Error(t, st.Read(&meshpb.LocalUp{})) // closed by the entry
	must.Eq(t, 0, len(down))
}

func TestOnlyLatestMessagePerKeyIsKept(t *testing.T) {
	c := newClient(t, "")
	for rev := range uint64(100) {
		c.Set(settingsMsg(rev))
	}
	c.Set(drainMsg("t1", true))
	c.Set(drainMsg("t1", false))
	msgs, v := c.changedSince(0)
	must.Len(t, 2, msgs)
	must.Eq(t, "t1", msgs[0].GetDrain().GetTarget()) // drains first: the settings signal that all drains were sent
	must.False(t, msgs[0].GetDrain().GetOn())
	must.Eq(t, 99, msgs[1].GetSettings().GetRevision())
	msgs, _ = c.changedSince(v)
	must.Len(t, 0, msgs)
}

// A power share is valid for 10 s. The link fails after 8 s and reconnects, and the share is sent again. With its original
// validity the entry would use it for 18 s, while another holder assigns the same watts elsewhere, and the site would exceed
// its power cap.
func TestPowerShareIsSentWithRemainingValidity(t *testing.T) {
	c := newClient(t, "")
	c.Set(powerMsg(10_000))
	e := c.state["power/s/0"]
	later := e.messageAt(e.expires.Add(-2 * time.Second))
	must.Eq(t, 2000, later.GetPower().GetValidMs())
	must.Eq(t, 0, e.messageAt(e.expires.Add(time.Hour)).GetPower().GetValidMs())
	must.Eq(t, 10_000, e.msg.GetPower().GetValidMs())
}
