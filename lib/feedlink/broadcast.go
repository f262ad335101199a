package feedlink

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Broadcasts are messages from one instance to all others. They travel along the subscriptions of the tables in both directions: each
// instance forwards a message that is new to it to its downstream instances and to its upstream, but not to where it came from. Each
// instance thus sends as many messages as it has neighbours in that tree, whoever the sender is.
const (
	// broadcastTTL is how long a message is forwarded and remembered to detect duplicates.
	broadcastTTL = 5 * time.Second
	// broadcastReplayAge is the age up to which messages are sent to a new neighbour, whose previous neighbour may not have sent them.
	broadcastReplayAge = 2 * time.Second
	// maxBroadcasts bounds the messages that an instance keeps, maxBatchBytes the bytes of one batch of them.
	maxBroadcasts = 1024
	maxBatchBytes = MaxBroadcast
	// MaxBroadcast bounds a message in bytes. Neighbours ignore larger ones.
	MaxBroadcast = 16 << 10
	// maxUpMessage bounds a message from a downstream instance, in bytes: a request, a batch of broadcasts, or of rows to write.
	maxUpMessage = 64 << 10
	// upstreamBatchInterval is the least time between two batches sent upstream.
	upstreamBatchInterval = 10 * time.Millisecond
)

var (
	broadcastsSent      = metrics.NewCounter(`anvilwick_feed_news_total{what="told"}`)
	broadcastsReceived  = metrics.NewCounter(`anvilwick_feed_news_total{what="heard"}`)
	broadcastsDuplicate = metrics.NewCounter(`anvilwick_feed_news_total{what="heard_again"}`)
	broadcastsDropped   = metrics.NewCounter(`anvilwick_feed_news_total{what="dropped"}`)
	broadcastBytesSent  = metrics.NewCounter(`anvilwick_feed_bytes_total{table="news"}`)
)

// broadcastKey identifies a broadcast.
type broadcastKey struct {
	origin              string
	incarnation, serial uint64
}

type broadcast struct {
	broadcastKey
	body       []byte
	sentAt     time.Time // when its origin sent it
	receivedAt time.Time // when this instance received it
	from       string    // neighbour that it was received from; empty: this instance is the origin
}

// broadcastLog keeps broadcasts while they are forwarded.
type broadcastLog struct {
	self        string
	incarnation uint64

	mu         sync.Mutex
	serial     uint64
	items      []broadcast
	firstIndex uint64 // index of items[0]
	seen       map[broadcastKey]bool
	wake       chan struct{} // closed and replaced when a broadcast is added
}

func newBroadcastLog(self string, incarnation uint64) *broadcastLog {
	return &broadcastLog{self: self, incarnation: incarnation, seen: make(map[broadcastKey]bool), wake: make(chan struct{})}
}

// addLocal adds a broadcast of this instance.
func (l *broadcastLog) addLocal(now time.Time, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serial++
	l.add(broadcast{broadcastKey: broadcastKey{l.self, l.incarnation, l.serial}, body: body, sentAt: now, receivedAt: now})
}

// addRemote adds a broadcast received from a neighbour, and reports whether it was new.
func (l *broadcastLog) addRemote(now time.Time, m *meshpb.FeedNews, from string) bool {
	key := broadcastKey{m.GetOrigin(), m.GetIncarnation(), m.GetSerial()}
	age := time.Duration(m.GetAgeMs()) * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[key] || key.origin == l.self || age > broadcastTTL || len(m.GetBody()) > maxBatchBytes {
		return false
	}
	l.add(broadcast{broadcastKey: key, body: m.GetBody(), sentAt: now.Add(-age), receivedAt: now, from: from})
	return true
}

