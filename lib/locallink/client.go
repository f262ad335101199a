package locallink

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Bounds of the backoff between connects. The entry is on the same machine, so quick retries are cheap.
const (
	reconnectMin = 50 * time.Millisecond
	reconnectMax = time.Second
)

// Client is the control process's side of the link. It keeps the latest message of each kind and subject and sends all of
// them on each new link.
type Client struct {
	Node         *mesh.Node
	Addr         string                  // IP:port of the entry's mesh listener
	OnReport     func(m *meshpb.LocalUp) // called in order; may be nil
	OnDisconnect func(err error)         // called when a link or a connect fails; may be nil

	mu          sync.Mutex
	state       map[string]stateEntry
	lastVersion uint64
	connected   bool
	changed     chan struct{}
}

// stateEntry is the latest message for one state key.
type stateEntry struct {
	msg     *meshpb.LocalDown
	version uint64
	expires time.Time // end of a power share's validity; zero: does not expire
}

// NewClient returns a Client without any state.
func NewClient(node *mesh.Node, addr string) *Client {
	return &Client{
		Node:    node,
		Addr:    addr,
		state:   map[string]stateEntry{},
		changed: make(chan struct{}, 1),
	}
}

// Set replaces the message for m's kind and subject. A slow entry receives only the latest one.
func (c *Client) Set(m *meshpb.LocalDown) {
	e := stateEntry{msg: m}
	if p := m.GetPower(); p != nil {
		e.expires = time.Now().Add(time.Duration(p.GetValidMs()) * time.Millisecond)
	}
	c.mu.Lock()
	c.lastVersion++
	e.version = c.lastVersion
	c.state[stateKey(m)] = e
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func stateKey(m *meshpb.LocalDown) string {
	switch m := m.GetMsg().(type) {
	case *meshpb.LocalDown_Settings:
		return "settings"
	case *meshpb.LocalDown_View:
		return "view"
	case *meshpb.LocalDown_Power:
		return fmt.Sprintf("power/%s/%d", m.Power.GetService(), m.Power.GetShard())
	case *meshpb.LocalDown_Drain:
		return "drain/" + m.Drain.GetTarget()
	default:
		return ""
	}
}

// Run connects to the entry and reconnects after failures until ctx is done.
func (c *Client) Run(ctx context.Context) {
	backoff := reconnectMin
	for ctx.Err() == nil {
		start := time.Now()
		err := c.runLink(ctx)
		if c.OnDisconnect != nil && ctx.Err() == nil {
			c.OnDisconnect(err)
		}
		if time.Since(start) > reconnectMax {
			backoff = reconnectMin
		}
		if !ctxtime.Sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, reconnectMax)
	}
}

// Connected reports whether the entry is connected.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected
}

func (c *Client) setConnected(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connected = on
}

// runLink connects, sends the full state and then changes, until the link ends.
func (c *Client) runLink(ctx context.Context) error {
	peer := mesh.Peer{Instance: c.Node.Self().Instance, Addr: c.Addr}
	st, err := c.Node.Open(ctx, peer, meshpb.StreamKind_STREAM_LOCAL)
	if err != nil {
		return err
	}
	c.setConnected(true)
	defer c.setConnected(false)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var reading sync.WaitGroup
	reading.Go(func() { cancel(c.readReports(st)) })
	err = c.writeState(ctx, st)
	_ = st.Close()
	reading.Wait()
	return err
}

func (c *Client) readReports(st *mesh.Stream) error {
	for {
		var m meshpb.LocalUp
		if err := st.Read(&m); err != nil {
			return err
		}
		if c.OnReport != nil {
			c.OnReport(&m)
		}
	}
}

func (c *Client) writeState(ctx context.Context, st *mesh.Stream) error {
	sent := uint64(0)
	for {
		msgs, newest := c.changedSince(sent)
		for _, m := range msgs {
			if err := st.Write(m); err != nil {
				return err
			}
		}
		sent = newest
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.changed:
		}
	}
}

// changedSince returns the messages changed after version v: drains, then settings, then the rest. The entry needs the settings
// to interpret the rest, and treats their arrival as the sign that it has received all drains.
func (c *Client) changedSince(v uint64) ([]*meshpb.LocalDown, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var msgs []*meshpb.LocalDown
	for _, e := range c.state {
		if e.version <= v {
			continue
		}
		msgs = append(msgs, e.messageAt(time.Now()))
	}
	slices.SortStableFunc(msgs, func(a, b *meshpb.LocalDown) int { return cmp.Compare(sendOrder(a), sendOrder(b)) })
	return msgs, c.lastVersion
}

func sendOrder(m *meshpb.LocalDown) int {
	switch m.GetMsg().(type) {
	case *meshpb.LocalDown_Drain:
		return 0
	case *meshpb.LocalDown_Settings:
		return 1
	}
	return 2
}

// messageAt returns the message to send at now. A power share gets its remaining validity, or zero once it has expired, so
// that the entry uses its fallback. With the original validity, an old share would become valid for its full period again
// after each reconnect, and the sum of the shares could exceed the site's power cap.
func (e stateEntry) messageAt(now time.Time) *meshpb.LocalDown {
	if e.expires.IsZero() {
		return e.msg
	}
	share := proto.CloneOf(e.msg.GetPower())
	share.ValidMs = max(0, e.expires.Sub(now).Milliseconds())
	return &meshpb.LocalDown{Msg: &meshpb.LocalDown_Power{Power: share}}
}
