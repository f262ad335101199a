package mesh

import (
	"bufio"
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// Stream is one conversation with a peer. Read is for one goroutine; Write may be called by many.
type Stream struct {
	conn    net.Conn
	in      *pieceReader
	r       *bufio.Reader
	max     int
	timeout time.Duration
	peer    Identity
	kind    meshpb.StreamKind
	wmu     sync.Mutex
	closed  atomic.Bool
	onClose func()
}

func newStream(conn net.Conn, o *Options, onClose func()) *Stream {
	in := &pieceReader{conn: conn}
	return &Stream{
		conn:    conn,
		in:      in,
		r:       bufio.NewReaderSize(in, readBuffer),
		max:     o.MaxMessage,
		timeout: o.WriteTimeout,
		onClose: onClose,
	}
}

const (
	readBuffer = 1 << 10
	// piece is the most of a message that is written at once, in bytes. A link shows nothing of a frame before all of it has
	// arrived, so that the reader of a large one could not tell a slow link from a dead one; other streams of the link
	// would wait for it, too.
	piece = 16 << 10
)

// pieceReader bounds the silence before each piece of a message.
type pieceReader struct {
	conn net.Conn
	idle time.Duration // 0: no bound
}

func (r *pieceReader) Read(p []byte) (int, error) {
	if r.idle > 0 {
		if err := r.conn.SetReadDeadline(time.Now().Add(r.idle)); err != nil {
			return 0, err
		}
	}
	return r.conn.Read(p)
}

// Peer is who answered, or who opened the stream.
func (s *Stream) Peer() Identity { return s.peer }

// Kind is fixed by the Hello.
func (s *Stream) Kind() meshpb.StreamKind { return s.kind }

// Write sends one message. A peer that reads nothing for Options.WriteTimeout breaks the stream: memory held for a
// slow reader stays bounded by the stream's window.
func (s *Stream) Write(m proto.Message) error {
	var frame bytes.Buffer // length and body in one frame of the link
	if _, err := protodelim.MarshalTo(&frame, m); err != nil {
		return err
	}
	s.wmu.Lock()
	defer s.wmu.Unlock()
	for frame.Len() > 0 {
		if err := s.conn.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
			return err
		}
		if _, err := s.conn.Write(frame.Next(piece)); err != nil {
			return err
		}
	}
	return nil
}

// ReadWithIdleTimeout is Read that fails when nothing comes for idle. A message may take any time as long as it comes.
//
// Failure: hundreds of instances that started at once had a large table from a few over links of some Mbit/s. Each took longer
// than its time-out for the whole of it, began anew at another, and none had it half a minute later.
func (s *Stream) ReadWithIdleTimeout(idle time.Duration, m proto.Message) error {
	s.in.idle = idle
	defer func() { s.in.idle = 0 }()
	return s.Read(m)
}

// Read waits for one message. The bound on its size is checked before any of it is stored.
func (s *Stream) Read(m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: int64(s.max)}
	return opts.UnmarshalFrom(s.r, m)
}

// SetReadDeadline bounds the next Reads; the zero time means no bound.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close ends the stream. It may be called more than once.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	err := s.conn.Close()
	if s.onClose != nil {
		s.onClose()
	}
	return err
}

// hello exchanges names. The dialer speaks first; the one that answers speaks only when it takes the stream, so a
// stream without an answered Hello was never acted on and may be opened again elsewhere.
func (s *Stream) hello(self Identity, kind meshpb.StreamKind) error {
	if err := s.Write(helloOf(self, kind)); err != nil {
		return err
	}
	return s.readHello()
}

func (s *Stream) readHello() error {
	var h meshpb.Hello
	if err := s.Read(&h); err != nil {
		return err
	}
	s.peer = Identity{Instance: h.GetInstance(), Incarnation: h.GetIncarnation()}
	s.kind = h.GetKind()
	return nil
}

func helloOf(self Identity, kind meshpb.StreamKind) *meshpb.Hello {
	return &meshpb.Hello{Kind: kind, Instance: self.Instance, Incarnation: self.Incarnation}
}
