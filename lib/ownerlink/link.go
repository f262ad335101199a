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

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/listen"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

var (
	badDatagrams = metrics.NewCounter(`anvilwick_owner_bad_datagrams_total`)
	unanswered   = metrics.NewCounter(`anvilwick_owner_unanswered_total`)

	// Together they are the age of the data that a choice is based on: from a change until it is reported, and the round trip of
	// a request, which its owner decides half-way.
	reportDelay      = metrics.NewHistogram(`anvilwick_owner_report_delay_seconds`)
	answerTime       = metrics.NewHistogram(`anvilwick_owner_answer_seconds{waited="no"}`)
	waitedAnswerTime = metrics.NewHistogram(`anvilwick_owner_answer_seconds{waited="yes"}`)
)

const (
	// answerTimeout is the wait for the answer to one datagram: some milliseconds of transit, and the rest for an instance whose
	// processor is under load.
	answerTimeout = 50 * time.Millisecond
	// maxTries is how often an owner is queried before the next one is: on links that lose a fortieth of their datagrams, one request
	// in ten thousand goes unanswered.
	maxTries = 3
	// waitingResend is the period at which a waiting request is retransmitted, so that its owner knows that it is still wanted.
	waitingResend = 200 * time.Millisecond
	// decideInterval is the period at which the waiting requests are decided.
	decideInterval = 10 * time.Millisecond
	// reportDelayMin combines changes in quick succession into one report.
	reportDelayMin = 15 * time.Millisecond
	// planDelay is how long the planning of moves waits for other engines that leave with the first.
	planDelay = 15 * time.Millisecond
	// stallThreshold is the lateness of a heartbeat from which this instance assumes that it was stalled.
	stallThreshold = 400 * time.Millisecond
	// maxDatagram is the size limit of a datagram in bytes. Runs are left out of a report that would exceed it.
	maxDatagram = 16 << 10
	// maxLeftPerHeartbeat bounds the targets in one heartbeat.
	maxLeftPerHeartbeat = 64
)

// ErrNoOwner means that no owner answers.
var ErrNoOwner = errors.New("ownerlink: no owner answers")

// Config holds the settings and callbacks of a Link.
type Config struct {
	Self        owner.Instance
	Incarnation uint64
	Fleet       *fleet.Fleet
	Coordinator *owner.Coordinator
	// Conn sends and receives the datagrams; nil: a socket on Self.Addr.
	Conn PacketConn

	// Gather returns what this instance has on the engines of each shard, grouped by shardOf; the link adds its own data.
	Gather func(shardOf func(engine string) *owner.Shard) map[string]owner.Report
	// MoveLink returns the links over which a service's engines copy runs; ok is false when they do not copy.
	MoveLink func(service string) (link moveplan.Link, ok bool)
	// OnLeft receives targets that another instance saw leaving, and reports whether that is new here.
	OnLeft func(fleet.LeftTarget) bool
	// OnRestarted receives targets that another instance saw restarted.
	OnRestarted func(id string, born int64)
	// OnGranted receives targets that owners selected for this instance, if it holds a part of the target list.
	OnGranted func(fleet.Info)
	// HasPartialList reports whether this instance holds only a part of the target list.
	HasPartialList func() bool
	// HasOldList reports whether this instance's list of targets may lack changes that other instances know; nil: never.
	HasOldList func() bool
	// Broadcast sends a datagram to all other instances, which pass it to ReceiveBroadcast.
	Broadcast func(datagram []byte)
	// OnBlames receives peers' reports of what killed targets.
	OnBlames func(*ownerpb.Blames)
	// OnSuspected is called when this instance begins to avoid a target because of the outcomes of all instances; permille of its
	// requests fail.
	OnSuspected func(target string, permille uint32)
	// OnRateChanged is called for an engine whose estimated speed has changed a lot; may be nil.
	OnRateChanged func(enginerate.Change)
	// Streams holds records of streams for peers; nil: none. It may be set until Run is called.
	Streams StreamRecords
	// OnBadDatagram is called once for each kind of datagram that could not be used.
	OnBadDatagram func(cause string, err error)
}

// Link sends and receives the datagrams of an instance. Create it with New.
type Link struct {
	Config
	conn          PacketConn
	layout        atomic.Pointer[owner.Layout]
	reportDue     chan struct{} // a report is due
	waitingAdded  chan struct{} // requests were added to the waiting ones
	layoutChanged chan struct{} // a layout was set
	storeQueries  atomic.Int32  // queries for records that wait for the store
	startedAt     time.Time
	// changedAt is the first change that was not reported yet.
	changedAt atomic.Pointer[time.Time]

	mu             sync.Mutex
	lastID         uint64
	calls          map[uint64]chan *ownerpb.Datagram
	addrs          map[string]netip.AddrPort
	lastGrants     map[string]uint64 // newest grant, by owner
	reportedBad    map[string]bool
	plans          map[string]*plan // in preparation, by shard
	outcomes       map[string]*outcomes
	prefillSamples []owner.PrefillSample
	addrByName     map[string]string // addresses of all instances including this one, by name
	nameByHash     map[uint32]string // of all instances, as nameHash returns it
	highCapacity   []string          // names of the instances with at least half of the largest capacity
	plain          plainOutcomes
	paces          paceCollector
	sentLimits     map[string]sentLimit // by target

	// Used by heartbeatLoop only:
	sentFills       map[string]sentFill // of the shards that it owns
	leftAnnouncedAt time.Time           // when targets that left were last announced
}

