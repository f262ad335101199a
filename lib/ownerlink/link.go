package ownerlink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

var (
	badDatagrams = metrics.NewCounter(`anvilwick_owner_bad_datagrams_total`)
	alone        = metrics.NewCounter(`anvilwick_owner_unanswered_total`)

	// Together they are the age of what a choice rests on: from a change until it is told, and the way of an ask and back,
	// of which its owner decides in the middle.
	reportDelay  = metrics.NewHistogram(`anvilwick_owner_report_delay_seconds`)
	answeredIn   = metrics.NewHistogram(`anvilwick_owner_answer_seconds{waited="no"}`)
	answeredLate = metrics.NewHistogram(`anvilwick_owner_answer_seconds{waited="yes"}`)
)

const (
	// tryTimeout is the wait for an answer to one datagram: some milliseconds on the way, and the rest for an instance whose
	// processor is busy.
	tryTimeout = 50 * time.Millisecond
	// tries is how often an owner is asked before the next one is: of links that lose a fortieth of their datagrams one ask
	// in ten thousand goes unanswered.
	tries = 3
	// waitAgain is the period at which an ask that waits is sent again, so that its owner knows that it is still wanted.
	waitAgain = 200 * time.Millisecond
	// stepEvery is the pause between two looks at the asks that wait here.
	stepEvery = 10 * time.Millisecond
	// reportGap keeps changes in quick succession to one report.
	reportGap = 15 * time.Millisecond
	// planWait is how long a plan of moves waits for other engines that leave with the first.
	planWait = 15 * time.Millisecond
	// stallTime is the lateness of a beat from which this instance takes itself to have stood still.
	stallTime = 400 * time.Millisecond
	// maxDatagram is the largest datagram in bytes. A longer report is cut by leaving runs out.
	maxDatagram = 16 << 10
	// leftTold bounds the targets that one beat names.
	leftTold = 64
)

// ErrNoOwner says that no owner answers.
var ErrNoOwner = errors.New("ownerlink: no owner answers")

// Config is what a Link works with.
type Config struct {
	Self        owner.Instance
	Incarnation uint64
	Fleet       *fleet.Fleet
	Coordinator *owner.Coordinator
	// Conn carries the datagrams; nil: a socket on Self.Addr.
	Conn PacketConn

	// Gather returns what this instance has on the engines of each shard, as shardOf tells them; the link adds what is its own.
	Gather func(shardOf func(engine string) *owner.Shard) map[string]owner.Report
	// MoveLink tells how a service's engines copy runs; ok is false when they don't.
	MoveLink func(service string) (link moveplan.Link, ok bool)
	// OnLeft is told of targets that another instance saw to leave, and reports whether that is news.
	OnLeft func(id string, born int64) bool
	// OnRestarted is told of targets that another instance saw to have started again.
	OnRestarted func(id string, born int64)
	// OnGranted is told of targets that owners have found for this instance, where it holds a part of the list.
	OnGranted func(fleet.Info)
	// HasPartialList reports whether this instance holds no more than a part of the list of targets.
	HasPartialList func() bool
	// Broadcast tells all other instances, which hand what it is given to TakeSpread.
	Broadcast func(datagram []byte)
	// OnBlames is told what peers say of contents that killed targets.
	OnBlames func([]*ownerpb.Blame)
	// OnSuspected is told when this instance begins to avoid a target by what all instances saw there; permille of its requests fail.
	OnSuspected func(target string, permille uint32)
	// OnBadDatagram is told once of each kind of datagram that could not be used.
	OnBadDatagram func(cause string, err error)
}

// Link sends and receives. Make it with New.
type Link struct {
	Config
	conn   PacketConn
	layout atomic.Pointer[owner.Layout]
	wake   chan struct{} // a report is due
	waits  chan struct{} // asks wait here
	laid   chan struct{} // a layout was put in force
	// changedAt is the first change that has not been told yet.
	changedAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	lastID   uint64
	calls    map[uint64]chan *ownerpb.Datagram
	addrs    map[string]netip.AddrPort
	seen     map[string]uint64 // newest grant, by owner
	bad      map[string]bool
	plans    map[string]*plan // under way, by shard
	outcomes map[string]*outcomes
	readings []owner.PrefillSample
	named    map[string]string // addresses of all instances, this one too, by name
	strong   []string          // those with half of the largest capacity or more
	plain    plainOutcomes
	limits   map[string]toldLimit // by target

	// Of the goroutine that beats:
	fills  map[string]toldFill // of the shards that it owns
	leftAt time.Time           // when it last told of targets that have left
}

// PacketConn sends and receives datagrams, as *net.UDPConn does.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

func listen(addr string) (PacketConn, error) {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", at)
}

