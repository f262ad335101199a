package settings

import (
	"slices"
	"strings"
)

// Value is one value of a tree and where it is set.
type Value struct {
	Key   string // for Explain: the key, prefixed with site, service or policy; for a tree's own values: its path
	Value string
	From  string // path of the node that sets it, or "default"
	Line  int    // 0 for a default
}

const defaultOrigin = "default"

// nearestNode returns the first node of chain that sets field i; nil means the default.
func nearestNode[T any](chain []*node[T], i int) *node[T] {
	for _, n := range chain {
		if n.has(i) {
			return n
		}
	}
	return nil
}

// explain lists all fields with the node of chain that sets each.
func explain[T any](prefix string, fields []field[T], base T, chain []*node[T]) []Value {
	out := make([]Value, len(fields))
	for i, f := range fields {
		v := Value{Key: join(prefix, f.key), Value: f.format(&base), From: defaultOrigin}
		if n := nearestNode(chain, i); n != nil {
			v.Value, v.From, v.Line = f.format(&n.vals), n.path, int(n.lines[i])
		}
		out[i] = v
	}
	return out
}

// Explain lists all values that apply to a service, workspace and class, with the node that sets each. It reports false if
// the tree has no such service, workspace or class.
func (t *Tree) Explain(service, workspace, class string) ([]Value, bool) {
	svc := t.services[service]
	if svc == nil || t.workspaces[workspace] == nil || t.classes[class] == nil {
		return nil, false
	}
	out := explain(keySite, siteFields, defaultSite, []*node[Site]{&t.site})
	out = append(out, explain("service", serviceFields, defaultService, []*node[Service]{&svc.node})...)
	return append(out, explain(keyPolicy, policyFields, defaultPolicy, t.chain(service, workspace, class))...), true
}

// valueLister collects the values set in a tree, by path.
type valueLister struct{ values map[string]Value }

// listNode adds the values set by one node. A node without values is listed as "{}", so that Diff shows when it is added
// or removed.
func listNode[T any](l *valueLister, fields []field[T], n *node[T]) {
	if n.path == "" {
		return
	}
	if n.given == 0 {
		l.values[n.path] = Value{Key: n.path, Value: "{}", From: n.path, Line: n.line}
	}
	for i, f := range fields {
		if n.has(i) {
			key := join(n.path, f.key)
			l.values[key] = Value{Key: key, Value: f.format(&n.vals), From: n.path, Line: int(n.lines[i])}
		}
	}
}

func (l *valueLister) classes(classes map[string]*node[Policy]) {
	for _, n := range classes {
		listNode(l, policyFields, n)
	}
}

func (l *valueLister) service(svc *serviceNode) {
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

// values returns the values set in the tree, by path.
func (t *Tree) values() map[string]Value {
	l := &valueLister{values: map[string]Value{}}
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

// Difference is a value that differs between two trees. Old is empty if the value was added, New if it was removed.
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

// Diff lists the values that differ between a and b, ordered by path. Comments and the order of keys are ignored.
func Diff(a, b *Tree) []Difference {
	original, updated := a.values(), b.values()
	var out []Difference
	for path, v := range original {
		if updated[path].Value != v.Value {
			out = append(out, Difference{Path: path, Old: v.Value, New: updated[path].Value})
		}
	}
	for path, v := range updated {
		if _, ok := original[path]; !ok {
			out = append(out, Difference{Path: path, New: v.Value})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return out
}
