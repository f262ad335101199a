package gateway

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/targetdial"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

const (
	// firstShare is the share of a route's latency objective after which a resumable stream without a first event is suspect.
	firstShare = 0.6
	// stallFactor is how many times the route's objective for pauses a stream may be silent before it is suspect.
	stallFactor = 4
	// minSilence is the shortest silence that makes a stream suspect.
	minSilence = 700 * time.Millisecond
	// aliveWindow is how long a target counts as alive after it was last heard from on any run. An engine under load is silent
	// on one run for long, but not on all; an unreachable one is.
	aliveWindow = 600 * time.Millisecond
	// pausedLimit is the silence after which a target that accepts connections is given up, too. Pauses of sound targets are shorter, and
	// callers give up soon after.
	pausedLimit = 1500 * time.Millisecond
)

// watch closes the connection of a resumable stream whose target has become unreachable, so that the run continues elsewhere.
// A target that is only under load is left alone: reading the prompt again elsewhere would increase the load on all targets.
type watch struct {
	r      *run
	conn   *wirehttp.Conn
	target string
	addr   string // of the target

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (r *run) watch(conn *wirehttp.Conn, target fleet.Info) *watch {
	w := &watch{r: r, conn: conn, target: target.ID, addr: target.Addr}
	repeatable := r.c.route.MayRepeat() && r.c.sends+1 < r.c.route.MaxAttempts
	if !repeatable && r.backupTarget().ID == "" {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(r.silenceLimit(), w.check)
	return w
}

// silenceLimit returns the silence after which the run's target is checked.
func (r *run) silenceLimit() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outputTokens == 0 {
		return max(minSilence, time.Duration(firstShare*float64(r.c.route.LatencyObjective)))
	}
	return max(minSilence, stallFactor*r.c.route.GapObjective)
}

// check closes the connection if the target is unreachable, and otherwise schedules the next check.
func (w *watch) check() {
	gone := w.gone()
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	left := w.r.silenceLimit() - now.Sub(w.r.lastContactAt())
	if left <= 0 && gone && w.r.g.Budget.Remaining(now, w.r.c.service) >= 1 {
		w.r.g.Log.TargetSilent(w.r.c.entry(), w.target, now.Sub(w.r.lastContactAt()))
		w.conn.Close()
		return
	}
	w.timer = time.AfterFunc(max(left, minSilence/4), w.check)
}

// gone reports whether the run has no chance to continue on its target: nothing comes from there, and it accepts no connections or this
// instance's own link to it is lost. A target that is silent and accepts connections is given pausedLimit: its process may only pause, and
// would go on with the run while another target does, too.
func (w *watch) gone() bool {
	g := w.r.g
	silence := time.Since(w.r.lastContactAt())
	if silence < w.r.silenceLimit() {
		return false
	}
	alive := w.alive()
	if g.Links == nil {
		return !alive
	}
	maxAge := slowProbeMaxAge
	if !alive {
		maxAge = minSilence / 4
	}
	reach := g.Links.Probe(w.addr, maxAge)
	if reach == targetdial.ReachByPeer && isDirect(w.conn) && g.Links.Silent(w.addr) {
		return true
	}
	return !alive && (reach == targetdial.ReachNone || silence >= pausedLimit)
}

// lastContactTimeout bounds the request to an owner for an engine's last contact.
const lastContactTimeout = 200 * time.Millisecond

// alive reports whether the run's target was heard from recently, on a run of this instance or, as the owner knows, of another.
func (w *watch) alive() bool {
	g := w.r.g
	contact := g.Fleet.LastContact(w.target)
	silent := time.Since(w.r.lastContactAt()) >= w.r.silenceLimit()
	if silent && time.Since(contact) >= aliveWindow && g.Owners != nil {
		ctx, cancel := context.WithTimeout(context.Background(), lastContactTimeout)
		defer cancel()
		// Without an answer this instance uses its own contacts only.
		if reported, err := g.Owners.LastContact(ctx, w.target); err == nil && reported.After(contact) {
			contact = reported
		}
	}
	return time.Since(contact) < aliveWindow
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// recordContact records that something arrived from the run's target, or was just sent there.
func (r *run) recordContact(target string) {
	now := time.Now()
	r.mu.Lock()
	hadContact := !r.lastContact.IsZero()
	r.lastContact = now
	r.mu.Unlock()
	if hadContact {
		r.g.Fleet.RecordContact(now, target)
	}
}

func (r *run) lastContactAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContact
}
