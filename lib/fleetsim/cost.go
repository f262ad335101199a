package fleetsim

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/ownerpb"
)

// trafficMeter accounts the traffic of one instance.
type trafficMeter struct {
	mu    sync.Mutex
	total traffic
}

// traffic holds totals since the start.
type traffic struct {
	StreamOut, StreamIn int // bytes
	PacketOut, PacketIn int // bytes
	Packets             int // datagrams, both ways
	RemoteOut           int // bytes sent to other failure domains
	Calls, Rows         int // of the store: calls made, rows returned
	Kinds               map[string]int
}

// addRemote counts bytes sent to another failure domain.
func (c *trafficMeter) addRemote(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.RemoteOut += n + headerBytes
}

func (c *trafficMeter) addStream(n int, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out {
		c.total.StreamOut += n + headerBytes
	} else {
		c.total.StreamIn += n + headerBytes
	}
}

func (c *trafficMeter) addDatagram(b []byte, out bool) {
	kind := kindOf(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.Packets++
	if out {
		c.total.PacketOut += len(b) + headerBytes
	} else {
		c.total.PacketIn += len(b) + headerBytes
	}
	if c.total.Kinds == nil {
		c.total.Kinds = make(map[string]int)
	}
	c.total.Kinds[kind] += len(b) + headerBytes
}

func (c *trafficMeter) addCall(rows int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total.Calls++
	c.total.Rows += rows
}

// bytes returns all bytes sent and received.
func (f *traffic) bytes() int { return f.StreamOut + f.StreamIn + f.PacketOut + f.PacketIn }

// read returns the totals so far.
func (c *trafficMeter) read() traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.total
	out.Kinds = make(map[string]int, len(c.total.Kinds))
	for k, v := range c.total.Kinds {
		out.Kinds[k] = v
	}
	return out
}

// since returns the difference to an earlier reading.
func (f traffic) since(before traffic) traffic {
	out := traffic{
		StreamOut: f.StreamOut - before.StreamOut, StreamIn: f.StreamIn - before.StreamIn, PacketOut: f.PacketOut - before.PacketOut,
		PacketIn: f.PacketIn - before.PacketIn, Packets: f.Packets - before.Packets,
		RemoteOut: f.RemoteOut - before.RemoteOut, Calls: f.Calls - before.Calls,
		Rows: f.Rows - before.Rows, Kinds: make(map[string]int),
	}
	for k, v := range f.Kinds {
		out.Kinds[k] = v - before.Kinds[k]
	}
	return out
}

// kindOf returns the kind of a datagram, by the name of its body field.
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
