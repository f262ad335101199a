package feedlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Times of an instance that knows nothing yet.
const (
	// patience is how long an instance that has just started leaves the store to those that rank to read it. When all
	// start in one moment each would else read all tables, ten calls an instance.
	patience = 500 * time.Millisecond
	// waitNew is how long one waits for a reader that has read nothing before it asks another.
	waitNew = time.Second
	// longPatience is for how long it does so while one of those lives and has read nothing either: the store is away, and
	// hundreds that ask it, too, would be hundreds of calls a second in vain.
	longPatience = 6 * time.Second
	// largePatience is patience on a large site, where several relay in each failure domain, and all tables are much to read for one that
	// needs few of their rows.
	largePatience = 2 * time.Second
	// aliveFor is how long one that was heard is taken to live.
	aliveFor = 2 * time.Second
	// looks is the pause between two looks at the readers while they know nothing.
	looks = 50 * time.Millisecond
)

// learn takes the list of instances from one that this instance was told of. While the store is away it takes all tables
// there: those that rank to read may know nothing either.
func (t *Syncer) learn(ctx context.Context, reader mesh.Peer) {
	ranks, err := t.ranksOf(ctx, reader)
	if err != nil {
		t.doubt(ctx, reader, err)
		return
	}
	if len(ranks) > 0 && t.ApplyRanks != nil && t.ApplyRanks(ranks) {
		return
	}
	s, err := t.openList(ctx, reader)
	if err != nil {
		t.doubt(ctx, reader, err)
		return
	}
	s.close()
	if !s.lost {
		return
	}
	if all, err := t.open(ctx, reader); err == nil {
		t.better = all
		return
	}
	t.doubt(ctx, reader, errUnknown)
}

// ranksOf asks an instance that this one was told of who reads and relays. The list of a site's instances would be a hundred times as
// large, and all ask that start at once.
func (t *Syncer) ranksOf(ctx context.Context, reader mesh.Peer) ([]byte, error) {
	open, cancel := context.WithTimeout(ctx, openFirst)
	defer cancel()
	stream, err := t.Node.Open(open, reader, meshpb.StreamKind_STREAM_FEED)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Write(&meshpb.FeedAsk{Domain: t.Domain}); err != nil {
		return nil, err
	}
	var page meshpb.FeedPage
	if err := stream.ReadWithIdleTimeout(openFirst, &page); err != nil {
		return nil, errUnknown // it lives, and does not know the list yet
	}
	return page.Ranks, nil
}

// early reports whether this instance, which knows nothing, leaves the store to others for now.
func (t *Syncer) early(now time.Time) bool {
	if t.known() {
		return false
	}
	t.mu.Lock()
	unknown := t.unknown
	t.mu.Unlock()
	since, most := now.Sub(t.started), patience
	if t.Assignment().LargeSite {
		most = largePatience
	}
	return since < most || since < longPatience && now.Sub(unknown) < aliveFor
}

// toldUnknown notes that a reader lives that has read nothing.
func (t *Syncer) toldUnknown(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unknown = now
}