// New listens on Config.Self.Addr.
func New(cfg Config) (*Link, error) {
	conn := cfg.Conn
	if conn == nil {
		var err error
		if conn, err = listen(cfg.Self.Addr); err != nil {
			return nil, err
		}
	}
	if cfg.Self.Addr != conn.LocalAddr().String() {
		cfg.Self.Addr = conn.LocalAddr().String() // the port was chosen by the system
	}
	l := &Link{
		Config: cfg, conn: conn, wake: make(chan struct{}, 1), waits: make(chan struct{}, 1), laid: make(chan struct{}, 1),
		calls: make(map[uint64]chan *ownerpb.Datagram), addrs: make(map[string]netip.AddrPort),
		seen: make(map[string]uint64), bad: make(map[string]bool), plans: make(map[string]*plan),
		outcomes: make(map[string]*outcomes), plain: newPlainOutcomes(), limits: make(map[string]toldLimit), fills: make(map[string]toldFill),
	}
	l.layout.Store(owner.NewPartition().Layout())
	return l, nil
}

// SetLayout puts a layout of shards in force.
func (l *Link) SetLayout(layout *owner.Layout) {
	if l.layout.Swap(layout) != layout {
		l.ScheduleReport()
		notify(l.laid)
	}
}

// notify leaves a note in a channel that holds one.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SetPeers replaces the instances that are listed.
func (l *Link) SetPeers(instances []owner.Instance) error {
	addrs := make(map[string]netip.AddrPort, len(instances))
	named := make(map[string]string, len(instances))
	var strong []string
	most := uint32(0)
	for _, in := range instances {
		most = max(most, in.Capacity)
	}
	var bad error
	for _, in := range instances {
		at, err := netip.ParseAddrPort(in.Addr)
		if err != nil {
			bad = fmt.Errorf("ownerlink: address of %s: %w", in.Name, err)
			continue
		}
		addrs[in.Addr] = at
		named[in.Name] = in.Addr
		if in.Capacity >= most/2 {
			strong = append(strong, in.Name)
		}
	}
	l.mu.Lock()
	l.addrs, l.named, l.strong = addrs, named, strong
	l.mu.Unlock()
	return bad
}

// ScheduleReport asks for a report to be sent soon.
func (l *Link) ScheduleReport() {
	now := time.Now()
	l.changedAt.CompareAndSwap(nil, &now)
	notify(l.wake)
}

// Run sends and receives until ctx is done.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	var work sync.WaitGroup
	for _, f := range []func(context.Context){l.receive, l.report, l.beat, l.step, l.judge} {
		work.Go(func() { f(ctx) })
	}
	work.Wait()
}

// Close ends a Link that was never run.
func (l *Link) Close() { _ = l.conn.Close() }

func (l *Link) receive(ctx context.Context) {
	b := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, _, err := l.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(reportGap)
			}
			continue
		}
		l.take(b[:n])
	}
}

// tellBad tells of a kind of bad datagram once: a sender that is wrong is wrong many times a second.
func (l *Link) tellBad(cause string, err error) {
	badDatagrams.Inc()
	l.mu.Lock()
	told := l.bad[cause]
	l.bad[cause] = true
	l.mu.Unlock()
	if !told && l.OnBadDatagram != nil {
		l.OnBadDatagram(cause, err)
	}
}

// send sends a datagram; a failure shows itself as a missing answer.
func (l *Link) send(addr string, d *ownerpb.Datagram) {
	at, ok := l.addr(addr)
	if !ok {
		return
	}
	b, err := proto.Marshal(d)
	if err != nil {
		l.tellBad("unencodable", err)
		return
	}
	l.sendBytes(at, kindOf(d), b)
}

func (l *Link) sendBytes(at netip.AddrPort, k kind, b []byte) {
	if _, err := l.conn.WriteToUDPAddrPort(b, at); err == nil {
		sent[k].add(len(b))
	}
}

func (l *Link) addr(addr string) (netip.AddrPort, bool) {
	l.mu.Lock()
	at, ok := l.addrs[addr]
	l.mu.Unlock()
	if ok {
		return at, true
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		l.tellBad("address", err)
		return at, false
	}
	return at, true
}

// able lists the instances with half of the largest capacity or more: others' reports do not slow them down.
func (l *Link) able() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.strong
}

func (l *Link) addrOf(instance string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named[instance]
}

// tellAll tells all other instances.
func (l *Link) tellAll(d *ownerpb.Datagram) {
	b, err := proto.Marshal(d)
	if err != nil {
		l.tellBad("unencodable", err)
		return
	}
	spread[kindOf(d)].add(len(b))
	l.Broadcast(b)
}

// ReceiveBroadcast takes in what another instance tells all.
func (l *Link) ReceiveBroadcast(b []byte) { l.take(b) }

// take takes in a datagram.
func (l *Link) take(b []byte) {
	var d ownerpb.Datagram
	if err := proto.Unmarshal(b, &d); err != nil {
		received[kindOther].add(len(b))
		l.tellBad("undecodable", err)
		return
	}
	received[kindOf(&d)].add(len(b))
	l.handle(&d)
}

// own is a datagram of this instance, without a body.
func (l *Link) own() *ownerpb.Datagram {
	return &ownerpb.Datagram{Instance: l.Self.Name, Incarnation: l.Incarnation, Addr: l.Self.Addr}
}