// PacketConn sends and receives datagrams, as *net.UDPConn does.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// New opens the socket on Config.Self.Addr, unless Config.Conn is set.
func New(cfg Config) (*Link, error) {
	conn := cfg.Conn
	if conn == nil {
		udp, err := listen.UDP(cfg.Self.Addr)
		if err != nil {
			return nil, fmt.Errorf("ownerlink: %w", err)
		}
		conn = udp
	}
	if cfg.Self.Addr != conn.LocalAddr().String() {
		cfg.Self.Addr = conn.LocalAddr().String() // the system chose the port
	}
	l := &Link{
		Config: cfg, conn: conn, startedAt: time.Now(), reportDue: make(chan struct{}, 1), waitingAdded: make(chan struct{}, 1), layoutChanged: make(chan struct{}, 1),
		calls: make(map[uint64]chan *ownerpb.Datagram), addrs: make(map[string]netip.AddrPort),
		lastGrants: make(map[string]uint64), reportedBad: make(map[string]bool), plans: make(map[string]*plan),
		outcomes: make(map[string]*outcomes), plain: newPlainOutcomes(), paces: newPaceCollector(), sentLimits: make(map[string]sentLimit),
		sentFills: make(map[string]sentFill),
	}
	l.layout.Store(owner.NewPartition().Layout())
	return l, nil
}

// SetLayout replaces the layout of shards.
func (l *Link) SetLayout(layout *owner.Layout) {
	if l.layout.Swap(layout) != layout {
		l.ScheduleReport()
		notify(l.layoutChanged)
	}
}

// notify sends to a channel of capacity one without blocking.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SetPeers replaces the known instances.
func (l *Link) SetPeers(instances []owner.Instance) error {
	addrs := make(map[string]netip.AddrPort, len(instances))
	addrByName := make(map[string]string, len(instances))
	nameByHash := make(map[uint32]string, len(instances))
	var highCapacity []string
	maxCapacity := uint32(0)
	for _, in := range instances {
		maxCapacity = max(maxCapacity, in.Capacity)
	}
	var bad error
	for _, in := range instances {
		at, err := netip.ParseAddrPort(in.Addr)
		if err != nil {
			bad = fmt.Errorf("ownerlink: address of %s: %w", in.Name, err)
			continue
		}
		addrs[in.Addr] = at
		addrByName[in.Name] = in.Addr
		nameByHash[nameHash(in.Name)] = in.Name
		if in.Capacity >= maxCapacity/2 {
			highCapacity = append(highCapacity, in.Name)
		}
	}
	l.mu.Lock()
	l.addrs, l.addrByName, l.nameByHash, l.highCapacity = addrs, addrByName, nameByHash, highCapacity
	l.mu.Unlock()
	return bad
}

// ScheduleReport has a report sent soon.
func (l *Link) ScheduleReport() {
	now := time.Now()
	l.changedAt.CompareAndSwap(nil, &now)
	notify(l.reportDue)
}

// Run sends and receives until ctx is done.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	var work sync.WaitGroup
	for _, f := range []func(context.Context){l.receiveLoop, l.reportLoop, l.heartbeatLoop, l.decideLoop, l.judgeLoop} {
		work.Go(func() { f(ctx) })
	}
	work.Wait()
}

// Close ends a Link that was never run.
func (l *Link) Close() { _ = l.conn.Close() }

func (l *Link) receiveLoop(ctx context.Context) {
	b := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, _, err := l.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(reportDelayMin)
			}
			continue
		}
		l.receiveDatagram(b[:n])
	}
}

// reportBad reports a kind of bad datagram once: a faulty sender repeats its fault many times a second.
func (l *Link) reportBad(cause string, err error) {
	badDatagrams.Inc()
	l.mu.Lock()
	known := l.reportedBad[cause]
	l.reportedBad[cause] = true
	l.mu.Unlock()
	if !known && l.OnBadDatagram != nil {
		l.OnBadDatagram(cause, err)
	}
}

// send sends a datagram; a failure shows as a missing answer.
func (l *Link) send(addr string, d *ownerpb.Datagram) {
	at, ok := l.addr(addr)
	if !ok {
		return
	}
	b, err := proto.Marshal(d)
	if err != nil {
		l.reportBad("unencodable", err)
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
		l.reportBad("address", err)
		return at, false
	}
	return at, true
}

// highCapacityNames lists the instances with at least half of the largest capacity: reports of others do not slow them down.
func (l *Link) highCapacityNames() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highCapacity
}

func (l *Link) addrOf(instance string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addrByName[instance]
}

// broadcast sends a datagram to all other instances.
func (l *Link) broadcast(d *ownerpb.Datagram) {
	b, err := proto.Marshal(d)
	if err != nil {
		l.reportBad("unencodable", err)
		return
	}
	broadcasts[kindOf(d)].add(len(b))
	l.Broadcast(b)
}

// ReceiveBroadcast handles a broadcast of another instance.
func (l *Link) ReceiveBroadcast(b []byte) { l.receiveDatagram(b) }

// receiveDatagram decodes and handles a datagram.
func (l *Link) receiveDatagram(b []byte) {
	var d ownerpb.Datagram
	if err := proto.Unmarshal(b, &d); err != nil {
		received[kindOther].add(len(b))
		l.reportBad("undecodable", err)
		return
	}
	received[kindOf(&d)].add(len(b))
	l.handle(&d)
}

// newDatagram returns a datagram from this instance, without a body.
func (l *Link) newDatagram() *ownerpb.Datagram {
	return &ownerpb.Datagram{Instance: l.Self.Name, Incarnation: l.Incarnation, Addr: l.Self.Addr}
}
