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

// Errors of this package. Check for them with errorx.IsOfType.
var (
	Errors = errorx.NewNamespace("mesh")

	// ErrConfig: the options are invalid.
	ErrConfig = Errors.NewType("config")
	// ErrBackoff: the peer failed recently and is not dialed again yet.
	ErrBackoff = Errors.NewType("backoff")
	// ErrDial: no session could be established.
	ErrDial = Errors.NewType("dial")
	// ErrHello: the stream was opened but the peer did not accept it.
	ErrHello = Errors.NewType("hello")
	// ErrWrongPeer: another instance answers at the address.
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

// Identity identifies one incarnation of an instance.
type Identity struct {
	Instance    string
	Incarnation uint64 // grows when the instance is replaced
}

// Options configure a Node. Zero durations and limits take the defaults.
type Options struct {
	Self      Identity
	TLS       *tls.Config // from LoadTLS
	Plaintext bool        // no TLS; must be set explicitly, because links then prove nothing about the peer

	KeepAlive    time.Duration // interval of pings on a session
	WriteTimeout time.Duration // limit for a ping's answer and for each write; a link without answer for KeepAlive+WriteTimeout is cut
	DialTimeout  time.Duration // for the TCP and TLS handshakes, and for the Hello exchange
	BackoffMin   time.Duration
	BackoffMax   time.Duration
	IdleTimeout  time.Duration // after which a session without streams is closed
	MaxStreams   int           // accepted streams per session
	MaxSessions  int           // accepted sessions
	MaxMessage   int           // bytes per message

	// Dial opens the TCP connection; nil: use a net.Dialer.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (o Options) withDefaults() (Options, error) {
	if o.Self.Instance == "" {
		return o, ErrConfig.New("instance name is empty")
	}
	if o.TLS == nil && !o.Plaintext {
		return o, ErrConfig.New("neither TLS files nor plaintext mode set")
	}
	if o.TLS != nil && o.Plaintext {
		return o, ErrConfig.New("both TLS files and plaintext mode set")
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

// Refused reports whether err shows that the expected process is not at the address: nothing listens there, or another instance
// answered.
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
