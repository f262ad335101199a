package fleetsim

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/ownerpb"
)

// cost counts what one instance sends and receives.
type cost struct {
	mu  sync.Mutex
	now figures
}

// figures are sums since a start.
type figures struct {
	StreamOut, StreamIn int // bytes
	PacketOut, PacketIn int // bytes
	Packets             int // datagrams, both ways
	Far                 int // bytes sent to other failure domains
	Calls, Rows         int // of the store
	Kinds               map[string]int
}

// far counts bytes that are sent to another failure domain.
func (c *cost) far(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Far += n + headers
}

func (c *cost) stream(n int, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.now.StreamOut += n + headers
	} else {
		c.now.StreamIn += n + headers
	}
}

func (c *cost) datagram(b []byte, out bool) {
	kind := kindOf(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Packets++
	if out {
		c.now.PacketOut += len(b) + headers
	} else {
		c.now.PacketIn += len(b) + headers
	}
	if c.now.Kinds == nil {
		c.now.Kinds = make(map[string]int)
	}
	c.now.Kinds[kind] += len(b) + headers
}

func (c *cost) call(rows int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now.Calls++
	c.now.Rows += rows
}

// bytes is all that is sent and received.
func (f *figures) bytes() int { return f.StreamOut + f.StreamIn + f.PacketOut + f.PacketIn }

// read returns the figures so far.
func (c *cost) read() figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.now
	out.Kinds = make(map[string]int, len(c.now.Kinds))
	for k, v := range c.now.Kinds {
		out.Kinds[k] = v
	}
	return out
}

// less returns the figures since an earlier reading.
func (f figures) less(before figures) figures {
	out := figures{
		StreamOut: f.StreamOut - before.StreamOut, StreamIn: f.StreamIn - before.StreamIn, PacketOut: f.PacketOut - before.PacketOut,
		PacketIn: f.PacketIn - before.PacketIn, Packets: f.Packets - before.Packets, Far: f.Far - before.Far, Calls: f.Calls - before.Calls,
		Rows: f.Rows - before.Rows, Kinds: make(map[string]int),
	}
	for k, v := range f.Kinds {
		out.Kinds[k] = v - before.Kinds[k]
	}
	return out
}

// kindOf names what a datagram is about, by the field that its body is in.
func kindOf(b []byte) string {
	var d ownerpb.Datagram
	if proto.Unmarshal(b, &d) != nil || d.Body == nil {
		return "other"
	}
	m := d.ProtoReflect()
	if f := m.WhichOneof(m.Descriptor().Oneofs().ByName("body")); f != nil {
		return string(f.Name())
	}
	return "other"
}
