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
	// stallFactor is how many times the route's longest pause a stream may be silent before it looks silent.
	stallFactor = 4
	// minSilence is the shortest silence that is looked at.
	minSilence = 700 * time.Millisecond
	// aliveWindow is how long a target that was heard on any run is taken to be alive. A busy engine is silent on one run
	// for long, but not on all; a dark one is.
	aliveWindow = 600 * time.Millisecond
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
	repeatable := r.c.route.MayRepeat() && r.c.sends+1 < r.c.route.MaxAttempts
	if !repeatable && r.backupTarget().ID == "" {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(r.silenceLimit(), w.check)
	return w
}

// silenceLimit is the silence after which the run is looked at.
func (r *run) silenceLimit() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outputTokens == 0 {
		return max(minSilence, time.Duration(firstShare*float64(r.c.route.Aim)))
	}
	return max(minSilence, stallFactor*r.c.route.GapAim)
}

// check closes the connection of a silent target and comes back later to any other.
func (w *watch) check() {
	alive := w.alive()
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	left := w.r.silenceLimit() - now.Sub(w.r.lastContactAt())
	if left <= 0 && !alive && w.r.g.Budget.Left(now, w.r.c.service) >= 1 {
		w.r.g.Log.TargetSilent(w.r.c.entry(), w.target, now.Sub(w.r.lastContactAt()))
		w.conn.Close()
		return
	}
	w.timer = time.AfterFunc(max(left, minSilence/4), w.check)
}

// lastContactTimeout bounds the wait for an owner's word of when an engine was last heard.
const lastContactTimeout = 200 * time.Millisecond

// alive reports whether the run's target is heard on some run, of this instance or, by what the owner was told, of another.
func (w *watch) alive() bool {
	g := w.r.g
	at := g.Fleet.LastContact(w.target)
	silent := time.Since(w.r.lastContactAt()) >= w.r.silenceLimit()
	if silent && time.Since(at) >= aliveWindow && g.Owners != nil {
		ctx, cancel := context.WithTimeout(context.Background(), lastContactTimeout)
		defer cancel()
		// Without an answer this instance goes by its own runs.
		if reported, err := g.Owners.LastHeard(ctx, w.target); err == nil && reported.After(at) {
			at = reported
		}
	}
	return time.Since(at) < aliveWindow
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// recordContact notes that something came from the run's target, or was just sent there.
func (r *run) recordContact(target string) {
	now := time.Now()
	r.mu.Lock()
	begun := !r.lastContact.IsZero()
	r.lastContact = now
	r.mu.Unlock()
	if begun {
		r.g.Fleet.RecordContact(now, target)
	}
}

func (r *run) lastContactAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContact
}
