// Package peernews tells the other instances what this one has running, by datagrams that may be lost.
//
// Instances that each choose targets by their own sends alone all choose the same idle engine. Told of each other's,
// they spread. Nothing depends on the news for safety: an instance that hears nothing decides by its own sends.
package peernews

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/newspb"
)

const (
	// every is the period of news; a change is told sooner.
	every = 250 * time.Millisecond
	// minGap keeps changes in quick succession to one datagram.
	minGap = 15 * time.Millisecond
	// fanout bounds the peers told at a time, so that an instance's traffic does not grow with their number.
	fanout = 128
	// maxDatagram is the largest news in bytes; longer ones are cut to it by leaving runs out.
	maxDatagram = 8 << 10
	// life is how long news is believed.
	life = 1500 * time.Millisecond
)

// Peer is where an instance is told.
type Peer struct {
	Instance string
	Addr     string // for news, by datagram
	Link     string // for streams between instances
}

// Exchange sends and receives news.
type Exchange struct {
	self   string
	conn   net.PacketConn
	gather func() *newspb.News
	heard  func(*newspb.News)

	wake chan struct{}

	mu    sync.Mutex
	peers []*net.UDPAddr
	last  map[string]*newsState
	seq   uint64
	fails uint64
}

type newsState struct {
	incarnation, seq uint64
	news             *newspb.News
	at               time.Time
}

// New listens on addr. gather makes this instance's news; heard is shown each newer news of a peer.
func New(self, addr string, gather func() *newspb.News, heard func(*newspb.News)) (*Exchange, error) {
	conn, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return nil, err
	}
	return &Exchange{
		self: self, conn: conn, gather: gather, heard: heard,
		wake: make(chan struct{}, 1), last: make(map[string]*newsState),
	}, nil
}

// SetPeers replaces the peers that are told.
func (x *Exchange) SetPeers(peers []Peer) error {
	addrs := make([]*net.UDPAddr, 0, len(peers))
	var bad error
	for _, p := range peers {
		if p.Instance == x.self {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", p.Addr)
		if err != nil {
			bad = err
			continue
		}
		addrs = append(addrs, a)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = addrs
	return bad
}

// Changed asks for news to be sent soon.
func (x *Exchange) Changed() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	go x.receive(ctx)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-x.wake:
			time.Sleep(minGap)
		}
		x.send()
	}
}

func (x *Exchange) send() {
	x.mu.Lock()
	x.seq++
	seq := x.seq
	peers := x.peers
	x.mu.Unlock()
	if len(peers) == 0 {
		return
	}
	n := x.gather()
	n.Seq = seq
	x.sendTo(encode(n), some(peers))
}

// Add tells peers at once of runs and held memory that have come since the last news. It is a small datagram: a whole
// one takes a slow link some tens of milliseconds to all peers, in which they choose the same engine.
func (x *Exchange) Add(n *newspb.News) {
	x.mu.Lock()
	n.Seq = x.seq
	peers := x.peers
	x.mu.Unlock()
	n.Addition = true
	x.sendTo(encode(n), some(peers))
}

// some draws as many peers as are told at a time.
func some(peers []*net.UDPAddr) []*net.UDPAddr {
	if len(peers) <= fanout {
		return peers
	}
	out := make([]*net.UDPAddr, fanout)
	for i, j := range rand.Perm(len(peers))[:fanout] {
		out[i] = peers[j]
	}
	return out
}

func (x *Exchange) sendTo(b []byte, peers []*net.UDPAddr) {
	for _, p := range peers {
		if _, err := x.conn.WriteTo(b, p); err != nil {
			x.mu.Lock()
			x.fails++
			x.mu.Unlock()
		}
	}
}

// Failures returns how many datagrams could not be sent.
func (x *Exchange) Failures() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fails
}

func encode(n *newspb.News) []byte {
	for {
		// Marshal fails only on invalid text, which ids and names of the platform are not.
		b, err := proto.Marshal(n)
		if err != nil || len(b) <= maxDatagram || len(n.Runs) == 0 {
			return b
		}
		n.Runs = n.Runs[:len(n.Runs)/2]
	}
}

func (x *Exchange) receive(ctx context.Context) {
	b := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, _, err := x.conn.ReadFrom(b)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(minGap)
			}
			continue
		}
		var news newspb.News
		if proto.Unmarshal(b[:n], &news) != nil {
			continue
		}
		if n := x.take(&news, time.Now()); n != nil {
			x.heard(n)
		}
	}
}

// take returns what is now believed of the instance that sent a datagram; nil if the datagram changes nothing.
func (x *Exchange) take(n *newspb.News, now time.Time) *newspb.News {
	if n.Addition {
		return x.add(n, now)
	}
	if !x.accept(n, now) {
		return nil
	}
	return n
}

// add joins an addition to the news that it follows. One that is overtaken by a newer whole news is contained in that.
func (x *Exchange) add(n *newspb.News, now time.Time) *newspb.News {
	x.mu.Lock()
	defer x.mu.Unlock()
	old := x.last[n.Instance]
	if old == nil || now.Sub(old.at) > life || n.Incarnation != old.incarnation || n.Seq < old.seq {
		return nil
	}
	whole := proto.Clone(old.news).(*newspb.News)
	whole.Runs = append(whole.Runs, n.Runs...)
	whole.Held = append(whole.Held, n.Held...)
	old.news = whole
	return whole
}

// accept reports whether news is newer than what was heard of its instance.
func (x *Exchange) accept(n *newspb.News, now time.Time) bool {
	if n.Instance == x.self || n.Instance == "" {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	old := x.last[n.Instance]
	// An incarnation is a time of day, which may have been set back before a restart: news that is no longer believed
	// holds up none.
	if old != nil && now.Sub(old.at) <= life && (n.Incarnation < old.incarnation || n.Incarnation == old.incarnation && n.Seq <= old.seq) {
		return false
	}
	x.last[n.Instance] = &newsState{incarnation: n.Incarnation, seq: n.Seq, news: n, at: now}
	return true
}

// Latest returns what is believed of peers now.
func (x *Exchange) Latest(now time.Time) []*newspb.News {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []*newspb.News
	for _, s := range x.last {
		if now.Sub(s.at) <= life {
			out = append(out, s.news)
		}
	}
	return out
}
