// Package routes holds what operators set for requests that are passed through to targets unchanged: which service a
// request goes to, how often it may be sent, and whose key it bears.
//
// A Revision is what was written; a Table is a Revision made ready for look-ups. Both are immutable once built.
package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once for each attempt of the caller
	Stream                        // numbered events; as NonIdempotent unless the route is Resumable
)

var kindNames = [...]string{Idempotent: "idempotent", NonIdempotent: "non-idempotent", Stream: "stream"}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "unknown"
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route is one rule for requests.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration // longest time to an answer; 0: none
	LatencyObjective   time.Duration // time to an answer, or to a stream's first event, of full worth
	GapObjective       time.Duration // longest pause in a stream of full worth
	Priority           int           // 0 is the most urgent
	MaxAttempts        int           // targets that one attempt of the caller may be sent to
	Public             bool          // no key is asked for
	Affinity           bool          // requests name the parts of their prompt
	Resumable          bool          // a stream may go on at another target after its last event
	Split              []Share
	Regions            []string // where its requests may run; empty: anywhere
}

// MayRepeat reports whether a request that may have run can be sent once more.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine is what a service's model engines can do.
type Engine struct {
	Slots           int
	KVTokens        int // tokens that fit into an engine's memory
	KVBytes         float64
	LinkMbps        float64
	SupportsMoves   bool // runs can be copied to another engine
	SupportsBackups bool // runs can be copied while they grow
	TokensPerEvent  int  // tokens in an event
	HandleTTL       time.Duration
}

// Service is a set of targets.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int           // connections a target accepts from all instances together
	WarmupTime time.Duration // a target is slow for so long after it starts
	WarmupRate float64       // requests a second that it takes meanwhile, from all instances together; 0: as many as ever
	Engine     *Engine
}

// Workspace holds the keys of one workspace.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int     // goes before the route's
	Regions  []string // where its requests may run; empty: anywhere
}

// Limits bound what a caller may send. Zero means none.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Revision is one state of the settings as written.
type Revision struct {
	Version     int64
	Routes      []Route
	Services    []Service
	Workspaces  []Workspace
	KeyRequired bool // requests need a key, even when no workspace is left
	Limits      Limits
}

// Table answers look-ups in one revision.
type Table struct {
	Version     int64
	Limits      Limits
	KeyRequired bool
	hosts       map[string][]*Route // longest prefix first
	keys        map[string]*Workspace
	names       map[string]*Workspace
	services    map[string]*Service
}

// NewTable indexes a revision. It refuses one that could route a request wrongly.
func NewTable(rev *Revision) (*Table, error) {
	t := &Table{
		Version: rev.Version, Limits: rev.Limits, KeyRequired: rev.KeyRequired,
		hosts: make(map[string][]*Route), keys: make(map[string]*Workspace),
		names: make(map[string]*Workspace), services: make(map[string]*Service),
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
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range rev.Workspaces {
		w := &rev.Workspaces[i]
		t.names[w.Name] = w
		for _, key := range w.Keys {
			t.keys[key] = w
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

// Match returns the route of a request, nil when there is none. A path belongs to the route with the longest prefix.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceForKey returns the workspace that holds a key, nil when none does.
func (t *Table) WorkspaceForKey(key string) *Workspace { return t.keys[key] }

// Regions returns where a workspace's requests on a route may run. Where both name regions, both bind: the result is not nil then,
// but may be empty. nil: anywhere.
func (t *Table) Regions(r *Route, workspace string) []string {
	w := t.names[workspace]
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

// Service returns a service by name, nil when there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// EachService calls f for each service.
func (t *Table) EachService(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// PickService picks the service of a request by the route's split; u is uniform in [0, 1).
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
