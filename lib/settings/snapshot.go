package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
)

// Snapshot is one resolved revision. It is immutable; programs replace it as a whole.
type Snapshot struct {
	Revision   uint64
	Site       Site
	Services   map[string]*Service
	Workspaces map[string]*Workspace

	policies map[policyKey]*Policy
	keys     []keyOwner
	routes   []serviceRoute // longest prefix first
	models   map[string]*Service
}

// policyKey identifies a resolved policy. An empty workspace stands for every workspace without overrides, an empty class
// for the values without a class, an empty service for the site's own values.
type policyKey struct{ service, workspace, class string }

type keyOwner struct {
	hash      [sha256.Size]byte
	workspace *Workspace
}

type serviceRoute struct {
	service *Service
	route   *Route
}

var (
	defaultSite    = defaults(siteFields)
	defaultService = defaults(serviceFields)
	defaultTarget  = defaults(targetFields)
	defaultPolicy  = defaults(policyFields)
)

// Resolve returns the snapshot of the tree for the given revision.
func (t *Tree) Resolve(revision uint64) (*Snapshot, error) {
	s := &Snapshot{
		Revision:   revision,
		Site:       resolve(siteFields, defaultSite, []*node[Site]{&t.site}),
		Services:   make(map[string]*Service, len(t.services)),
		Workspaces: make(map[string]*Workspace, len(t.workspaces)),
		models:     map[string]*Service{},
		policies:   map[policyKey]*Policy{},
	}
	t.resolveWorkspaces(s)
	for _, name := range sortedKeys(t.services) {
		t.resolveService(s, t.services[name])
	}
	t.resolvePolicies(s)
	sortRoutes(s.routes)
	return s, nil
}

func (t *Tree) resolveWorkspaces(s *Snapshot) {
	for _, name := range sortedKeys(t.workspaces) {
		ws := t.workspaces[name].vals
		s.Workspaces[name] = &ws
		for _, h := range ws.KeyHashes {
			s.keys = append(s.keys, keyOwner{h, &ws})
		}
	}
}

func (t *Tree) resolveService(s *Snapshot, n *serviceNode) {
	svc := resolve(serviceFields, defaultService, []*node[Service]{&n.node})
	svc.Name = n.vals.Name
	for _, tn := range n.targets {
		tg := resolve(targetFields, defaultTarget, []*node[Target]{&tn.node})
		tg.Name = tn.name
		svc.Targets = append(svc.Targets, tg)
	}
	for _, rn := range n.routes {
		svc.Routes = append(svc.Routes, rn.vals)
	}
	s.Services[svc.Name] = &svc
	for _, m := range svc.Models {
		s.models[m] = &svc
	}
	for i := range svc.Routes {
		s.routes = append(s.routes, serviceRoute{&svc, &svc.Routes[i]})
	}
}

// resolvePolicies resolves one policy for each service and class, and separate ones only for workspaces that override
// something there: most workspaces of a large site share the same few policies.
func (t *Tree) resolvePolicies(s *Snapshot) {
	classes := append(sortedKeys(t.classes), "")
	for _, class := range classes {
		s.policies[policyKey{class: class}] = t.resolvePolicy("", "", class)
	}
	for service, svc := range t.services {
		for _, class := range classes {
			s.policies[policyKey{service, "", class}] = t.resolvePolicy(service, "", class)
		}
		for workspace := range t.workspaces {
			if len(t.overrides(svc, workspace)) == 0 {
				continue
			}
			for _, class := range classes {
				s.policies[policyKey{service, workspace, class}] = t.resolvePolicy(service, workspace, class)
			}
		}
	}
}

func (t *Tree) resolvePolicy(service, workspace, class string) *Policy {
	p := resolve(policyFields, defaultPolicy, t.chain(service, workspace, class))
	return &p
}

// Policy returns the resolved policy of a service, workspace and class. Unknown names fall back to the nearest
// parent, so that a request accepted under an older revision still has a policy. It never returns nil.
func (s *Snapshot) Policy(service, workspace, class string) *Policy {
	for _, k := range [...]policyKey{
		{service, workspace, class},
		{service, workspace, ""},
		{service, "", class},
		{service, "", ""},
		{"", "", class},
	} {
		if p, ok := s.policies[k]; ok {
			return p
		}
	}
	return s.policies[policyKey{}]
}

// LookupToken returns the workspace that owns a bearer token, or nil. It compares the token with all hashes in constant
// time, so that the response time reveals nothing about the keys.
func (s *Snapshot) LookupToken(token string) *Workspace {
	sum := sha256.Sum256([]byte(token))
	var found *Workspace
	for i := range s.keys {
		if subtle.ConstantTimeCompare(sum[:], s.keys[i].hash[:]) == 1 {
			found = s.keys[i].workspace
		}
	}
	return found
}

// LookupModel returns the service that serves a model name, or nil.
func (s *Snapshot) LookupModel(model string) *Service { return s.models[model] }

// LookupRoute returns the plain service and route for a method and path, or nil for both. The longest prefix wins; for
// equal prefixes, a route that lists the method precedes a route for any method.
func (s *Snapshot) LookupRoute(method, path string) (*Service, *Route) {
	for _, sr := range s.routes {
		if prefixMatches(sr.route.Prefix, path) && methodMatches(sr.route.Methods, method) {
			return sr.service, sr.route
		}
	}
	return nil, nil
}

// prefixMatches matches whole path segments only: /ledger covers /ledger/7 but not /ledgers.
func prefixMatches(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func methodMatches(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

func sortRoutes(routes []serviceRoute) {
	slices.SortStableFunc(routes, func(a, b serviceRoute) int {
		if d := len(b.route.Prefix) - len(a.route.Prefix); d != 0 {
			return d
		}
		return len(b.route.Methods) - len(a.route.Methods)
	})
}

// MayUseService reports whether the workspace may use a service.
func (w *Workspace) MayUseService(service string) bool {
	return len(w.Services) == 0 || slices.Contains(w.Services, service)
}

// MayUseClass reports whether requests of the workspace may name a class.
func (w *Workspace) MayUseClass(class string) bool { return slices.Contains(w.Classes, class) }
