package feedlink

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// News is what one instance tells all others. It goes along the subscriptions that the tables come by, up and down: each instance
// passes what is new to it on to those that follow it and to the one that it follows, but not back to where it came from. So an
// instance sends as many messages as it has neighbours there, whoever tells.
const (
	// newsLife is how long news is passed on and known again.
	newsLife = 5 * time.Second
	// newsRecent is the age of news that a new neighbour is told: the one before may not have told it.
	newsRecent = 2 * time.Second
	// newsMost and newsBytes bound the news that an instance keeps, and the bytes of one message of them.
	newsMost  = 1024
	newsBytes = 16 << 10
	// newsUp is the least time between two messages of news to the one that is followed.
	newsUp = 10 * time.Millisecond
)

var (
	newsTold    = metrics.NewCounter(`anvilwick_feed_news_total{what="told"}`)
	newsHeard   = metrics.NewCounter(`anvilwick_feed_news_total{what="heard"}`)
	newsAgain   = metrics.NewCounter(`anvilwick_feed_news_total{what="heard_again"}`)
	newsDropped = metrics.NewCounter(`anvilwick_feed_news_total{what="dropped"}`)
	newsSent    = metrics.NewCounter(`anvilwick_feed_bytes_total{table="news"}`)
)

// newsKey names news.
type newsKey struct {
	origin              string
	incarnation, serial uint64
}

type newsItem struct {
	newsKey
	body []byte
	born time.Time // when its origin told it
	at   time.Time // when it came here
	from string    // neighbour that it came from; empty: this instance
}

// newsLog keeps news while it is passed on.
type newsLog struct {
	self        string
	incarnation uint64

	mu     sync.Mutex
	serial uint64
	items  []newsItem
	first  uint64 // number of the first of items
	known  map[newsKey]bool
	wake   chan struct{} // closed and replaced when news comes
}

func newNewsLog(self string, incarnation uint64) *newsLog {
	return &newsLog{self: self, incarnation: incarnation, known: make(map[newsKey]bool), wake: make(chan struct{})}
}

// tell adds news of this instance.
func (l *newsLog) tell(now time.Time, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serial++
	l.add(newsItem{newsKey: newsKey{l.self, l.incarnation, l.serial}, body: body, born: now, at: now})
}

// take adds news of another instance, and reports whether it was new.
func (l *newsLog) take(now time.Time, m *meshpb.FeedNews, from string) bool {
	key := newsKey{m.GetOrigin(), m.GetIncarnation(), m.GetSerial()}
	age := time.Duration(m.GetAgeMs()) * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[key] || key.origin == l.self || age > newsLife || len(m.GetBody()) > newsBytes {
		return false
	}
	l.add(newsItem{newsKey: key, body: m.GetBody(), born: now.Add(-age), at: now, from: from})
	return true
}

func (l *newsLog) add(it newsItem) {
	l.items = append(l.items, it)
	l.known[it.newsKey] = true
	for len(l.items) > newsMost || len(l.items) > 0 && it.at.Sub(l.items[0].at) > newsLife {
		if len(l.items) > newsMost {
			newsDropped.Inc()
		}
		delete(l.known, l.items[0].newsKey)
		l.items = l.items[1:]
		l.first++
	}
	close(l.wake)
	l.wake = make(chan struct{})
}

// changed returns a channel that is closed when news comes.
func (l *newsLog) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wake
}

// newsReader reads the news for one neighbour.
type newsReader struct {
	log *newsLog
	to  string
	at  uint64 // number of the first that it was not told
}

// reader returns what reads the recent news and all that comes for a neighbour.
func (l *newsLog) reader(to string) *newsReader {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	n := 0
	for n < len(l.items) && now.Sub(l.items[n].at) > newsRecent {
		n++
	}
	return &newsReader{log: l, to: to, at: l.first + uint64(n)}
}

// next returns the news that the neighbour has not been told, as much as one message holds.
func (r *newsReader) next(now time.Time) []*meshpb.FeedNews {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.at = max(r.at, r.log.first)
	var out []*meshpb.FeedNews
	bytes := 0
	for ; r.at < r.log.first+uint64(len(r.log.items)); r.at++ {
		it := &r.log.items[r.at-r.log.first]
		if it.from == r.to && it.from != "" || it.origin == r.to {
			continue
		}
		if bytes += len(it.body); bytes > newsBytes && len(out) > 0 {
			break
		}
		out = append(out, &meshpb.FeedNews{
			Origin: it.origin, Incarnation: it.incarnation, Serial: it.serial, Body: it.body, AgeMs: uint32(now.Sub(it.born).Milliseconds()),
		})
	}
	newsSent.Add(bytes)
	return out
}

// Broadcast tells all other instances.
func (t *Syncer) Broadcast(body []byte) {
	newsTold.Inc()
	t.news.tell(time.Now(), body)
}

// takeNews takes in news from a neighbour.
func (t *Syncer) takeNews(list []*meshpb.FeedNews, from string) {
	now := time.Now()
	for _, m := range list {
		if !t.news.take(now, m, from) {
			newsAgain.Inc()
			continue
		}
		newsHeard.Inc()
		if t.OnBroadcast != nil {
			t.OnBroadcast(m.Body)
		}
	}
}

// hearBelow takes in the news of one that follows this instance, until its stream ends.
func (t *Syncer) hearBelow(stream *mesh.Stream) {
	for {
		var up meshpb.FeedUp
		if err := stream.Read(&up); err != nil {
			return
		}
		t.takeNews(up.News, stream.Peer().Instance)
		t.takeWrites(up.Writes)
	}
}

// tellUp passes news on to the one that is followed until the returned function is called.
func (t *Syncer) tellUp(s *subscription) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	news := t.news.reader(s.stream.Peer().Instance)
	work.Go(func() {
		for ctx.Err() == nil {
			changed := t.news.changed()
			if list := news.next(time.Now()); len(list) > 0 {
				if s.stream.Write(&meshpb.FeedUp{News: list}) != nil {
					return
				}
				sleep(ctx, newsUp)
				continue
			}
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	})
	work.Go(func() { t.passWrites(ctx, s.writeUp) })
	return func() {
		cancel()
		work.Wait()
	}
}
