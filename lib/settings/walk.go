package settings

import (
	"slices"
	"strings"
)

// Value is one value of a tree with the place that it comes from.
type Value struct {
	Key   string // for Explain: the key, after site, service or policy; for values of a tree: its path
	Value string
	From  string // path of the node that gives it, or "default"
	Line  int    // 0 for a default
}

const fromDefault = "default"

// origin returns the nearest node of chain that gives field i; nil means the default.
func origin[T any](chain []*node[T], i int) *node[T] {
	for _, n := range chain {
		if n.has(i) {
			return n
		}
	}
	return nil
}

// explain lists every field with the node of chain that it comes from.
func explain[T any](prefix string, fields []field[T], base T, chain []*node[T]) []Value {
	out := make([]Value, len(fields))
	for i, f := range fields {
		v := Value{Key: join(prefix, f.key), Value: f.show(&base), From: fromDefault}
		if n := origin(chain, i); n != nil {
			v.Value, v.From, v.Line = f.show(&n.vals), n.path, int(n.lines[i])
		}
		out[i] = v
	}
	return out
}

// Explain lists every value that holds for a service, workspace and class, with the node that it comes from. It
// reports false when the tree has no such service, workspace or class.
func (t *Tree) Explain(service, workspace, class string) ([]Value, bool) {
	svc := t.services[service]
	if svc == nil || t.workspaces[workspace] == nil || t.classes[class] == nil {
		return nil, false
	}
	out := explain(keySite, siteFields, defaultSite, []*node[Site]{&t.site})
	out = append(out, explain("service", serviceFields, defaultService, []*node[Service]{&svc.node})...)
	return append(out, explain(keyPolicy, policyFields, defaultPolicy, t.chain(service, workspace, class))...), true
}

// lister gathers the values that a tree gives, by path.
type lister struct{ values map[string]Value }

// listNode adds what one node gives. A node that gives nothing is listed as such, so that its coming and going shows.
func listNode[T any](l *lister, fields []field[T], n *node[T]) {
	if n.path == "" {
		return
	}
	if n.given == 0 {
		l.values[n.path] = Value{Key: n.path, Value: "{}", From: n.path, Line: n.line}
	}
	for i, f := range fields {
		if n.has(i) {
			key := join(n.path, f.key)
			l.values[key] = Value{Key: key, Value: f.show(&n.vals), From: n.path, Line: int(n.lines[i])}
		}
	}
}

func (l *lister) classes(classes map[string]*node[Policy]) {
	for _, n := range classes {
		listNode(l, policyFields, n)
	}
}

func (l *lister) service(svc *serviceNode) {
	listNode(l, serviceFields, &svc.node)
	for _, tg := range svc.targets {
		listNode(l, targetFields, &tg.node)
	}
	for _, r := range svc.routes {
		listNode(l, routeFields, r)
	}
	listNode(l, policyFields, &svc.policy)
	l.classes(svc.classes)
	for _, o := range svc.workspaces {
		listNode(l, policyFields, &o.policy)
		l.classes(o.classes)
	}
}

// values lists what the tree gives, by path.
func (t *Tree) values() map[string]Value {
	l := &lister{values: map[string]Value{}}
	listNode(l, siteFields, &t.site)
	listNode(l, policyFields, &t.policy)
	l.classes(t.classes)
	for _, ws := range t.workspaces {
		listNode(l, workspaceFields, ws)
	}
	for _, svc := range t.services {
		l.service(svc)
	}
	return l.values
}

// Difference is one value that differs between two trees. Old is empty when the value is new, New when it is gone.
type Difference struct {
	Path string
	Old  string
	New  string
}

// String returns the difference on one line: + added, - removed, ~ changed.
func (d Difference) String() string {
	switch {
	case d.Old == "":
		return "+ " + d.Path + ": " + d.New
	case d.New == "":
		return "- " + d.Path + ": " + d.Old
	}
	return "~ " + d.Path + ": " + d.Old + " -> " + d.New
}

// Diff lists what b gives differently from a, in order of path. Comments and order of keys don't count.
func Diff(a, b *Tree) []Difference {
	old, now := a.values(), b.values()
	var out []Difference
	for path, v := range old {
		if now[path].Value != v.Value {
			out = append(out, Difference{Path: path, Old: v.Value, New: now[path].Value})
		}
	}
	for path, v := range now {
		if _, ok := old[path]; !ok {
			out = append(out, Difference{Path: path, New: v.Value})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return out
}
