package fleet

import "slices"

// SetRegions sets the region of each failure domain.
func (f *Fleet) SetRegions(regions map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regions = regions
}

// Region returns the region of a failure domain; empty: unknown.
func (f *Fleet) Region(domain string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.regions[domain]
}

// accepts reports whether a target accepts new requests at all.
func (f *Fleet) accepts(t *Target) bool {
	return t.state == Ready && !t.unreadable && !f.isEvacuated(t.Domain)
}

// AllExcluded reports whether a service has targets and all of them are evacuated, outside the request's regions or excluded by it, so that waiting for
// capacity is pointless.
func (f *Fleet) AllExcluded(n Need) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.evacuated) == 0 && n.Regions == nil && len(n.Exclude) == 0 {
		return false
	}
	excluded := false
	for _, t := range f.index.targetsOf(n.Service) {
		if t.state != Ready || t.unreadable {
			continue
		}
		if f.accepts(t) && f.inRegions(t, n.Regions) && !n.Exclude[t.ID] {
			return false
		}
		excluded = true
	}
	return excluded
}

// DomainAllowed reports whether requests restricted to the given regions may go to a failure domain; nil means all regions.
func (f *Fleet) DomainAllowed(domain string, regions []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isEvacuated(domain) && f.domainInRegions(domain, regions)
}

// DomainInRegions is DomainAllowed without regard to evacuations.
func (f *Fleet) DomainInRegions(domain string, regions []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.domainInRegions(domain, regions)
}

// inRegions reports whether a target is in one of the given regions; nil means all. A failure domain of unknown region is in none: a
// request restricted to regions must not leave them on a guess.
func (f *Fleet) inRegions(t *Target, regions []string) bool {
	return f.domainInRegions(t.Domain, regions)
}

func (f *Fleet) domainInRegions(domain string, regions []string) bool {
	if regions == nil {
		return true
	}
	region, known := f.regions[domain]
	return known && slices.Contains(regions, region)
}
