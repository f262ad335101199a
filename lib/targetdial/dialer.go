package targetdial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// directTimeout bounds a connection attempt over the own link. Targets are milliseconds away; an unreachable one never answers.
	directTimeout = 250 * time.Millisecond
	// tunnelDelay is the time without an answer over the own link after which a peer is tried as well.
	tunnelDelay = 100 * time.Millisecond
)

// ErrLinkLost reports that no connection was tried over the own link, since that is lost, and that no peer could help.
var ErrLinkLost = errors.New("targetdial: own link lost")

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, addr string) (net.Conn, error)

// Dialer opens connections to targets. It is safe for concurrent use.
type Dialer struct {
	Paths  *Paths
	Direct DialFunc // over the own link
	Tunnel DialFunc // by way of a peer
	// KeepIdle takes a connection that succeeded when it was no longer needed.
	KeepIdle func(addr string, nc net.Conn)
	// OnLost is called when a link, or all of them, is newly lost, and OnRegained when a lost one works again.
	OnLost     func(addr string, all bool, err error)
	OnRegained func(addr string)

	probes probes
}

// dialed is the outcome of one attempt.
type dialed struct {
	conn net.Conn
	err  error
}

// Dial opens a connection to a target.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	now := time.Now()
	if !d.Paths.Lost(now, addr) {
		return d.race(ctx, addr, tunnelDelay)
	}
	if d.Paths.TakeProbe(now, addr) {
		return d.race(ctx, addr, 0)
	}
	conn, err := d.Tunnel(ctx, addr)
	if err != nil {
		return nil, errors.Join(ErrLinkLost, err)
	}
	return conn, nil
}

// race tries the own link, and a peer after a delay or when the own link has failed. The first to succeed is used.
func (d *Dialer) race(ctx context.Context, addr string, delay time.Duration) (net.Conn, error) {
	r := newRace(d, addr)
	// However it ends, the attempts under way go on without the call, since their outcomes show whether the link is lost.
	defer func() { go r.settle() }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for r.direct != nil || r.tunnel != nil {
		select {
		case out := <-r.direct:
			r.direct, r.directErr = nil, out.err
			if out.err == nil {
				return out.conn, nil
			}
			r.startTunnel(ctx)
		case <-timer.C:
			r.startTunnel(ctx)
		case out := <-r.tunnel:
			r.tunnel, r.reached = nil, out.err == nil
			if out.err == nil {
				return out.conn, nil
			}
			r.tunnelErr = out.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errors.Join(r.directErr, r.tunnelErr)
}

// race is an attempt over the own link to a target and one by way of a peer.
type race struct {
	d             *Dialer
	addr          string
	started       time.Time
	direct        chan dialed // nil: it has ended
	tunnel        chan dialed // nil: it was not started or has ended
	tunnelStarted bool
	reached       bool // a peer has connected
	directErr     error
	tunnelErr     error
}

func newRace(d *Dialer, addr string) *race {
	direct := make(chan dialed, 1)
	go func() { direct <- d.dialDirect(addr) }()
	return &race{d: d, addr: addr, started: time.Now(), direct: direct}
}

func (r *race) startTunnel(ctx context.Context) {
	if r.tunnelStarted {
		return
	}
	tunnel := make(chan dialed, 1)
	r.tunnel, r.tunnelStarted = tunnel, true
	go func() {
		conn, err := r.d.Tunnel(ctx, r.addr)
		tunnel <- dialed{conn, err}
	}()
}

// settle waits for the attempts under way and records whether the own link is lost.
func (r *race) settle() {
	if r.tunnel != nil {
		if out := <-r.tunnel; out.err == nil {
			r.reached = true
			_ = out.conn.Close()
		}
	}
	if r.direct != nil {
		out := <-r.direct
		r.directErr = out.err
		r.d.keep(r.addr, out)
	}
	if r.reached && r.directErr != nil {
		r.d.recordLost(r.addr, r.started, r.directErr)
	}
}

func (d *Dialer) keep(addr string, r dialed) {
	if r.err == nil {
		d.KeepIdle(addr, r.conn)
	}
}

func (d *Dialer) recordLost(addr string, started time.Time, err error) {
	lost, all := d.Paths.Failed(time.Now(), started, addr, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	if d.OnLost != nil && (lost || all) {
		d.OnLost(addr, all, err)
	}
}

func (d *Dialer) dialDirect(addr string) dialed {
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	conn, err := d.Direct(ctx, addr)
	if err != nil {
		return dialed{err: err}
	}
	if d.Paths.Reached(time.Now(), addr) && d.OnRegained != nil {
		d.OnRegained(addr)
	}
	return dialed{conn: &directConn{Conn: conn, paths: d.Paths}}
}

// DialDirect opens a connection over the own link only.
func (d *Dialer) DialDirect(ctx context.Context, addr string) (net.Conn, error) {
	started := make(chan dialed, 1)
	go func() { started <- d.dialDirect(addr) }()
	select {
	case r := <-started:
		return r.conn, r.err
	case <-ctx.Done():
		go func() { d.keep(addr, <-started) }()
		return nil, ctx.Err()
	}
}

// DialByPeer opens a connection by way of a peer.
func (d *Dialer) DialByPeer(ctx context.Context, addr string) (net.Conn, error) {
	return d.Tunnel(ctx, addr)
}

// Lost reports whether the own link to a target is lost.
func (d *Dialer) Lost(addr string) bool { return d.Paths.Lost(time.Now(), addr) }

// ContactSince reports whether anything has arrived from a target over an own link since a time.
func (d *Dialer) ContactSince(at time.Time) bool { return d.Paths.ContactSince(at) }

// Silent reports whether open connections over the own link to a target carry nothing any more.
func (d *Dialer) Silent(addr string) bool { return d.Paths.Silent(time.Now(), addr) }

// Usable reports whether an idle connection may be used: one over the own link unless that is silent, one by way of a peer only
// while the own link is lost.
func (d *Dialer) Usable(addr string, nc net.Conn) bool {
	if IsDirect(nc) {
		return !d.Silent(addr)
	}
	return d.Lost(addr)
}

// IsDirect reports whether a connection that a Dialer has opened uses the own link.
func IsDirect(nc net.Conn) bool {
	_, ok := nc.(*directConn)
	return ok
}

// directConn is a connection over the own link.
type directConn struct {
	net.Conn
	paths *Paths
}

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.paths.Contact(time.Now())
	}
	return n, err
}

// SetLinger sets how Close treats unsent data, as net.TCPConn.SetLinger.
func (c *directConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn, by which idle connections are checked.
func (c *directConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
