package owner

import (
	"slices"
	"sync/atomic"
)

// members are the ids of a shard's engines, sorted. Readers have a list that is not changed any more; a change replaces it.
type members struct {
	ids   atomic.Pointer[[]string]
	draft []string // the next list, while it is changed
	open  bool     // draft is a copy
}

func newMembers(ids []string) *members {
	m := new(members)
	slices.Sort(ids)
	m.ids.Store(&ids)
	return m
}

func (m *members) list() []string { return *m.ids.Load() }

// edit returns the list to change; publish puts it in force.
func (m *members) edit() *[]string {
	if !m.open {
		m.draft, m.open = slices.Clone(m.list()), true
	}
	return &m.draft
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
	if m.open {
		ids := m.draft
		m.ids.Store(&ids)
		m.draft, m.open = nil, false
	}
}
