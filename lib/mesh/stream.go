package mesh

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// Stream is a bidirectional message stream with a peer. Read is for one goroutine; Write is safe for concurrent use.
type Stream struct {
	conn         net.Conn
	in           *idleReader
	r            *bufio.Reader
	maxMessage   int
	writeTimeout time.Duration
	peer         Identity
	kind         meshpb.StreamKind
	writeMu      sync.Mutex
	closed       atomic.Bool
	session      *session
}

func newStream(conn net.Conn, o *Options, on *session) *Stream {
	in := &idleReader{conn: conn}
	return &Stream{
		conn:         conn,
		in:           in,
		r:            bufio.NewReaderSize(in, readBuffer),
		maxMessage:   o.MaxMessage,
		writeTimeout: o.WriteTimeout,
		session:      on,
	}
}

const (
	readBuffer = 1 << 10
	// fragmentSize is the most bytes of a message that are written at once. A link delivers nothing of a frame before all of it has
	// arrived, so that the reader of a large frame could not tell a slow link from a dead one; other streams of the link would be
	// blocked by it, too.
	fragmentSize = 16 << 10
	// maxIdleBuffer bounds what a stream's receive buffer may have held before it is released. yamux keeps it, as large as it has ever been, for as long as
	// the stream is open: with hundreds of streams that is more than a process has.
	maxIdleBuffer = 4 << 10
)

// idleReader bounds the time without data before each piece of a message.
type idleReader struct {
	conn net.Conn
	idle time.Duration // 0: no bound
	read int           // bytes since the receive buffer was released
}

func (r *idleReader) Read(p []byte) (int, error) {
	if r.idle > 0 {
		if err := r.conn.SetReadDeadline(time.Now().Add(r.idle)); err != nil {
			return 0, err
		}
	}
	n, err := r.conn.Read(p)
	r.read += n
	return n, err
}

// release frees the receive buffer if it is empty and may have grown.
func (r *idleReader) release() {
	if r.read <= maxIdleBuffer {
		return
	}
	if s, ok := r.conn.(interface{ Shrink() }); ok {
		s.Shrink()
	}
	r.read = 0
}

// Peer returns the identity of the other end.
func (s *Stream) Peer() Identity { return s.peer }

// Kind returns the kind of the stream's messages, as set by the Hello.
func (s *Stream) Kind() meshpb.StreamKind { return s.kind }

// Write sends one message. If the peer reads nothing for Options.WriteTimeout, the stream breaks: the memory used for a slow reader stays
// bounded by the stream's window.
func (s *Stream) Write(m proto.Message) error {
	var frame bytes.Buffer // length and body in one frame of the session
	if _, err := protodelim.MarshalTo(&frame, m); err != nil {
		return err
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for frame.Len() > 0 {
		if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
			return err
		}
		if _, err := s.conn.Write(frame.Next(fragmentSize)); err != nil {
			return err
		}
	}
	return nil
}

// ReadWithIdleTimeout is like Read, but fails when nothing arrives for idle. A message may take any time as long as data keeps arriving.
//
// A time-out for the whole message does not work: when hundreds of instances started at once and got a large table from a few over links
// of some Mbit/s, each exceeded its time-out, started anew at another, and none had the table half a minute later.
func (s *Stream) ReadWithIdleTimeout(idle time.Duration, m proto.Message) error {
	s.in.idle = idle
	defer func() { s.in.idle = 0 }()
	return s.Read(m)
}

// Read waits for one message. Its size is checked against the limit before it is read.
func (s *Stream) Read(m proto.Message) error {
	err := s.read(s.maxMessage, m)
	s.in.release()
	return err
}

// read reads a message of at most limit bytes. A peer that sends a larger one does not follow the protocol: its session ends, since the library would keep
// what else it sends on all its streams.
func (s *Stream) read(limit int, m proto.Message) error {
	err := readMessage(s.r, limit, m)
	if errors.Is(err, ErrTooLarge) {
		tooLarge.Inc()
		s.session.conn.abort()
	}
	return err
}

// LimitMessages bounds the messages that are read from now on, in bytes. Streams that peers open, and that carry small messages only, should have a limit of
// their own: there may be hundreds.
func (s *Stream) LimitMessages(bytes int) { s.maxMessage = min(s.maxMessage, bytes) }

// SetReadDeadline sets the deadline of future Reads; the zero time means none.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close ends the stream. It may be called more than once.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	err := s.conn.Close()
	s.session.streamDone()
	return err
}

// exchangeHello exchanges identities. The dialer sends first; the other end answers only if it accepts the stream, so a stream
// without an answered Hello was never processed and may be opened again elsewhere.
func (s *Stream) exchangeHello(self Identity, kind meshpb.StreamKind) error {
	if err := s.Write(newHello(self, kind)); err != nil {
		return err
	}
	return s.readHello()
}

func (s *Stream) readHello() error {
	var h meshpb.Hello
	if err := s.read(min(maxHello, s.maxMessage), &h); err != nil {
		return err
	}
	s.peer = Identity{Instance: h.GetInstance(), Incarnation: h.GetIncarnation()}
	s.kind = h.GetKind()
	return nil
}

func newHello(self Identity, kind meshpb.StreamKind) *meshpb.Hello {
	return &meshpb.Hello{Kind: kind, Instance: self.Instance, Incarnation: self.Incarnation}
}
