package ownerlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
	"anvilwick.example/anvilwick/lib/rendezvous"
	"anvilwick.example/anvilwick/lib/resume"
)

// StreamRecords holds records of streams for peers.
type StreamRecords interface {
	// Receive holds records of a peer, or with store writes them to the store.
	Receive(entries []resume.Entry, store bool)
	// Answer answers a peer's query. It may take as long as a read of the store.
	Answer(ctx context.Context, q resume.Query) resume.Found
}

const (
	// streamResend is the period at which a record or a query is retransmitted: a first event waits for the record.
	streamResend = 20 * time.Millisecond
	// storeResend is that period for what the receiver may pass on to the store.
	storeResend = 70 * time.Millisecond
	// answerStoreTimeout bounds the work for one query.
	answerStoreTimeout = time.Second
	// maxStoreQueries bounds the queries that wait for the store at the same time; further ones are answered as unknown.
	maxStoreQueries = 256
)

// SendRecords implements resume.Transport.
func (l *Link) SendRecords(ctx context.Context, to owner.Instance, entries []resume.Entry, store bool) bool {
	c := l.newCall(nil)
	defer c.close()
	msg := &ownerpb.StreamRecords{Id: c.id, Store: store}
	now := time.Now()
	for _, e := range entries {
		msg.Records = append(msg.Records, &ownerpb.StreamRecord{Key: e.Key, Software: e.Software, TtlMs: ms(e.Expires.Sub(now)), Stored: e.Stored})
	}
	if l.knownToPeers() {
		msg.Sender = nameHash(l.Self.Name)
		c.body = new(ownerpb.Datagram)
	}
	c.body.Body = &ownerpb.Datagram_StreamRecords{StreamRecords: msg}
	return c.repeat(ctx, to, resendPeriod(store)) != nil
}

// FindRecord implements resume.Transport.
func (l *Link) FindRecord(ctx context.Context, to owner.Instance, q resume.Query) (f resume.Found, ok bool) {
	c := l.newCall(nil)
	defer c.close()
	c.body.Body = &ownerpb.Datagram_StreamQuery{StreamQuery: &ownerpb.StreamQuery{Id: c.id, Key: q.Key, Service: q.Service, Store: q.Store}}
	d := c.repeat(ctx, to, resendPeriod(q.Store))
	if d == nil {
		return resume.Found{}, false
	}
	return resume.Found{Software: d.GetStreamFound().GetSoftware(), Settled: d.GetStreamFound().GetSettled()}, true
}

// listedAfter is how long after its start an instance is on the lists of all others.
const listedAfter = 10 * time.Second

// knownToPeers reports whether peers know this instance by the hash of its name, which takes a third of the bytes of a record.
func (l *Link) knownToPeers() bool { return time.Since(l.startedAt) > listedAfter }

// nameHash returns a hash of an instance's name that is never 0.
func nameHash(name string) uint32 { return max(1, uint32(rendezvous.Hash(name))) }

// nameSender fills in the sender of a datagram that holds only the hash of its name. It reports whether that is known.
func (l *Link) nameSender(d *ownerpb.Datagram) bool {
	sender := max(d.GetStreamRecords().GetSender(), d.GetStreamRecordsAck().GetSender())
	l.mu.Lock()
	defer l.mu.Unlock()
	d.Instance = l.nameByHash[sender]
	d.Addr = l.addrByName[d.Instance]
	return d.Instance != ""
}

func resendPeriod(store bool) time.Duration {
	if store {
		return storeResend
	}
	return streamResend
}

// repeat sends the call to an instance, again and again, until it answers; nil: ctx was done before.
func (c *call) repeat(ctx context.Context, to owner.Instance, pause time.Duration) *ownerpb.Datagram {
	t := time.NewTicker(pause)
	defer t.Stop()
	for {
		c.sendTo(to)
		select {
		case <-ctx.Done():
			return nil
		case d := <-c.replies:
			return d
		case <-t.C:
		}
	}
}

func (l *Link) handleStreamRecords(d *ownerpb.Datagram, m *ownerpb.StreamRecords) {
	if l.Streams == nil {
		return
	}
	now := time.Now()
	entries := make([]resume.Entry, len(m.Records))
	for i, r := range m.Records {
		entries[i] = resume.Entry{Key: r.Key, Software: r.Software, Expires: now.Add(duration(r.TtlMs)), Stored: r.Stored}
	}
	l.Streams.Receive(entries, m.Store)
	out := l.newDatagram()
	ack := &ownerpb.StreamRecordsAck{Id: m.Id}
	if l.knownToPeers() {
		ack.Sender = nameHash(l.Self.Name)
		out = new(ownerpb.Datagram)
	}
	out.Body = &ownerpb.Datagram_StreamRecordsAck{StreamRecordsAck: ack}
	l.reply(d.Instance, d.Addr, m.Id, out)
}

func (l *Link) handleStreamQuery(d *ownerpb.Datagram, m *ownerpb.StreamQuery) {
	if l.Streams == nil {
		return
	}
	q := resume.Query{Key: m.Key, Service: m.Service, Store: m.Store}
	if !q.Store {
		l.replyFound(d, m.Id, l.Streams.Answer(context.Background(), q))
		return
	}
	if l.storeQueries.Add(1) > maxStoreQueries {
		l.storeQueries.Add(-1)
		l.replyFound(d, m.Id, resume.Found{})
		return
	}
	go func() {
		defer l.storeQueries.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), answerStoreTimeout)
		defer cancel()
		l.replyFound(d, m.Id, l.Streams.Answer(ctx, q))
	}()
}

func (l *Link) replyFound(d *ownerpb.Datagram, id uint64, f resume.Found) {
	out := l.newDatagram()
	out.Body = &ownerpb.Datagram_StreamFound{StreamFound: &ownerpb.StreamFound{Id: id, Software: f.Software, Settled: f.Settled}}
	l.reply(d.Instance, d.Addr, id, out)
}
