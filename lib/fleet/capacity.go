package fleet

import "time"

// ChooseForCopy chooses the engine with the most free memory for a copy of a run; the caller counts the copy there. It chooses none that
// would be left with less than the share minFree of its memory, since copies must not displace runs. Paced engines are excluded: a run that
// resumes from its copy can't wait for its turn there.
func (f *Fleet) ChooseForCopy(now time.Time, n Need, exclude string, minFree float64) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	memory := f.specs[n.Service].KVTokens
	var best *Target
	mostFree := int(minFree * float64(memory))
	for _, t := range f.among(n.Service, n.Among) {
		if t.Service != n.Service || !f.accepts(t) || t.ID == exclude || !t.runs(n.Software) || !f.inRegions(t, n.Regions) || f.isPaced(now, t) {
			continue
		}
		if free := memory - f.totalLoad(t).Tokens - n.Tokens; free > mostFree {
			best, mostFree = t, free
		}
	}
	if best == nil {
		return Info{}, false
	}
	return best.Info, true
}

// Utilization returns the share of the given engines' memory that is in use, with unprefilled prompt tokens weighted as in target
// selection, plus the tokens that wait for capacity there. It is at least 1 if none of them accepts requests.
func (f *Fleet) Utilization(among []string, waiting int) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	used, capacity := float64(waiting), 0.0
	for _, id := range among {
		t := f.targets[id]
		if t == nil || !f.accepts(t) {
			continue
		}
		load := f.totalLoad(t)
		used += float64(load.Tokens) + unreadWeight*float64(load.Unread)
		capacity += float64(f.specs[t.Service].KVTokens)
	}
	if capacity == 0 {
		return 1
	}
	return used / capacity
}

// Candidate is a target of a service that accepts requests, with its engine memory, in tokens, that is not known to be in use.
type Candidate struct {
	Info
	Free int
}

// MaxFreeTokens returns the largest memory, in tokens, that a run may take on one of the given engines beside the runs there.
func (f *Fleet) MaxFreeTokens(among []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, id := range among {
		t := f.targets[id]
		if t == nil || !f.accepts(t) {
			continue
		}
		usable := maxFill * float64(f.specs[t.Service].KVTokens)
		most = max(most, int(usable)-Peak(f.sizesOn(t)))
	}
	return most
}

// EngineWithMostFree returns the engine, except excluded ones, where a request may run that has the most free memory beside its runs; empty if none
// accepts it.
func (f *Fleet) EngineWithMostFree(among []string, exclude map[string]bool, n *Need) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, mostFree := "", 0
	for _, id := range among {
		t := f.targets[id]
		if exclude[id] || t == nil || !f.accepts(t) || !f.mayRunOn(t, n) {
			continue
		}
		if free := f.specs[t.Service].KVTokens - Peak(f.sizesOn(t)); best == "" || free > mostFree {
			best, mostFree = id, free
		}
	}
	return best
}

// mayRunOn reports whether a request may run on a target at all, whatever room that has.
func (f *Fleet) mayRunOn(t *Target, n *Need) bool {
	return !n.Exclude[t.ID] && t.runs(n.Software) && f.inRegions(t, n.Regions)
}

// MoveCandidates lists the engines of a service that runs can move to, out of the given ids or, if nil, of all. Cold engines are left out,
// since a stopped run can't wait for its turn. Engines with a limit are listed only if there are no others.
func (f *Fleet) MoveCandidates(now time.Time, service string, among []string) []Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out, limited []Candidate
	for _, t := range f.among(service, among) {
		if t.Service != service || !f.accepts(t) || f.isCold(now, t) || now.Before(t.backoffUntil) {
			continue
		}
		candidate := Candidate{Info: t.Info, Free: f.specs[service].KVTokens - f.totalLoad(t).Tokens}
		if t.limit.On {
			limited = append(limited, candidate)
			continue
		}
		out = append(out, candidate)
	}
	if len(out) == 0 {
		return limited
	}
	return out
}

// SplitBusy divides targets into those that carry runs of any instance, as far as known, and the others.
func (f *Fleet) SplitBusy(ids []string) (busy, idle []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if t := f.targets[id]; t != nil && f.totalLoad(t).Runs > 0 {
			busy = append(busy, id)
		} else {
			idle = append(idle, id)
		}
	}
	return busy, idle
}

// Memory returns the memory, in tokens, of a service's engines; 0 for a plain service.
func (f *Fleet) Memory(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.specs[service].KVTokens
}
