package fleet

import (
	"time"

	"anvilwick.example/anvilwick/lib/plainload"
)

// plainView is what a choice among a plain service's targets knows of their load. The zero value is used where no target has named a
// slowdown: such a service's targets are chosen by their busy share.
type plainView struct {
	slowdowns      bool // targets of the service name slowdowns
	outlook        plainload.Outlook
	regardSlowdown bool
}

// noLoad is the load of targets that have named none.
var noLoad plainload.Target

func (t *Target) plainLoad() *plainload.Target {
	if t.plain == nil {
		return &noLoad
	}
	return t.plain
}

// observedPlain returns an incarnation of a plain target, and its load to be changed; nil if it isn't the known one, or no plain target.
func (f *Fleet) observedPlain(id string, born int64) (*Target, *plainload.Target) {
	t := f.targets[id]
	if t == nil || t.Born != born {
		return nil, nil
	}
	if spec, ok := f.specs[t.Service]; !ok || spec.KVTokens > 0 {
		return nil, nil
	}
	if t.plain == nil {
		t.plain = new(plainload.Target)
	}
	return t, t.plain
}

// ObserveLoad records the load that an incarnation of a plain target named in a response to this instance, whose call still counts there.
// It reports whether peers should be informed that the target is slowed down. Loads of engines are not recorded: choices use their memory.
func (f *Fleet) ObserveLoad(now time.Time, id string, born int64, r plainload.Report) (inform bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, load := f.observedPlain(id, born)
	if load == nil {
		return false
	}
	load.Observe(now, r, t.local.Runs)
	return load.NoticeDue(now, r)
}

// ObservePeerSlowdown records the slowdown that a peer received at a time from an incarnation of a plain target. One of another
// incarnation is ignored.
func (f *Fleet) ObservePeerSlowdown(at time.Time, id string, born int64, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, load := f.observedPlain(id, born); load != nil {
		load.ObservePeer(at, factor)
	}
}

// surveyPlain sets the view for one choice among a plain service's targets.
func (f *Fleet) surveyPlain(now time.Time, service string) {
	f.sizedBuf = f.sizedBuf[:0]
	f.plainView = plainView{}
	v := &f.plainView
	for _, t := range f.index.targetsOf(service) {
		if f.accepts(t) {
			f.sizedBuf = append(f.sizedBuf, plainload.Sized{Target: t.plainLoad(), Slots: t.Slots})
			v.slowdowns = v.slowdowns || t.plainLoad().NamesSlowdown()
		}
	}
	if !v.slowdowns {
		return
	}
	v.outlook = plainload.Survey(now, f.sizedBuf)
	v.regardSlowdown = v.outlook.Shift >= 1 || v.outlook.Shift > 0 && f.random() < v.outlook.Shift
}

// cost returns the cost of one more call on a plain target, in units of one fully loaded target.
func (v *plainView) cost(now time.Time, t *Target, own int) float64 {
	sized := plainload.Sized{Target: t.plainLoad(), Slots: t.Slots}
	if !v.slowdowns {
		return sized.BusyShare(now, own)
	}
	return sized.Cost(now, own, v.outlook, v.regardSlowdown)
}

// PlainState is the load of a plain target on which a choice was based.
type PlainState struct {
	Reported bool          // the target has named a load to this instance
	Others   int           // calls of other instances that it named last
	Age      time.Duration // of the load that it named last
	Slowdown float64       // in force; 1: none known
}

func (t *Target) plainState(now time.Time) PlainState {
	load := t.plainLoad()
	s := PlainState{Slowdown: load.Slowdown(now)}
	if load.Reported() {
		s.Reported, s.Others, s.Age = true, load.Others(), load.Age(now)
	}
	return s
}
