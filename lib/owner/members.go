package owner

import (
	"slices"
	"sync/atomic"
)

// members is the sorted list of the IDs of a shard's engines. Readers get an immutable list; an edit replaces it.
type members struct {
	ids     atomic.Pointer[[]string]
	next    []string // the next list while it is being edited
	editing bool     // next is a private copy
}

func newMembers(ids []string) *members {
	m := new(members)
	slices.Sort(ids)
	m.ids.Store(&ids)
	return m
}

func (m *members) list() []string { return *m.ids.Load() }

// edit returns the list to be changed; publish makes it visible to readers.
func (m *members) edit() *[]string {
	if !m.editing {
		m.next, m.editing = slices.Clone(m.list()), true
	}
	return &m.next
}

func (m *members) add(id string) {
	ids := m.edit()
	if at, known := slices.BinarySearch(*ids, id); !known {
		*ids = slices.Insert(*ids, at, id)
	}
}

func (m *members) remove(id string) {
	ids := m.edit()
	if at, known := slices.BinarySearch(*ids, id); known {
		*ids = slices.Delete(*ids, at, at+1)
	}
}

func (m *members) publish() {
	if m.editing {
		ids := m.next
		m.ids.Store(&ids)
		m.next, m.editing = nil, false
	}
}
