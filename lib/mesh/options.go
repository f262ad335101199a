package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of this package. Test for them with errorx.IsOfType.
var (
	Errors = errorx.NewNamespace("mesh")

	// ErrConfig: the options can't be used.
	ErrConfig = Errors.NewType("config")
	// ErrBackoff: the peer failed lately and is not dialed again yet.
	ErrBackoff = Errors.NewType("backoff")
	// ErrDial: no session could be made.
	ErrDial = Errors.NewType("dial")
	// ErrHello: the stream was opened but the peer did not accept it.
	ErrHello = Errors.NewType("hello")
	// ErrWrongPeer: another instance answers on the address.
	ErrWrongPeer = Errors.NewType("wrong_peer")
	// ErrClosed: the node is closing.
	ErrClosed = Errors.NewType("closed")
)

// Defaults of Options.
const (
	DefaultKeepAlive    = time.Second
	DefaultWriteTimeout = 2 * time.Second
	DefaultDialTimeout  = 2 * time.Second
	DefaultBackoffMin   = 100 * time.Millisecond
	DefaultBackoffMax   = 5 * time.Second
	DefaultIdleTimeout  = 30 * time.Second
	DefaultMaxStreams   = 256
	DefaultMaxSessions  = 1024
	DefaultMaxMessage   = 4 << 20
)

// Identity names one life of an instance.
type Identity struct {
	Instance    string
	Incarnation uint64 // grows when the instance is replaced
}

// Options of a Node. Zero durations and bounds take the defaults.
type Options struct {
	Self      Identity
	TLS       *tls.Config // from LoadTLS
	Plaintext bool        // no TLS; must be asked for by name, because links then prove nothing about the peer

	KeepAlive    time.Duration // between pings on a session
	WriteTimeout time.Duration // bound on a ping's answer and on each write; a link silent for KeepAlive+WriteTimeout is cut
	DialTimeout  time.Duration // TCP and TLS handshake, and the Hello exchange
	BackoffMin   time.Duration
	BackoffMax   time.Duration
	IdleTimeout  time.Duration // a session without streams is closed after it
	MaxStreams   int           // accepted streams of one session
	MaxSessions  int           // accepted sessions
	MaxMessage   int           // bytes of one message

	// Dial opens the TCP connection; nil: net.Dialer.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (o Options) withDefaults() (Options, error) {
	if o.Self.Instance == "" {
		return o, ErrConfig.New("no instance name")
	}
	if o.TLS == nil && !o.Plaintext {
		return o, ErrConfig.New("links need TLS files, or the plain mode asked for by name")
	}
	if o.TLS != nil && o.Plaintext {
		return o, ErrConfig.New("both TLS files and the plain mode are set")
	}
	setDuration(&o.KeepAlive, DefaultKeepAlive)
	setDuration(&o.WriteTimeout, DefaultWriteTimeout)
	setDuration(&o.DialTimeout, DefaultDialTimeout)
	setDuration(&o.BackoffMin, DefaultBackoffMin)
	setDuration(&o.BackoffMax, DefaultBackoffMax)
	setDuration(&o.IdleTimeout, DefaultIdleTimeout)
	setInt(&o.MaxStreams, DefaultMaxStreams)
	setInt(&o.MaxSessions, DefaultMaxSessions)
	setInt(&o.MaxMessage, DefaultMaxMessage)
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return o, nil
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

func setInt(n *int, def int) {
	if *n <= 0 {
		*n = def
	}
}

// Refused reports whether err shows that the expected process is not on the address: nothing listens there, or
// another instance answered.
func Refused(err error) bool {
	for err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) || errorx.IsOfType(err, ErrWrongPeer) {
			return true
		}
		ex := errorx.Cast(err)
		if ex == nil {
			return false
		}
		err = ex.Cause()
	}
	return false
}
