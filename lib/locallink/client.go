package locallink

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

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
	Self Identity
	Addr string                  // IP:port of the entry's local listener
	TLS  *tls.Config             // nil: plain
	Up   func(m *meshpb.LocalUp) // called in order
	Lost func(err error)         // a link or a connect failed; nil: ignored

	mu      sync.Mutex
	state   map[string]held
	next    uint64
	changed chan struct{}
}

// held is the newest message of one subject.
type held struct {
	msg     *meshpb.LocalDown
	version uint64
	expires time.Time // of a power share; zero: never
}

// NewClient returns a Client that holds nothing yet.
func NewClient(self Identity, addr string) *Client {
	return &Client{
		Self:    self,
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
		return "power/" + m.Power.GetService()
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
		if c.Lost != nil && ctx.Err() == nil {
			c.Lost(err)
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

// once connects, sends all that is held, then what changes, until the link ends.
func (c *Client) once(ctx context.Context) error {
	sess, st, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer sess.Close()
	stop := context.AfterFunc(ctx, func() { _ = sess.Close() })
	defer stop()
	go c.readUp(sess, st)
	return c.writeDown(ctx, sess, st)
}

func (c *Client) connect(ctx context.Context) (*yamux.Session, *stream, error) {
	d := net.Dialer{Timeout: helloTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return nil, nil, err
	}
	sess, err := yamux.Client(secure(conn, c.TLS, tls.Client), yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	ys, err := sess.OpenStream()
	if err != nil {
		_ = sess.Close()
		return nil, nil, err
	}
	st := newStream(ys)
	if err := st.greet(c.Self); err != nil {
		_ = sess.Close()
		return nil, nil, err
	}
	return sess, st, nil
}

func (c *Client) readUp(sess *yamux.Session, st *stream) {
	defer sess.Close()
	for {
		var m meshpb.LocalUp
		if err := st.receive(&m); err != nil {
			return
		}
		if c.Up != nil {
			c.Up(&m)
		}
	}
}

func (c *Client) writeDown(ctx context.Context, sess *yamux.Session, st *stream) error {
	sent := uint64(0)
	for {
		msgs, newest := c.since(sent)
		for _, m := range msgs {
			if err := st.send(m); err != nil {
				return err
			}
		}
		sent = newest
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sess.CloseChan():
			return net.ErrClosed
		case <-c.changed:
		}
	}
}

// since returns what changed after version v, settings first: the entry needs them to read all else.
func (c *Client) since(v uint64) ([]*meshpb.LocalDown, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var msgs []*meshpb.LocalDown
	for _, e := range c.state {
		if e.version <= v {
			continue
		}
		m := e.current(time.Now())
		switch {
		case m == nil:
		case m.GetSettings() != nil:
			msgs = slices.Insert(msgs, 0, m)
		default:
			msgs = append(msgs, m)
		}
	}
	return msgs, c.next
}

// current returns the message as it is worth now: nil for a power share that has run out, and one with the time that is
// left otherwise. Sent as it was first given, an old share would be valid for its whole span again after each reconnect,
// and the sum of shares could pass the site's cap.
func (e held) current(now time.Time) *meshpb.LocalDown {
	if e.expires.IsZero() {
		return e.msg
	}
	left := e.expires.Sub(now).Milliseconds()
	if left <= 0 {
		return nil
	}
	p := proto.CloneOf(e.msg.GetPower())
	p.ValidMs = left
	return &meshpb.LocalDown{Msg: &meshpb.LocalDown_Power{Power: p}}
}
