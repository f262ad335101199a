// Package locallink joins a control process to the entry beside it: one yamux session, one stream, length-delimited
// LocalDown messages to the entry and LocalUp messages back.
//
// Either side may die and come back at any time. The link carries state, never commands: after each connect the
// control process sends all that it holds, so that a message lost with a link is made good by the next link.
package locallink

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/meshpb"
)

const (
	maxMessage   = 8 << 20         // a settings tree fits with room to spare
	helloTimeout = 3 * time.Second // a peer that says nothing is cut off
	writeTimeout = 3 * time.Second // a frozen peer doesn't hold the writer for ever
	aliveEvery   = 2 * time.Second // yamux keep-alive; two missed end the session
)

// ErrWrongPeer is returned when the other side is of another instance, or speaks another kind of stream.
var ErrWrongPeer = errors.New("local link: peer is not this instance's")

// Identity is what each side says first.
type Identity struct {
	Instance    string
	Incarnation uint64
}

func (id Identity) hello() *meshpb.Hello {
	return &meshpb.Hello{Kind: meshpb.StreamKind_STREAM_LOCAL, Instance: id.Instance, Incarnation: id.Incarnation}
}

// check refuses a link between two instances: a wrong address in the flags would let one instance's control process
// steer another instance's entry, and both would look healthy.
func (id Identity) check(h *meshpb.Hello) error {
	if h.GetKind() != meshpb.StreamKind_STREAM_LOCAL || h.GetInstance() != id.Instance {
		return fmt.Errorf("%w: kind %v, instance %q", ErrWrongPeer, h.GetKind(), h.GetInstance())
	}
	return nil
}

// stream reads and writes whole messages on one yamux stream. One reader and one writer at a time.
type stream struct {
	net.Conn
	in *bufio.Reader
}

func newStream(c net.Conn) *stream { return &stream{Conn: c, in: bufio.NewReader(c)} }

func (s *stream) send(m proto.Message) error {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(s.Conn, m)
	return err
}

func (s *stream) receive(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(s.in, m)
}

// greet exchanges Hellos under helloTimeout.
func (s *stream) greet(id Identity) error {
	if err := s.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	if err := s.send(id.hello()); err != nil {
		return err
	}
	var h meshpb.Hello
	if err := s.receive(&h); err != nil {
		return err
	}
	if err := id.check(&h); err != nil {
		return err
	}
	return s.SetReadDeadline(time.Time{})
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 1
	c.KeepAliveInterval = aliveEvery
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// secure wraps conn in TLS; a nil config is the plain mode, which the caller must have been told to use.
func secure(conn net.Conn, cfg *tls.Config, wrap func(net.Conn, *tls.Config) *tls.Conn) net.Conn {
	if cfg == nil {
		return conn
	}
	return wrap(conn, cfg)
}
