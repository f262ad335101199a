package locallink

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Bounds of the wait between two connects. The entry is on the same machine: a quick retry costs little.
const (
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
)

// Client is the control process's side. It holds the latest message of each kind and subject, and sends every one of
// them on each new link.
type Client struct {
	Node         *mesh.Node
	Addr         string                  // IP:port of the entry's mesh listener
	OnReport     func(m *meshpb.LocalUp) // called in order; nil: ignored
	OnDisconnect func(err error)         // a link or a connect failed; nil: ignored

	mu      sync.Mutex
	state   map[string]held
	next    uint64
	linked  bool
	changed chan struct{}
}

// held is the newest message of one subject.
type held struct {
	msg     *meshpb.LocalDown
	version uint64
	expires time.Time // of a power share; zero: never
}

// NewClient returns a Client that holds nothing yet.
func NewClient(node *mesh.Node, addr string) *Client {
	return &Client{
		Node:    node,
		Addr:    addr,
		state:   map[string]held{},
		changed: make(chan struct{}, 1),
	}
}

// Set replaces what is held for m's kind and subject. A slow entry sees only the newest of several.
func (c *Client) Set(m *meshpb.LocalDown) {
	e := held{msg: m}
	if p := m.GetPower(); p != nil {
		e.expires = time.Now().Add(time.Duration(p.GetValidMs()) * time.Millisecond)
	}
	c.mu.Lock()
	c.next++
	e.version = c.next
	c.state[subject(m)] = e
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func subject(m *meshpb.LocalDown) string {
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

// Run keeps a link until ctx is done.
func (c *Client) Run(ctx context.Context) {
	wait := retryMin
	for ctx.Err() == nil {
		began := time.Now()
		err := c.once(ctx)
		if c.OnDisconnect != nil && ctx.Err() == nil {
			c.OnDisconnect(err)
		}
		if time.Since(began) > retryMax {
			wait = retryMin
		}
		if !pause(ctx, wait) {
			return
		}
		wait = min(2*wait, retryMax)
	}
}

// Connected reports whether the entry is connected.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.linked
}

func (c *Client) setLinked(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linked = on
}

// once connects, sends all that is held, then what changes, until the link ends.
func (c *Client) once(ctx context.Context) error {
	peer := mesh.Peer{Instance: c.Node.Self().Instance, Addr: c.Addr}
	st, err := c.Node.Open(ctx, peer, meshpb.StreamKind_STREAM_LOCAL)
	if err != nil {
		return err
	}
	c.setLinked(true)
	defer c.setLinked(false)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var reading sync.WaitGroup
	reading.Go(func() { cancel(c.readUp(st)) })
	err = c.writeDown(ctx, st)
	_ = st.Close()
	reading.Wait()
	return err
}

func (c *Client) readUp(st *mesh.Stream) error {
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

func (c *Client) writeDown(ctx context.Context, st *mesh.Stream) error {
	sent := uint64(0)
	for {
		msgs, newest := c.since(sent)
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

// since returns what changed after version v: drains, then settings, then the rest. The entry needs the settings to read
// the rest, and takes them for the sign that it knows the drains.
func (c *Client) since(v uint64) ([]*meshpb.LocalDown, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var msgs []*meshpb.LocalDown
	for _, e := range c.state {
		if e.version <= v {
			continue
		}
		msgs = append(msgs, e.current(time.Now()))
	}
	slices.SortStableFunc(msgs, func(a, b *meshpb.LocalDown) int { return cmp.Compare(rank(a), rank(b)) })
	return msgs, c.next
}

func rank(m *meshpb.LocalDown) int {
	switch m.GetMsg().(type) {
	case *meshpb.LocalDown_Drain:
		return 0
	case *meshpb.LocalDown_Settings:
		return 1
	}
	return 2
}

// current returns the message as it is worth now: a power share with the time that is left, and with none when it has
// run out, so that the entry falls to its fallback. Sent as it was first given, an old share would be valid for its
// whole span again after each reconnect, and the sum of shares could pass the site's cap.
func (e held) current(now time.Time) *meshpb.LocalDown {
	if e.expires.IsZero() {
		return e.msg
	}
	p := proto.CloneOf(e.msg.GetPower())
	p.ValidMs = max(0, e.expires.Sub(now).Milliseconds())
	return &meshpb.LocalDown{Msg: &meshpb.LocalDown_Power{Power: p}}
}
