package platform

import (
	"sort"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/platformapi"
)

type listVersion struct {
	at   time.Time
	list []platformapi.Instance
}

// instances keeps the history of the instance list, so that it can be served with a lag.
type instances struct {
	mu       sync.Mutex
	versions []listVersion // oldest first
}

func (in *instances) newest() []platformapi.Instance {
	if len(in.versions) == 0 {
		return nil
	}
	return in.versions[len(in.versions)-1].list
}

// put adds or replaces one instance.
func (in *instances) put(inst platformapi.Instance, now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.replace(inst.ID, &inst, now)
}

// remove deletes one instance from the list.
func (in *instances) remove(id string, now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.replace(id, nil, now)
}

func (in *instances) replace(id string, with *platformapi.Instance, now time.Time) {
	var next []platformapi.Instance
	for _, it := range in.newest() {
		if it.ID != id {
			next = append(next, it)
		}
	}
	if with != nil {
		next = append(next, *with)
	}
	sort.Slice(next, func(i, j int) bool { return next[i].ID < next[j].ID })
	in.versions = append(in.versions, listVersion{at: now, list: next})
	in.trim(now)
}

func (in *instances) trim(now time.Time) {
	for len(in.versions) > 1 && now.Sub(in.versions[1].at) > versionRetention {
		in.versions = in.versions[1:]
	}
}

// asOf returns the list as it was at t.
func (in *instances) asOf(t time.Time) platformapi.InstanceList {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := platformapi.InstanceList{Instances: []platformapi.Instance{}}
	for _, v := range in.versions {
		if v.at.After(t) {
			break
		}
		out.Instances = append([]platformapi.Instance{}, v.list...)
	}
	return out
}
