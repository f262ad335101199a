package feedlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Delays of an instance that has no tables yet.
const (
	// startDelay is how long an instance that has just started leaves reading the store to the reader candidates. When all instances
	// start at the same moment, each would otherwise read all tables, with ten calls per instance.
	startDelay = 500 * time.Millisecond
	// emptyUpstreamWait is how long an instance waits for an upstream that has read nothing before it tries another.
	emptyUpstreamWait = time.Second
	// maxStartDelay replaces startDelay while one of the candidates is alive and has read nothing either: the store is unreachable, and
	// hundreds of instances calling it, too, would make hundreds of useless calls a second.
	maxStartDelay = 6 * time.Second
	// largeSiteStartDelay replaces startDelay on a large site, where several instances relay in each failure domain, and reading all tables
	// is expensive for an instance that needs few of their rows.
	largeSiteStartDelay = 2 * time.Second
	// aliveWindow is how long a peer counts as alive after it was last seen.
	aliveWindow = 2 * time.Second
	// startPollInterval is the interval at which upstreams are polled while they have no tables.
	startPollInterval = 50 * time.Millisecond
)

// bootstrap gets the list of instances from a seed, an instance that this one was configured with. While the store is unreachable it
// takes all tables from the seed: the reader candidates may have nothing either.
func (t *Syncer) bootstrap(ctx context.Context, seed mesh.Peer) {
	ranks, err := t.requestRanks(ctx, seed)
	if err != nil {
		t.avoidUpstream(ctx, seed, err)
		return
	}
	if len(ranks) > 0 && t.ApplyRanks != nil && t.ApplyRanks(ranks) {
		return
	}
	s, err := t.subscribeToList(ctx, seed)
	if err != nil {
		t.avoidUpstream(ctx, seed, err)
		return
	}
	s.close()
	if !s.storeLost {
		return
	}
	if all, err := t.subscribe(ctx, seed); err == nil {
		t.next = all
		return
	}
	t.avoidUpstream(ctx, seed, errUpstreamEmpty)
}

// requestRanks asks a seed which instances read and relay. The full list of a site's instances would be a hundred times as large, and
// all starting instances ask at once.
func (t *Syncer) requestRanks(ctx context.Context, seed mesh.Peer) ([]byte, error) {
	openCtx, cancel := context.WithTimeout(ctx, initialSubscribeTimeout)
	defer cancel()
	stream, err := t.Node.Open(openCtx, seed, meshpb.StreamKind_STREAM_FEED)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Write(&meshpb.FeedAsk{Domain: t.Domain}); err != nil {
		return nil, err
	}
	var page meshpb.FeedPage
	if err := stream.ReadWithIdleTimeout(initialSubscribeTimeout, &page); err != nil {
		return nil, errUpstreamEmpty // the seed is alive, but does not know the list yet
	}
	return page.Ranks, nil
}

// deferToReaders reports whether this instance, which has no tables yet, still leaves reading the store to others.
func (t *Syncer) deferToReaders(now time.Time) bool {
	if t.initialized() {
		return false
	}
	t.mu.Lock()
	emptySeen := t.emptyUpstreamSeen
	t.mu.Unlock()
	since, delay := now.Sub(t.started), startDelay
	if t.Assignment().LargeSite {
		delay = largeSiteStartDelay
	}
	return since < delay || since < maxStartDelay && now.Sub(emptySeen) < aliveWindow
}

// noteEmptyUpstream records that an upstream is alive but has read nothing.
func (t *Syncer) noteEmptyUpstream(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.emptyUpstreamSeen = now
}