func (l *broadcastLog) add(b broadcast) {
	l.items = append(l.items, b)
	l.seen[b.broadcastKey] = true
	for len(l.items) > maxBroadcasts || len(l.items) > 0 && b.receivedAt.Sub(l.items[0].receivedAt) > broadcastTTL {
		if len(l.items) > maxBroadcasts {
			broadcastsDropped.Inc()
		}
		delete(l.seen, l.items[0].broadcastKey)
		l.items = l.items[1:]
		l.firstIndex++
	}
	close(l.wake)
	l.wake = make(chan struct{})
}

// changed returns a channel that is closed when a broadcast is added.
func (l *broadcastLog) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wake
}

// broadcastReader tracks which broadcasts were sent to one neighbour.
type broadcastReader struct {
	log       *broadcastLog
	neighbour string
	pos       uint64 // index of the first broadcast not yet sent
}

// newReader returns a reader for a neighbour that starts with the recent broadcasts.
func (l *broadcastLog) newReader(neighbour string) *broadcastReader {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	n := 0
	for n < len(l.items) && now.Sub(l.items[n].receivedAt) > broadcastReplayAge {
		n++
	}
	return &broadcastReader{log: l, neighbour: neighbour, pos: l.firstIndex + uint64(n)}
}

// nextBatch returns the broadcasts that were not sent to the neighbour yet, as many as fit into one batch.
func (r *broadcastReader) nextBatch(now time.Time) []*meshpb.FeedNews {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.pos = max(r.pos, r.log.firstIndex)
	var out []*meshpb.FeedNews
	bytes := 0
	for ; r.pos < r.log.firstIndex+uint64(len(r.log.items)); r.pos++ {
		b := &r.log.items[r.pos-r.log.firstIndex]
		if b.from == r.neighbour && b.from != "" || b.origin == r.neighbour {
			continue
		}
		if bytes += len(b.body); bytes > maxBatchBytes && len(out) > 0 {
			break
		}
		out = append(out, &meshpb.FeedNews{
			Origin: b.origin, Incarnation: b.incarnation, Serial: b.serial, Body: b.body, AgeMs: uint32(now.Sub(b.sentAt).Milliseconds()),
		})
	}
	broadcastBytesSent.Add(bytes)
	return out
}

// Broadcast sends a message to all other instances.
func (t *Syncer) Broadcast(body []byte) {
	broadcastsSent.Inc()
	t.broadcasts.addLocal(time.Now(), body)
}

// receiveBroadcasts handles broadcasts received from a neighbour.
func (t *Syncer) receiveBroadcasts(list []*meshpb.FeedNews, from string) {
	now := time.Now()
	for _, m := range list {
		if !t.broadcasts.addRemote(now, m, from) {
			broadcastsDuplicate.Inc()
			continue
		}
		broadcastsReceived.Inc()
		if t.OnBroadcast != nil {
			t.OnBroadcast(m.Body)
		}
	}
}

// receiveFromDownstream receives the broadcasts and writes of a downstream instance until its stream ends.
func (t *Syncer) receiveFromDownstream(stream *mesh.Stream) {
	for {
		var up meshpb.FeedUp
		if err := stream.Read(&up); err != nil {
			return
		}
		t.receiveBroadcasts(up.News, stream.Peer().Instance)
		t.enqueueWrites(up.Writes)
	}
}

// sendUpstream forwards broadcasts and writes to the upstream until the returned function is called.
func (t *Syncer) sendUpstream(s *subscription) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	broadcasts := t.broadcasts.newReader(s.stream.Peer().Instance)
	work.Go(func() {
		for ctx.Err() == nil {
			changed := t.broadcasts.changed()
			if batch := broadcasts.nextBatch(time.Now()); len(batch) > 0 {
				if s.stream.Write(&meshpb.FeedUp{News: batch}) != nil {
					return
				}
				ctxtime.Sleep(ctx, upstreamBatchInterval)
				continue
			}
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	})
	work.Go(func() { t.forwardWrites(ctx, s.sendWrites) })
	return func() {
		cancel()
		work.Wait()
	}
}
