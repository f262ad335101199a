package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/membudget"
)

const (
	// unreadGrace is the time after a call's limit, or the start of an answer that comes later, from which the caller may be too slow.
	unreadGrace = time.Second
	// unreadInterval is the period at which the memory is checked then.
	unreadInterval = 500 * time.Millisecond
	// smallAnswer is the size in bytes of the largest answer that is kept for its caller however long that takes.
	smallAnswer = 64 << 10
)

var unreadCut = metrics.NewCounter(`anvilwick_gateway_unread_answers_cut_total`)

// unreadAnswer is an answer that its caller may not read. Without a bound it would hold its memory, and a stream its place at an engine, until
// the caller closes the connection.
type unreadAnswer struct {
	rc   *http.ResponseController
	keep func() bool // whether it may be written any longer; nil: it may not

	mu    sync.Mutex
	timer *time.Timer // nil: it has been written
}

// cutUnread makes writes of an answer fail some time after its call's limit, as soon as keep returns false. Call written when they have ended.
func cutUnread(w http.ResponseWriter, limit time.Time, keep func() bool) (written func()) {
	u := &unreadAnswer{rc: http.NewResponseController(w), keep: keep}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timer = time.AfterFunc(max(0, time.Until(limit))+unreadGrace, u.check)
	return u.end
}

func (u *unreadAnswer) check() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timer == nil {
		return
	}
	if u.keep != nil && u.keep() {
		u.timer.Reset(unreadInterval)
		return
	}
	unreadCut.Inc()
	_ = u.rc.SetWriteDeadline(time.Now()) // it fails on a connection that is closed already
}

func (u *unreadAnswer) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timer.Stop()
	u.timer = nil
}

// cutUnreadBody is cutUnread for a whole answer that is held in memory: it is kept while the instance has memory for others.
func (g *Gateway) cutUnreadBody(w http.ResponseWriter, c *call, body []byte) (written func()) {
	if len(body) <= smallAnswer {
		return func() {}
	}
	return cutUnread(w, c.limit, func() bool { return g.Memory.Fits(int64(len(body)), membudget.Bulk) })
}
