package fleet

import (
	"time"

	"anvilwick.example/anvilwick/lib/plainload"
)

// plainView is what a choice among a plain service's targets knows of their load. The zero value is used where no target names a load.
type plainView struct {
	known          bool
	outlook        plainload.Outlook
	regardSlowdown bool
}

// ObserveLoad records the load that a target named in a response to this instance, whose call still counts there. It reports whether
// peers should be informed that the target is slowed down.
func (f *Fleet) ObserveLoad(now time.Time, id string, r plainload.Report) (inform bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return false
	}
	t.plain.Observe(now, r, t.local.Runs)
	spec, ok := f.specs[t.Service]
	return ok && spec.KVTokens == 0 && t.plain.NoticeDue(now, r)
}

// ObservePeerSlowdown records the slowdown that a peer received at a time from an incarnation of a plain target. One of another
// incarnation is ignored.
func (f *Fleet) ObservePeerSlowdown(at time.Time, id string, born int64, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil && t.Born == born {
		t.plain.ObservePeer(at, factor)
	}
}

// plainView returns the view for one choice among a plain service's targets.
func (f *Fleet) plainView(now time.Time, service string) plainView {
	f.sizedBuf = f.sizedBuf[:0]
	var v plainView
	for _, t := range f.index.targetsOf(service) {
		if f.accepts(t) {
			f.sizedBuf = append(f.sizedBuf, plainload.Sized{Target: &t.plain, Slots: t.Slots})
			v.known = v.known || t.plain.Known()
		}
	}
	if !v.known {
		return v
	}
	v.outlook = plainload.Survey(now, f.sizedBuf)
	v.regardSlowdown = v.outlook.Shift >= 1 || v.outlook.Shift > 0 && f.random() < v.outlook.Shift
	return v
}

// plainCost returns the cost of one more call on a plain target, in units of one fully loaded target.
func (v *plainView) plainCost(now time.Time, t *Target, own int) float64 {
	if !v.known {
		return float64(own) / float64(max(1, t.Slots))
	}
	return plainload.Sized{Target: &t.plain, Slots: t.Slots}.Cost(now, own, v.outlook, v.regardSlowdown)
}

// PlainState is the load of a plain target on which a choice was based.
type PlainState struct {
	Reported bool          // the target has named a load to this instance
	Others   int           // calls of other instances that it named last
	Age      time.Duration // of the load that it named last
	Slowdown float64       // in force; 1: none known
}

func (t *Target) plainState(now time.Time) PlainState {
	s := PlainState{Slowdown: t.plain.Slowdown(now)}
	if t.plain.Reported() {
		s.Reported, s.Others, s.Age = true, t.plain.Others(), t.plain.Age(now)
	}
	return s
}
