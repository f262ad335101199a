package fleet

import (
	"cmp"
	"slices"
	"time"
)

// index finds targets without a walk over all of them.
type index struct {
	services map[string]*roster
	missing  map[string]*Target // whose entries a list read after an outage has not had
	worded   map[string]*Target // that have named a limit or want to rest
	granted  map[string]*Target // that are held for what owners sent there
	left     []leaver           // in the order in which they left
}

// roster lists a service's targets.
type roster struct {
	targets []*Target      // in the order of their ids, but for the last ones
	late    int            // how many are not in order yet
	ready   map[string]int // targets that take requests, evacuations aside, by failure domain
}

// leaver is a target that left at a time.
type leaver struct {
	t  *Target
	at time.Time
}

// still reports whether the target has not come back since.
func (l *leaver) still() bool { return l.t.state == Leaving && l.t.leavingAt.Equal(l.at) }

// seat is where a target is counted in the index.
type seat struct {
	service, domain string
	ready           bool
	leftAt          time.Time
}

func newIndex() index {
	return index{services: make(map[string]*roster), missing: make(map[string]*Target), worded: make(map[string]*Target), granted: make(map[string]*Target)}
}

// of returns a service's targets in the order of their ids: the same choice for the same state.
func (x *index) of(service string) []*Target {
	r := x.services[service]
	if r == nil {
		return nil
	}
	r.order()
	return r.targets
}

// lateMost is the part of a roster up to which targets that came late are each put in their place; of more all are sorted.
const lateMost = 0.01

func (r *roster) order() {
	n := len(r.targets) - r.late
	if float64(r.late) > lateMost*float64(n) {
		slices.SortFunc(r.targets, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
		r.late = 0
	}
	for ; r.late > 0; r.late-- {
		t := r.targets[n]
		at, _ := slices.BinarySearchFunc(r.targets[:n], t.ID, func(o *Target, id string) int { return cmp.Compare(o.ID, id) })
		copy(r.targets[at+1:n+1], r.targets[at:n])
		r.targets[at] = t
		n++
	}
}

// place brings the index up to date with a target.
func (x *index) place(t *Target) {
	if t.isGranted() {
		x.granted[t.ID] = t
	} else {
		delete(x.granted, t.ID)
		x.seat(t)
	}
	if t.missing.IsZero() {
		delete(x.missing, t.ID)
	} else {
		x.missing[t.ID] = t
	}
	if t.state == Leaving && !t.seat.leftAt.Equal(t.leavingAt) {
		t.seat.leftAt = t.leavingAt
		x.left = append(x.left, leaver{t: t, at: t.leavingAt})
	}
}

// seat lists a target among those of its service.
func (x *index) seat(t *Target) {
	ready := t.state == Ready && !t.unreadable
	if s := t.seat; s.service != t.Service || s.domain != t.Domain || s.ready != ready {
		x.reseat(t, ready)
	}
}

func (x *index) reseat(t *Target, ready bool) {
	if t.seat.service != t.Service {
		x.unlist(t)
		r := x.roster(t.Service)
		r.targets = append(r.targets, t)
		r.late++
	}
	if t.seat.ready {
		x.services[t.seat.service].ready[t.seat.domain]--
	}
	t.seat.service, t.seat.domain, t.seat.ready = t.Service, t.Domain, ready
	if ready {
		x.services[t.Service].ready[t.Domain]++
	}
}

func (x *index) roster(service string) *roster {
	r := x.services[service]
	if r == nil {
		r = &roster{ready: make(map[string]int)}
		x.services[service] = r
	}
	return r
}

// unlist takes a target off its service's roster.
func (x *index) unlist(t *Target) {
	r := x.services[t.seat.service]
	if r == nil {
		return
	}
	if t.seat.ready {
		r.ready[t.seat.domain]--
		t.seat.ready = false
	}
	r.order()
	if at := slices.Index(r.targets, t); at >= 0 {
		r.targets = slices.Delete(r.targets, at, at+1)
	}
	t.seat.service = ""
}

// remove forgets a target.
func (x *index) remove(t *Target) {
	x.unlist(t)
	delete(x.missing, t.ID)
	delete(x.worded, t.ID)
	delete(x.granted, t.ID)
}

// leftSince calls visit for the targets that have left since a time, the last first, until that returns false.
func (x *index) leftSince(at time.Time, visit func(*Target) bool) {
	for i := len(x.left) - 1; i >= 0 && x.left[i].at.After(at); i-- {
		if x.left[i].still() && !visit(x.left[i].t) {
			return
		}
	}
}

// leftBefore calls drop for the targets that left before a time. One for which it returns true is not visited again.
func (x *index) leftBefore(at time.Time, drop func(*Target) bool) {
	n, kept := 0, x.left[:0]
	for ; n < len(x.left) && x.left[n].at.Before(at); n++ {
		if l := x.left[n]; l.still() && !drop(l.t) {
			kept = append(kept, l)
		}
	}
	if n > len(kept) {
		x.left = append(kept, x.left[n:]...)
	}
}
