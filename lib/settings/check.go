package settings

import (
	"fmt"
	"slices"
	"strings"
)

// check reports problems that need the whole tree: missing parents, cycles, names used twice.
func (p *parser) check(t *Tree) {
	p.checkSite(&t.site)
	for _, name := range sortedKeys(t.workspaces) {
		p.checkWorkspace(t, t.workspaces[name])
	}
	p.checkKeys(t)
	addrs := map[string]string{}
	models := map[string]string{}
	routes := map[string]string{}
	for _, name := range sortedKeys(t.services) {
		svc := t.services[name]
		p.checkOverrides(t, svc)
		p.checkKind(svc)
		p.checkTargets(t, svc, addrs)
		p.checkNameConflicts(svc, models, routes)
	}
}

// fieldIndex returns the index of key in fields.
func fieldIndex[T any](fields []field[T], key string) int {
	return slices.IndexFunc(fields, func(f field[T]) bool { return f.key == key })
}

// lineOf returns the line on which the node sets key, or the node's own line.
func lineOf[T any](n *node[T], fields []field[T], key string) int {
	if i := fieldIndex(fields, key); n.has(i) {
		return int(n.lines[i])
	}
	return n.line
}

func (p *parser) checkSite(site *node[Site]) {
	if len(site.vals.FailureDomains) == 0 {
		p.add(lineOf(site, siteFields, "failure_domains"), site.path+".failure_domains", "an empty list", "at least one failure domain")
	}
	if site.vals.PowerCapWatts > 0 && site.vals.PowerGuardWatts >= site.vals.PowerCapWatts {
		p.add(lineOf(site, siteFields, "power_guard"), site.path+".power_guard", kindWatts.format(site.vals.PowerGuardWatts), "less than power_cap")
	}
}

