package fleet

import (
	"fmt"
	"time"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// A stream may begin at a target that was not queried which incarnation it is, and that may have started again with another software version since it was
// listed. Its record then names the listed version by the upper half, and the target's listed incarnation by the lower half, so that whoever continues the
// stream can query that target.
const incarnationBits = 32

const (
	// maxIncarnations bounds the incarnations of a target that are remembered.
	maxIncarnations = 4
	// historyRetention is how long the incarnations of a target that has left are remembered. No stream lasts as long.
	historyRetention = 10 * time.Minute
)

// UnprovenRecord returns the record of a stream that began at a target, as far as is known at the given incarnation.
func UnprovenRecord(target Info) uint64 {
	return target.Software.ID>>incarnationBits<<incarnationBits | uint64(incarnationHash(target.ID, target.Born))
}

func incarnationHash(id string, born int64) uint32 {
	return uint32(rendezvous.Hash(fmt.Sprintf("%s\x00%d", id, born)))
}

// history holds the incarnations of a target, in order of their starts.
type history struct {
	service      string
	incarnations []incarnation
	goneAt       time.Time // when the target was forgotten; zero: it is known
}

type incarnation struct {
	born     int64
	software uint64
	replaced bool // a later incarnation has run another version
}

// recordIncarnation records the incarnation of a known target.
func (f *Fleet) recordIncarnation(e Info) {
	if e.Born == 0 {
		return
	}
	h := f.histories[e.ID]
	if h == nil || h.service != e.Service {
		h = &history{service: e.Service}
		f.histories[e.ID] = h
	}
	h.goneAt = time.Time{}
	h.add(e)
}

func (h *history) add(e Info) {
	last := len(h.incarnations) - 1
	if last < 0 || e.Born > h.incarnations[last].born {
		h.incarnations = append(h.incarnations, incarnation{born: e.Born})
		if len(h.incarnations) > maxIncarnations {
			h.incarnations = h.incarnations[1:]
		}
		last = len(h.incarnations) - 1
	}
	h.incarnations[last].software = e.Software.ID
	if !e.namesSoftware() {
		return
	}
	for i := range h.incarnations[:last] {
		earlier := &h.incarnations[i]
		earlier.replaced = earlier.replaced || earlier.software != e.Software.ID
	}
}

// namesSoftware reports whether the target's entry names a version.
func (i Info) namesSoftware() bool { return i.Software != UnnamedSoftware(i.Service, i.ID, i.Born) }

// endHistory records that a target is forgotten, and drops the histories of those that were forgotten long ago.
func (f *Fleet) endHistory(now time.Time, id string) {
	for old, h := range f.histories {
		if !h.goneAt.IsZero() && now.Sub(h.goneAt) > historyRetention {
			delete(f.histories, old)
		}
	}
	if h := f.histories[id]; h != nil {
		h.goneAt = now
	}
}

// Beginning is where a stream with an UnprovenRecord began.
type Beginning struct {
	Software uint64 // that the record names; 0: another one is possible
	Target   Info   // to be queried whether it is still the listed incarnation; zero: none
	Pending  bool   // without Software: a later incarnation has not named its version yet
}

// Beginning returns what is known of a record; ok is false unless it is an UnprovenRecord of a known version.
func (f *Fleet) Beginning(service string, record uint64) (b Beginning, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := f.knownVersions(service)
	if versions[record] {
		return Beginning{}, false
	}
	software := versionOfRecord(versions, record)
	if software == 0 {
		return Beginning{}, false
	}
	if id, began, known := f.incarnationOf(service, record); known {
		return f.beginningAt(id, began), true
	}
	if len(versions) > 1 {
		return Beginning{}, true
	}
	return Beginning{Software: software}, true
}

// knownVersions returns the versions that a service's targets run or have run.
func (f *Fleet) knownVersions(service string) map[uint64]bool {
	out := make(map[uint64]bool)
	for _, t := range f.index.targetsOf(service) {
		out[t.Software.ID] = true
	}
	for _, h := range f.histories {
		if h.service != service {
			continue
		}
		for _, in := range h.incarnations {
			out[in.software] = true
		}
	}
	return out
}

// versionOfRecord returns the version that an UnprovenRecord names; 0: none of the given ones.
func versionOfRecord(versions map[uint64]bool, record uint64) uint64 {
	for version := range versions {
		if version>>incarnationBits == record>>incarnationBits {
			return version
		}
	}
	return 0
}

// incarnationOf returns the incarnation that an UnprovenRecord names.
func (f *Fleet) incarnationOf(service string, record uint64) (id string, in incarnation, known bool) {
	for id, h := range f.histories {
		if h.service != service {
			continue
		}
		for _, in := range h.incarnations {
			if incarnationHash(id, in.born) == uint32(record) {
				return id, in, true
			}
		}
	}
	return "", incarnation{}, false
}

// beginningAt returns what is known of a stream that began at an incarnation or at a later one.
func (f *Fleet) beginningAt(id string, began incarnation) Beginning {
	t := f.targets[id]
	switch {
	case began.replaced:
		return Beginning{}
	case t == nil:
		return Beginning{Software: began.software}
	case t.Born == began.born:
		return Beginning{Software: began.software, Target: t.Info}
	case !t.namesSoftware():
		return Beginning{Pending: true}
	}
	return Beginning{Software: began.software}
}
