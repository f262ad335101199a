package feedlink

import (
	"context"
	"fmt"
	"math"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// server serves the tables to downstream instances.
type server struct {
	syncer    *Syncer
	tables    map[string]Table
	packer    *packer
	pageSlots chan struct{} // semaphore of pages being built
	followers atomic.Int32  // open subscriptions
}

const (
	// gapPerFollower is how much each follower adds to the least time between two pages with changes.
	gapPerFollower = time.Millisecond
	// maxPageGap bounds that time: changes must take effect within two seconds, and take two hops.
	maxPageGap = 250 * time.Millisecond
)

// maxConcurrentPages bounds the pages that are built concurrently. When hundreds of instances start, all request their subsets of a large
// table at the same moment, and all the pages would be held in memory together.
const maxConcurrentPages = 4

func (s *server) buildPageLimited(tables []*tableCursor) *meshpb.FeedPage {
	s.pageSlots <- struct{}{}
	defer func() { <-s.pageSlots }()
	return s.buildPage(tables)
}

// pageGap returns the least time between two pages with changes to one follower.
//
// When a site starts, thousands of targets write their entries one after the other. Forwarded singly, each would go to a hundred
// followers uncompressed; batched for as long as forwarding one to all followers takes, they shrink to a tenth.
func (s *server) pageGap() time.Duration {
	return min(time.Duration(s.followers.Load())*gapPerFollower, maxPageGap)
}

// Serve serves the tables of a Syncer to other instances.
func Serve(node *mesh.Node, t *Syncer) {
	s := &server{syncer: t, tables: make(map[string]Table), packer: newPacker(), pageSlots: make(chan struct{}, maxConcurrentPages)}
	for _, table := range t.Tables {
		s.tables[table.Name] = table
	}
	node.Handle(meshpb.StreamKind_STREAM_FEED, func(ctx context.Context, stream *mesh.Stream) {
		stream.LimitMessages(maxUpMessage)
		var request meshpb.FeedAsk
		if err := stream.Read(&request); err != nil {
			return
		}
		if len(request.Tables) == 0 {
			s.sendReferral(stream, request.Domain)
			return
		}
		go s.syncer.receiveFromDownstream(stream)
		s.servePages(ctx, stream, &request)
	})
}

// sendReferral tells an instance that knows no peers which instances it should take the tables from.
func (s *server) sendReferral(stream *mesh.Stream, domain string) {
	s.syncer.awaitInstanceList(referralWait)
	page := &meshpb.FeedPage{Lost: s.syncer.StoreLost()}
	if s.syncer.Ranks != nil {
		page.Ranks = s.syncer.Ranks(domain)
	}
	_ = stream.Write(page) // on failure the instance asks another peer
}

// referralWait bounds the wait for the instance list before a referral is sent.
const referralWait = initialSubscribeTimeout - 50*time.Millisecond

// awaitInstanceList waits until the list of instances is known, at most for the given time.
func (t *Syncer) awaitInstanceList(limit time.Duration) {
	end := time.NewTimer(limit)
	defer end.Stop()
	for _, table := range t.Tables {
		if table.Critical || table.Optional {
			continue
		}
		changed := table.Replica.Changed()
		if _, known := table.Replica.Version(); known {
			continue
		}
		select {
		case <-changed:
		case <-end.C:
			return
		}
	}
}

// tableCursor tracks what a subscriber has received of a table.
type tableCursor struct {
	name         string
	replica      *feed.Replica
	after        feed.Position
	retainedSent bool // the retained rows were sent in the era of after

	critical         bool
	subsetRequested  bool // it requested only the rows that it needs
	partitioner      Partitioner
	instance, domain string
	sentSubset       string // ID of the subset that was sent
	sentDigest       string // digest that was sent
}

// servePages sends pages until the stream breaks, which ends the subscription at the subscriber, too.
func (s *server) servePages(ctx context.Context, stream *mesh.Stream, request *meshpb.FeedAsk) {
	var tables []*tableCursor
	for _, a := range request.Tables {
		if table, ok := s.tables[a.Table]; ok {
			tables = append(tables, &tableCursor{
				name: a.Table, replica: table.Replica, after: feed.PositionOf(a.Era, a.After), critical: table.Critical,
				subsetRequested: a.Part && table.Partitioner != nil, partitioner: table.Partitioner,
				instance: stream.Peer().Instance, domain: request.Domain,
			})
		}
	}
	broadcasts := s.syncer.broadcasts.newReader(stream.Peer().Instance)
	s.followers.Add(1)
	defer s.followers.Add(-1)
	t := time.NewTimer(pageInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		changed := append(changeChannels(tables), s.syncer.broadcasts.changed())
		page := s.buildPageLimited(tables)
		page.News = broadcasts.nextBatch(time.Now())
		if err := stream.Write(page); err != nil {
			return
		}
		sent := time.Now()
		t.Reset(pageInterval)
		waitAny(ctx, t.C, changed)
		ctxtime.Sleep(ctx, s.pageGap()-time.Since(sent))
	}
}

// changeChannels returns the channels that are closed at the tables' next changes, and when the store confirms a critical table.
//
// Confirmations are forwarded at once: when they waited for the next periodic page, the delays of three hops on a large site added up
// to a contact so old that instances assumed the reader had lost the store, read the store themselves, and asked their engines
// whether they were leaving.
func changeChannels(tables []*tableCursor) []<-chan struct{} {
	var out []<-chan struct{}
	for _, t := range tables {
		out = append(out, t.replica.Changed())
		if t.critical {
			out = append(out, t.replica.Confirmed())
		}
	}
	return out
}

func waitAny(ctx context.Context, tick <-chan time.Time, changed []<-chan struct{}) {
	cases := []reflect.SelectCase{
		{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(ctx.Done())}, {Dir: reflect.SelectRecv, Chan: reflect.ValueOf(tick)},
	}
	for _, c := range changed {
		cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(c)})
	}
	reflect.Select(cases)
}

// buildPage returns the changes since the last page, with the age of the last contact with the store for each table.
func (s *server) buildPage(tables []*tableCursor) *meshpb.FeedPage {
	out := &meshpb.FeedPage{Lost: s.syncer.StoreLost(), Path: s.syncer.upstreamPath()}
	for _, t := range tables {
		after := t.after
		page, whole, known, contact := t.nextPage()
		if !known || t.isPartial() {
			page = feed.Page{Era: page.Era} // it can't serve rows that it does not hold
		}
		m := s.packer.tableMessage(t.name, after, page, whole, contact)
		m.Digest = t.nextDigest()
		if !t.retainedSent || t.after.Era != page.Era {
			now := time.Now()
			m.Kept, t.retainedSent = s.packer.retainedMessages(page.Era, t.replica.Retained(now)), true
			if restore, ok := t.replica.Restore(now); ok {
				m.RestoreVersion, m.RestoreAgeMs = restore.Version, uint32(min(restore.Age.Milliseconds(), math.MaxUint32))
			}
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`anvilwick_feed_bytes_total{table=%q}`, t.name)).Add(proto.Size(m))
		out.Tables = append(out.Tables, m)
		t.after = page.Position()
	}
	return out
}
