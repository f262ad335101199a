// Package plainload estimates the load of plain targets, whose calls have no owner: each instance chooses for itself.
//
// Load it answers: a few targets with a few slots each before many instances. Each instance receives a response of a given target only
// every second or two, while a target's queue lasts for some ten milliseconds, and other work on a target's machine slows it down for some
// hundred. A response names the target's running and waiting calls, and in some services its slowdown.
//
// The package does no I/O and reads no clock.
package plainload

import (
	"math"
	"time"
)

const (
	// loadMemory is the time constant with which a reported load decays to the mean of the service's targets.
	loadMemory = 100 * time.Millisecond
	// slowdownTTL is how long a reported slowdown is used: other work on a target's machine lasts for some hundred milliseconds.
	slowdownTTL = 400 * time.Millisecond
	// loadTTL is how long a reported load is used if no target of the service names slowdowns.
	loadTTL = 400 * time.Millisecond
	// meanTTL is how long a report counts for the mean of its service.
	meanTTL = 5 * time.Second
	// noticeInterval is the time within which a second notice of a target's state is not sent.
	noticeInterval = slowdownTTL / 2
	// minNotedSlowdown is the slowdown from which peers are informed: at it, a call takes half as long again.
	minNotedSlowdown = 1.5
	// maxShiftedShare is the share of slots up to which calls leave slowed targets for others: beyond it, queues form there.
	maxShiftedShare = 0.8
	// maxQueue bounds the calls that a report may name, in multiples of the target's slots: beyond it, all targets are avoided alike.
	maxQueue = 8
	// maxSlowdown bounds the slowdown that a report may name. A larger one does not change any choice.
	maxSlowdown = 8
)

// Report is the load that a target named in a response.
type Report struct {
	Running, Waiting int
	Slowdown         float64 // factor on its usual service time; 0: not named
}

// Target is what an instance knows of the load of one incarnation of a target. The zero value knows nothing.
type Target struct {
	calls    float64 // running and waiting at reportAt
	others   float64 // of these, calls of other instances
	reportAt time.Time
	slowdown float64
	slowAt   time.Time
	notedAt  time.Time // when this instance last sent or received a notice
}

// Observe records a load that the target named at a time, when own calls of this instance, the answered one included, were open there.
// An older load than the known one is ignored.
func (t *Target) Observe(at time.Time, r Report, own int) {
	if !at.Before(t.reportAt) {
		t.calls = float64(r.Running + r.Waiting)
		t.others = max(0, t.calls-float64(own))
		t.reportAt = at
	}
	t.observeSlowdown(at, r.Slowdown)
}

func (t *Target) observeSlowdown(at time.Time, factor float64) {
	if factor > 0 && !at.Before(t.slowAt) {
		t.slowdown, t.slowAt = min(factor, maxSlowdown), at
	}
}

// ObservePeer records the slowdown that a peer received from the target at a time.
func (t *Target) ObservePeer(at time.Time, slowdown float64) {
	t.observeSlowdown(at, slowdown)
	if at.After(t.notedAt) {
		t.notedAt = at
	}
}

// Reported reports whether the target has ever named a load to this instance.
func (t *Target) Reported() bool { return !t.reportAt.IsZero() }

// NamesSlowdown reports whether the target has ever named a slowdown, to this instance or a peer.
func (t *Target) NamesSlowdown() bool { return !t.slowAt.IsZero() }

// Others returns the calls of other instances that the target named last.
func (t *Target) Others() int { return int(t.others) }

// Age returns the time since the latest report.
func (t *Target) Age(now time.Time) time.Duration { return now.Sub(t.reportAt) }

// Slowdown returns the slowdown in force; 1 if none is known.
func (t *Target) Slowdown(now time.Time) float64 {
	if t.slowdown == 0 || now.Sub(t.slowAt) >= slowdownTTL {
		return 1
	}
	return max(1, t.slowdown)
}

// NoticeDue reports whether peers are to be informed of a load just received: the target is slowed down, and no notice of it was sent
// or received lately. It records the notice as sent. Queues are not reported to peers: all would leave the target for the same others.
func (t *Target) NoticeDue(now time.Time, r Report) bool {
	if r.Slowdown < minNotedSlowdown || now.Sub(t.notedAt) < noticeInterval {
		return false
	}
	t.notedAt = now
	return true
}

// Outlook is the load of a service's targets together, as far as an instance knows it.
type Outlook struct {
	// Share is the mean share of slots that calls of other instances hold. Targets that have named no load lately count as idle: else a
	// single full target would make all others pass for full.
	Share float64
	// Shift is the share of calls that are placed with regard to slowdowns: what would leave the slowed targets must find room on the
	// others, since all instances that know of a slowdown leave at once.
	Shift float64
}

// Survey sums up a service's targets.
func Survey(now time.Time, targets []Sized) Outlook {
	var held, slots, slowed, usual float64
	for _, t := range targets {
		size := float64(max(1, t.Slots))
		if t.Reported() && t.Age(now) < meanTTL {
			held += min(t.others, maxQueue*size)
		}
		slots += size
		if t.Slowdown(now) > 1 {
			slowed += size
		} else {
			usual += size
		}
	}
	out := Outlook{Share: held / max(1, slots)}
	if leaving := slowed * out.Share; leaving > 0 {
		out.Shift = min(1, max(0, usual*(maxShiftedShare-out.Share)/leaving))
	} else if usual > 0 {
		out.Shift = 1
	}
	return out
}

// Sized is a target and its number of slots.
type Sized struct {
	*Target
	Slots int
}

// Busy estimates the calls on the target, running and waiting: own of this instance, and those of others, whose last reported number
// decays to the mean of the service's targets.
func (t Sized) Busy(now time.Time, own int, o Outlook) float64 {
	weight := 0.0
	if t.Reported() {
		weight = math.Exp(-float64(max(0, t.Age(now))) / float64(loadMemory))
	}
	size := float64(max(1, t.Slots))
	return min(maxQueue*size, float64(own)+weight*t.others+(1-weight)*o.Share*size)
}

// Cost returns the cost of one more call on the target, in units of one fully loaded target: its busy share of slots, and the delay,
// in usual service times, that its queue and, with regard to slowdowns, its slowdown add.
func (t Sized) Cost(now time.Time, own int, o Outlook, regardSlowdown bool) float64 {
	size := float64(max(1, t.Slots))
	busy := t.Busy(now, own, o)
	queue := max(0, busy+1-size) / size
	slowdown := 1.0
	if regardSlowdown {
		slowdown = t.Slowdown(now)
	}
	return busy/size + slowdown*(1+queue) - 1
}

// BusyShare returns the cost of one more call on a target of a service without slowdowns, in units of one fully loaded target: the own
// calls there, or those that it named lately if they are more.
func (t Sized) BusyShare(now time.Time, own int) float64 {
	busy := float64(own)
	if t.Reported() && t.Age(now) < loadTTL {
		busy = max(busy, t.calls)
	}
	return busy / float64(max(1, t.Slots))
}
