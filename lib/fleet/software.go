package fleet

import (
	"fmt"
	"slices"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// Software is the version of the program that a target runs. Targets of several versions may serve side by side in one service, and a stream
// that one version began can't continue at another.
type Software struct {
	// ID identifies the version among all versions of all services; 0: unknown.
	ID uint64
	// Name is how the target names its version, shortened for logs.
	Name string
}

// maxSoftwareName bounds the name of a version in logs, in bytes.
const maxSoftwareName = 48

// NewSoftware returns the version that a target of a service names.
func NewSoftware(service, name string) Software {
	return Software{ID: softwareID(service + "\x00" + name), Name: name[:min(len(name), maxSoftwareName)]}
}

// UnnamedSoftware returns the version of an incarnation of a target that names none. It equals that of no other incarnation.
func UnnamedSoftware(service, id string, born int64) Software {
	return Software{ID: softwareID(fmt.Sprintf("%s\x00\x00%s\x00%d", service, id, born)), Name: "unnamed"}
}

// softwareID returns a hash that is never 0.
func softwareID(s string) uint64 { return max(1, rendezvous.Hash(s)) }

// runs reports whether a target runs a version; 0 stands for any.
func (t *Target) runs(software uint64) bool { return software == 0 || t.Software.ID == software }

// ResolveSoftware returns the version that a service's target has named since a stream began on it under an UnnamedSoftware: targets that start again
// while the list can't be read are used before their entry says which version they run. Any other version is returned as it is.
func (f *Fleet) ResolveSoftware(service string, id uint64) uint64 {
	if id == 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.index.targetsOf(service)
	for _, t := range targets {
		if t.Software.ID == id {
			return id
		}
	}
	for _, t := range targets {
		if t.Born != 0 && UnnamedSoftware(service, t.ID, t.Born).ID == id {
			return t.Software.ID
		}
	}
	return id
}

// RunsSoftware reports whether one of the given targets runs a version and accepts requests.
func (f *Fleet) RunsSoftware(among []string, software uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range among {
		if t := f.targets[id]; t != nil && f.accepts(t) && t.runs(software) {
			return true
		}
	}
	return false
}

// SoftwareOf lists the versions of those of the given targets that accept requests, at most limit, in ascending order of their ids.
func (f *Fleet) SoftwareOf(among []string, limit int) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []uint64
	for _, id := range among {
		t := f.targets[id]
		if t == nil || !f.accepts(t) {
			continue
		}
		if at, found := slices.BinarySearch(out, t.Software.ID); !found && len(out) < limit {
			out = slices.Insert(out, at, t.Software.ID)
		}
	}
	return out
}

// ServiceSoftware lists the versions of a service's known targets, those that leave included, in ascending order of their ids.
func (f *Fleet) ServiceSoftware(service string) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []uint64
	for _, t := range f.index.targetsOf(service) {
		if at, found := slices.BinarySearch(out, t.Software.ID); !found {
			out = slices.Insert(out, at, t.Software.ID)
		}
	}
	return out
}