func joinNames(names []string) string {
	if len(names) == 0 {
		return "none is declared"
	}
	if len(names) > 12 {
		return strings.Join(names[:12], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}

func (p *parser) checkWorkspace(t *Tree, ws *node[Workspace]) {
	line := func(key string) int { return lineOf(ws, workspaceFields, key) }
	if len(ws.vals.KeyHashes) == 0 {
		p.add(line("keys"), ws.path+".keys", "an empty list", "at least one key hash")
	}
	if len(ws.vals.Classes) == 0 {
		p.add(line("classes"), ws.path+".classes", "an empty list", "at least one class")
	}
	for _, c := range ws.vals.Classes {
		if t.classes[c] == nil {
			p.add(line("classes"), ws.path+".classes", quote(c), "a class of the site: "+joinNames(sortedKeys(t.classes)))
		}
	}
	for _, s := range ws.vals.Services {
		if t.services[s] == nil {
			p.add(line("services"), ws.path+".services", quote(s), "a service: "+joinNames(sortedKeys(t.services)))
		}
	}
	p.checkParents(t, ws)
}

// checkParents follows the chain of parents and reports a missing workspace or a cycle.
func (p *parser) checkParents(t *Tree, ws *node[Workspace]) {
	line := lineOf(ws, workspaceFields, "parent")
	path := []string{ws.vals.Name}
	for name := ws.vals.Parent; name != ""; name = t.workspaces[name].vals.Parent {
		if t.workspaces[name] == nil {
			if len(path) == 1 {
				p.add(line, ws.path+".parent", quote(name), "a workspace: "+joinNames(sortedKeys(t.workspaces)))
			}
			return
		}
		if slices.Contains(path, name) {
			p.add(line, ws.path+".parent", "a cycle ("+strings.Join(append(path, name), " > ")+")", "parents that end at a workspace without one")
			return
		}
		path = append(path, name)
	}
}

// checkKeys reports a key hash that is used twice: a token must identify one workspace.
func (p *parser) checkKeys(t *Tree) {
	owner := map[[32]byte]string{}
	for _, name := range sortedKeys(t.workspaces) {
		ws := t.workspaces[name]
		for _, h := range ws.vals.KeyHashes {
			if first, dup := owner[h]; dup {
				p.add(lineOf(ws, workspaceFields, "keys"), ws.path+".keys", "a duplicate key", "each key once (also at workspaces."+first+")")
			}
			owner[h] = name
		}
	}
}

func (p *parser) checkOverrides(t *Tree, svc *serviceNode) {
	p.checkClasses(t, svc.classes)
	for _, name := range sortedKeys(svc.workspaces) {
		o := svc.workspaces[name]
		if t.workspaces[name] == nil {
			p.add(o.policy.line, svc.path+".workspaces."+name, "a workspace without its parent entry", "a workspace: "+joinNames(sortedKeys(t.workspaces)))
		}
		p.checkClasses(t, o.classes)
	}
}

func (p *parser) checkClasses(t *Tree, classes map[string]*node[Policy]) {
	for _, name := range sortedKeys(classes) {
		if t.classes[name] == nil {
			n := classes[name]
			p.add(n.line, n.path, "a class without its parent entry", "a class of the site: "+joinNames(sortedKeys(t.classes)))
		}
	}
}

func (p *parser) checkKind(svc *serviceNode) {
	line := func(key string) int { return lineOf(&svc.node, serviceFields, key) }
	switch svc.vals.Kind {
	case KindModel:
		if len(svc.vals.Models) == 0 {
			p.add(line("models"), svc.path+".models", "", "at least one model name, for kind model")
		}
		if len(svc.routes) > 0 {
			p.add(svc.routes[0].line, svc.path+".routes", "routes", "no routes, for kind model")
		}
	case KindPlain:
		if len(svc.vals.Models) > 0 {
			p.add(line("models"), svc.path+".models", "models", "no models, for kind plain")
		}
		if svc.vals.Idempotent {
			p.add(line("idempotent"), svc.path+".idempotent", "true", "no value, for kind plain: it is set for each route")
		}
		if len(svc.routes) == 0 {
			p.add(svc.line, svc.path+".routes", "", "at least one route, for kind plain")
		}
	}
}

func (p *parser) checkTargets(t *Tree, svc *serviceNode, addrs map[string]string) {
	domains := t.site.vals.FailureDomains
	for _, tg := range svc.targets {
		if !slices.Contains(domains, tg.vals.FailureDomain) {
			p.add(lineOf(&tg.node, targetFields, "failure_domain"), tg.path+".failure_domain", quote(tg.vals.FailureDomain), "a failure domain of the site: "+joinNames(domains))
		}
		for _, id := range []string{"addr " + tg.vals.Addr, "name " + tg.name} {
			if first, dup := addrs[id]; dup {
				p.add(tg.line, tg.path, "a second target with "+id, "each name and address once (also at "+first+")")
				continue
			}
			addrs[id] = tg.path
		}
	}
}

// checkNameConflicts reports a model name or a route prefix that is used by two services.
func (p *parser) checkNameConflicts(svc *serviceNode, models, routes map[string]string) {
	for _, m := range svc.vals.Models {
		if first, dup := models[m]; dup {
			p.add(lineOf(&svc.node, serviceFields, "models"), svc.path+".models", quote(m), "each model name once (also at "+first+")")
		}
		models[m] = svc.path
	}
	for _, r := range svc.routes {
		for _, m := range methodsOf(&r.vals) {
			id := m + " " + r.vals.Prefix
			if first, dup := routes[id]; dup {
				p.add(r.line, r.path, quote(id), fmt.Sprintf("each prefix and method once (also at %s)", first))
			}
			routes[id] = r.path
		}
	}
}

// methodsOf returns the methods of a route, with "any" in place of an empty list.
func methodsOf(r *Route) []string {
	if len(r.Methods) == 0 {
		return []string{"any"}
	}
	return r.Methods
}
