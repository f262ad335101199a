package fleet

import "time"

// ChooseForCopy chooses the engine with the most free memory for a copy of a run, which the caller of Spare counts there. It gives
// none where less than the share free of an engine's memory would be left: copies must not push out runs. Paced engines get none: a run
// that goes on from its copy can't wait for its turn there.
func (f *Fleet) ChooseForCopy(now time.Time, n Need, without string, free float64) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kv := f.specs[n.Service].KVTokens
	var best *Target
	most := int(free * float64(kv))
	for _, t := range f.among(n.Service, n.Among) {
		if t.Service != n.Service || !f.takes(t) || t.ID == without || !f.within(t, n.Regions) || f.isPaced(now, t) {
			continue
		}
		if left := kv - f.carried(t).Tokens - n.Tokens; left > most {
			best, most = t, left
		}
	}
	if best == nil {
		return Info{}, false
	}
	return best.Info, true
}

// Utilization is the part of the memory of some engines that is spoken for, with prompts to read weighed as in a choice, and with
// tokens that wait for room there. It is 1 and more where none takes requests.
func (f *Fleet) Utilization(among []string, waiting int) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	used, room := float64(waiting), 0.0
	for _, id := range among {
		t := f.targets[id]
		if t == nil || !f.takes(t) {
			continue
		}
		load := f.carried(t)
		used += float64(load.Tokens) + unreadWeight*float64(load.Unread)
		room += float64(f.specs[t.Service].KVTokens)
	}
	if room == 0 {
		return 1
	}
	return used / room
}

// Candidate is a target of a service that takes requests, and the engine memory in tokens that nobody is known to use.
type Candidate struct {
	Info
	Free int
}

// MaxFreeTokens is the largest memory, in tokens, that a run may take on one of some engines beside the runs there.
func (f *Fleet) MaxFreeTokens(among []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, id := range among {
		t := f.targets[id]
		if t == nil || !f.takes(t) {
			continue
		}
		kv := fillShare * float64(f.specs[t.Service].KVTokens)
		most = max(most, int(kv)-Peak(f.sizesOn(t)))
	}
	return most
}

// EngineWithMostFree is the engine, of some without others, that has the most room for a run beside those there; empty: none takes
// requests.
func (f *Fleet) EngineWithMostFree(among []string, without map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, most := "", 0
	for _, id := range among {
		t := f.targets[id]
		if without[id] || t == nil || !f.takes(t) {
			continue
		}
		if room := f.specs[t.Service].KVTokens - Peak(f.sizesOn(t)); best == "" || room > most {
			best, most = id, room
		}
	}
	return best
}

// MoveCandidates lists the engines of a service that runs can move to, among those named or, with nil, among all. Paced engines are left out: a
// run that was stopped can't wait for its turn. Those that have named a limit are listed where there are no others.
func (f *Fleet) MoveCandidates(now time.Time, service string, among []string) []Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out, limited []Candidate
	for _, t := range f.among(service, among) {
		if t.Service != service || !f.takes(t) || f.isCold(now, t) || now.Before(t.restUntil) {
			continue
		}
		room := Candidate{Info: t.Info, Free: f.specs[service].KVTokens - f.carried(t).Tokens}
		if t.limit.On {
			limited = append(limited, room)
			continue
		}
		out = append(out, room)
	}
	if len(out) == 0 {
		return limited
	}
	return out
}

// SplitBusy divides targets into those that carry runs of any instance, as far as is known, and others.
func (f *Fleet) SplitBusy(ids []string) (busy, idle []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if t := f.targets[id]; t != nil && f.carried(t).Runs > 0 {
			busy = append(busy, id)
		} else {
			idle = append(idle, id)
		}
	}
	return busy, idle
}

// Memory is the memory, in tokens, of a service's engines; 0 for a plain service.
func (f *Fleet) Memory(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.specs[service].KVTokens
}
