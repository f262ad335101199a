package gateway

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/wirehttp"
)

const (
	// firstShare is the part of a route's aim after which a resumable stream without a first event looks silent.
	firstShare = 0.6
	// stallGaps is how many times the route's longest pause a stream may be silent before it looks silent.
	stallGaps = 4
	// minPatience is the shortest silence that is looked at.
	minPatience = 700 * time.Millisecond
	// aliveFor is how long a target that was heard on any run is taken to be alive. A busy engine is silent on one run
	// for long, but not on all; a dark one is.
	aliveFor = 600 * time.Millisecond
)

// watch ends a resumable stream whose target has gone dark, by closing its connection, so that the run goes on
// elsewhere. A target that is merely busy is left alone: reading the prompt again elsewhere makes all of them busier.
type watch struct {
	r      *run
	conn   *wirehttp.Conn
	target string

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (r *run) watch(conn *wirehttp.Conn, target string) *watch {
	w := &watch{r: r, conn: conn, target: target}
	again := r.c.route.MayRepeat() && r.c.sends+1 < r.c.route.MaxAttempts
	if !again && r.backupAt().ID == "" {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(r.patience(), w.look)
	return w
}

// patience is the silence after which the run is looked at.
func (r *run) patience() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.made == 0 {
		return max(minPatience, time.Duration(firstShare*float64(r.c.route.Aim)))
	}
	return max(minPatience, stallGaps*r.c.route.GapAim)
}

// look closes the connection of a silent target and comes back later to any other.
func (w *watch) look() {
	alive := w.alive()
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	left := w.r.patience() - now.Sub(w.r.lastHeard())
	if left <= 0 && !alive && w.r.g.Budget.Left(now, w.r.c.service) >= 1 {
		w.r.g.Log.Silent(w.r.c.entry(), w.target, now.Sub(w.r.lastHeard()))
		w.conn.Close()
		return
	}
	w.timer = time.AfterFunc(max(left, minPatience/4), w.look)
}

// heardTimeout bounds the wait for an owner's word of when an engine was last heard.
const heardTimeout = 200 * time.Millisecond

// alive reports whether the run's target is heard on some run, of this instance or, by what the owner was told, of another.
func (w *watch) alive() bool {
	g := w.r.g
	at := g.Fleet.LastContact(w.target)
	silent := time.Since(w.r.lastHeard()) >= w.r.patience()
	if silent && time.Since(at) >= aliveFor && g.Owners != nil {
		ctx, cancel := context.WithTimeout(context.Background(), heardTimeout)
		defer cancel()
		// Without an answer this instance goes by its own runs.
		if told, err := g.Owners.LastContact(ctx, w.target); err == nil && told.After(at) {
			at = told
		}
	}
	return time.Since(at) < aliveFor
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// heard notes that something came from the run's target, or was just sent there.
func (r *run) heard(target string) {
	now := time.Now()
	r.mu.Lock()
	begun := !r.last.IsZero()
	r.last = now
	r.mu.Unlock()
	if begun {
		r.g.Fleet.RecordContact(now, target)
	}
}

func (r *run) lastHeard() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
