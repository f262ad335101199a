package fleet

import "slices"

// SetRegions sets the region of each failure domain.
func (f *Fleet) SetRegions(regions map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regions = regions
}

// takes reports whether a target takes new requests at all.
func (f *Fleet) takes(t *Target) bool {
	return t.state == Ready && !t.unreadable && !f.evacuated[t.Domain]
}

// AllExcluded reports whether targets of a service are there, and all of them are evacuated or outside the request's regions. Who waits
// for room there waits in vain.
func (f *Fleet) AllExcluded(n Need) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.evacuated) == 0 && n.Regions == nil {
		return false
	}
	barred := false
	for _, t := range f.index.of(n.Service) {
		if t.state != Ready || t.unreadable {
			continue
		}
		if f.takes(t) && f.within(t, n.Regions) {
			return false
		}
		barred = true
	}
	return barred
}

// DomainAllowed reports whether requests that are bound to some regions may go to a failure domain; nil stands for all regions.
func (f *Fleet) DomainAllowed(domain string, regions []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.evacuated[domain] && f.inRegions(domain, regions)
}

// within reports whether a target lies in one of some regions; nil stands for all. A failure domain whose region is not known
// lies in none: a request that is bound to regions must not leave them on a guess.
func (f *Fleet) within(t *Target, regions []string) bool { return f.inRegions(t.Domain, regions) }

func (f *Fleet) inRegions(domain string, regions []string) bool {
	if regions == nil {
		return true
	}
	region, known := f.regions[domain]
	return known && slices.Contains(regions, region)
}
