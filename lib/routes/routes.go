// Package routes holds the operators' settings for requests that are forwarded to targets unchanged: which service receives
// a request, how often it may be sent, and which workspace its key belongs to.
//
// A Revision is the settings as written; a Table is a Revision indexed for lookups. Both are immutable once built.
package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests of a route may be repeated.
type Kind uint8

const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once per attempt of the caller
	Stream                        // numbered events; like NonIdempotent unless the route is Resumable
)

var kindNames = [...]string{Idempotent: "idempotent", NonIdempotent: "non-idempotent", Stream: "stream"}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "unknown"
}

// Share is the share of a route's requests that a service receives.
type Share struct {
	Service string
	Weight  float64
}

// Route is one routing rule.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration // time limit for a response; 0: none
	LatencyObjective   time.Duration // longest time to a response, or to a stream's first event, that counts as fully useful
	GapObjective       time.Duration // longest gap between events of a stream that counts as fully useful
	Priority           int           // 0 is the most urgent
	MaxAttempts        int           // number of targets that one attempt of the caller may be sent to
	Public             bool          // no key is required
	Affinity           bool          // requests identify the parts of their prompt
	Resumable          bool          // a stream may be resumed at another target after its last event
	Split              []Share
	Regions            []string // where its requests may run; empty: anywhere
}

// MayRepeat reports whether a request that may already have run can be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the capabilities of a service's model engines.
type Engine struct {
	Slots           int
	KVTokens        int // tokens that fit into an engine's key-value cache
	KVBytes         float64
	LinkMbps        float64
	SupportsMoves   bool // runs can be copied to another engine
	SupportsBackups bool // runs can be copied while they grow
	TokensPerEvent  int  // number of tokens in an event
	HandleTTL       time.Duration
}

// Service is a set of targets.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int           // connections that a target accepts from all instances together
	WarmupTime time.Duration // how long a target is slow after it starts
	WarmupRate float64       // requests per second that it takes during WarmupTime, from all instances together; 0: no limit
	Engine     *Engine
}

// Workspace holds the keys of one workspace.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int     // overrides the route's
	Regions  []string // where its requests may run; empty: anywhere
}

// Limits bounds requests of callers. Zero means no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Revision is one revision of the settings as written.
type Revision struct {
	Version     int64
	Routes      []Route
	Services    []Service
	Workspaces  []Workspace
	KeyRequired bool // requests need a key, even if there is no workspace
	Limits      Limits
}

// Table answers lookups in one revision.
type Table struct {
	Version         int64
	Limits          Limits
	KeyRequired     bool
	hosts           map[string][]*Route // longest prefix first
	workspaceByKey  map[string]*Workspace
	workspaceByName map[string]*Workspace
	services        map[string]*Service
	bindsRegions    bool
}

// NewTable indexes a revision. It rejects one that could route requests wrongly.
func NewTable(rev *Revision) (*Table, error) {
	t := &Table{
		Version: rev.Version, Limits: rev.Limits, KeyRequired: rev.KeyRequired,
		hosts: make(map[string][]*Route), workspaceByKey: make(map[string]*Workspace),
		workspaceByName: make(map[string]*Workspace), services: make(map[string]*Service),
	}
	for i := range rev.Services {
		t.services[rev.Services[i].Name] = &rev.Services[i]
	}
	for i := range rev.Routes {
		r := &rev.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return nil, err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		t.bindsRegions = t.bindsRegions || len(r.Regions) > 0
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range rev.Workspaces {
		w := &rev.Workspaces[i]
		t.workspaceByName[w.Name] = w
		t.bindsRegions = t.bindsRegions || len(w.Regions) > 0
		for _, key := range w.Keys {
			t.workspaceByKey[key] = w
		}
	}
	return t, nil
}

func (t *Table) checkRoute(r *Route) error {
	if r.Kind < Idempotent || r.Kind > Stream {
		return fmt.Errorf("routes: route %q: unknown kind", r.Name)
	}
	if len(r.Split) == 0 {
		return fmt.Errorf("routes: route %q: no service", r.Name)
	}
	for _, s := range r.Split {
		if t.services[s.Service] == nil {
			return fmt.Errorf("routes: route %q: unknown service %q", r.Name, s.Service)
		}
	}
	return nil
}

// Match returns the route of a request, or nil. The longest matching prefix wins.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceForKey returns the workspace that owns a key, or nil.
func (t *Table) WorkspaceForKey(key string) *Workspace { return t.workspaceByKey[key] }

// Regions returns the regions in which a workspace's requests on a route may run; nil means anywhere. If both workspace and
// route restrict regions, the result is their intersection, which may be empty but is not nil.
func (t *Table) Regions(r *Route, workspace string) []string {
	w := t.workspaceByName[workspace]
	switch {
	case w == nil || len(w.Regions) == 0:
		if len(r.Regions) == 0 {
			return nil
		}
		return r.Regions
	case len(r.Regions) == 0:
		return w.Regions
	}
	both := []string{}
	for _, region := range r.Regions {
		if slices.Contains(w.Regions, region) {
			both = append(both, region)
		}
	}
	return both
}

// BindsRegions reports whether requests of any route or workspace may run in some regions only.
func (t *Table) BindsRegions() bool { return t.bindsRegions }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// EachService calls f for each service.
func (t *Table) EachService(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// TightestGap returns the tightest objective for pauses between events among the routes that lead to a service; 0 if none has one.
func (t *Table) TightestGap(service string) time.Duration {
	tightest := time.Duration(0)
	for _, list := range t.hosts {
		for _, r := range list {
			leads := slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service })
			if leads && r.GapObjective > 0 && (tightest == 0 || r.GapObjective < tightest) {
				tightest = r.GapObjective
			}
		}
	}
	return tightest
}

// PickService picks the service of a request by the weights of the route's split; u is uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return r.Split[0].Service
	}
	u *= total
	for _, s := range r.Split {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
