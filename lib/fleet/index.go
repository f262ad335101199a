package fleet

import (
	"cmp"
	"slices"
	"time"
)

// index finds targets without scanning all of them.
type index struct {
	services   map[string]*serviceTargets
	missing    map[string]*Target // whose entries were missing from a list read after an outage
	signalled  map[string]*Target // that announced a limit or asked for backoff
	granted    map[string]*Target // held only for requests placed by owners
	departures []departure        // ordered by time of leaving
}

// serviceTargets holds the targets of one service.
type serviceTargets struct {
	targets  []*Target      // ordered by id, except for the last unsorted ones
	unsorted int            // number of targets at the end that are not in order yet
	ready    map[string]int // targets that accept requests, regardless of evacuations, by failure domain
}

// departure records that a target left at a given time.
type departure struct {
	t  *Target
	at time.Time
}

// current reports whether the target has not returned since.
func (l *departure) current() bool { return l.t.state == Leaving && l.t.leftAt.Equal(l.at) }

// indexEntry records where the index counts a target.
type indexEntry struct {
	service, domain string
	ready           bool
	leftAt          time.Time
}

func newIndex() index {
	return index{
		services: make(map[string]*serviceTargets), missing: make(map[string]*Target),
		signalled: make(map[string]*Target), granted: make(map[string]*Target),
	}
}

// targetsOf returns a service's targets ordered by id, so that equal state gives equal choices.
func (x *index) targetsOf(service string) []*Target {
	r := x.services[service]
	if r == nil {
		return nil
	}
	r.sort()
	return r.targets
}

// maxUnsortedShare is the share of unsorted targets up to which each is inserted in place; beyond it, the whole list is sorted.
const maxUnsortedShare = 0.01

func (r *serviceTargets) sort() {
	n := len(r.targets) - r.unsorted
	if float64(r.unsorted) > maxUnsortedShare*float64(n) {
		slices.SortFunc(r.targets, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
		r.unsorted = 0
	}
	for ; r.unsorted > 0; r.unsorted-- {
		t := r.targets[n]
		at, _ := slices.BinarySearchFunc(r.targets[:n], t.ID, func(o *Target, id string) int { return cmp.Compare(o.ID, id) })
		copy(r.targets[at+1:n+1], r.targets[at:n])
		r.targets[at] = t
		n++
	}
}

// update brings the index up to date with a target.
func (x *index) update(t *Target) {
	if t.isGranted() {
		x.granted[t.ID] = t
	} else {
		delete(x.granted, t.ID)
		x.updateListing(t)
	}
	if t.missingSince.IsZero() {
		delete(x.missing, t.ID)
	} else {
		x.missing[t.ID] = t
	}
	if t.state == Leaving && !t.listing.leftAt.Equal(t.leftAt) {
		t.listing.leftAt = t.leftAt
		x.departures = append(x.departures, departure{t: t, at: t.leftAt})
	}
}

// updateListing updates the target's place and ready count in its service.
func (x *index) updateListing(t *Target) {
	ready := t.state == Ready && !t.unreadable
	if s := t.listing; s.service != t.Service || s.domain != t.Domain || s.ready != ready {
		x.relist(t, ready)
	}
}

func (x *index) relist(t *Target, ready bool) {
	if t.listing.service != t.Service {
		x.unlist(t)
		r := x.ensureService(t.Service)
		r.targets = append(r.targets, t)
		r.unsorted++
	}
	if t.listing.ready {
		x.services[t.listing.service].ready[t.listing.domain]--
	}
	t.listing.service, t.listing.domain, t.listing.ready = t.Service, t.Domain, ready
	if ready {
		x.services[t.Service].ready[t.Domain]++
	}
}

func (x *index) ensureService(service string) *serviceTargets {
	r := x.services[service]
	if r == nil {
		r = &serviceTargets{ready: make(map[string]int)}
		x.services[service] = r
	}
	return r
}

// unlist removes a target from the list of its service.
func (x *index) unlist(t *Target) {
	r := x.services[t.listing.service]
	if r == nil {
		return
	}
	if t.listing.ready {
		r.ready[t.listing.domain]--
		t.listing.ready = false
	}
	r.sort()
	if at := slices.Index(r.targets, t); at >= 0 {
		r.targets = slices.Delete(r.targets, at, at+1)
	}
	t.listing.service = ""
}

// remove deletes a target from the index.
func (x *index) remove(t *Target) {
	x.unlist(t)
	delete(x.missing, t.ID)
	delete(x.signalled, t.ID)
	delete(x.granted, t.ID)
}

// leftSince calls visit for the targets that left after a time, the latest first, until visit returns false.
func (x *index) leftSince(at time.Time, visit func(*Target) bool) {
	for i := len(x.departures) - 1; i >= 0 && x.departures[i].at.After(at); i-- {
		if x.departures[i].current() && !visit(x.departures[i].t) {
			return
		}
	}
}

// leftBefore calls drop for the targets that left before a time. Those for which drop returns true are removed.
func (x *index) leftBefore(at time.Time, drop func(*Target) bool) {
	n, kept := 0, x.departures[:0]
	for ; n < len(x.departures) && x.departures[n].at.Before(at); n++ {
		if l := x.departures[n]; l.current() && !drop(l.t) {
			kept = append(kept, l)
		}
	}
	if n > len(kept) {
		x.departures = append(kept, x.departures[n:]...)
	}
}
