package settings

import (
	"fmt"
	"maps"
	"slices"

	"gopkg.in/yaml.v3"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

type nodeParsers = map[string]func(v *yaml.Node, path string)

// parseTree parses the top level of the file.
func (p *parser) parseTree(root *yaml.Node) *Tree {
	t := &Tree{
		classes:    map[string]*node[Policy]{},
		workspaces: map[string]*node[Workspace]{},
		services:   map[string]*serviceNode{},
	}
	siteSeen := false
	top := nodeParsers{
		keySite: func(v *yaml.Node, path string) {
			siteSeen = true
			parseNode(p, &t.site, siteFields, v, path, v.Line, nil)
		},
		keyPolicy:     func(v *yaml.Node, path string) { p.policy(&t.policy, v, path) },
		keyClasses:    func(v *yaml.Node, path string) { p.classes(t.classes, v, path) },
		keyWorkspaces: func(v *yaml.Node, path string) { p.workspaces(t, v, path) },
		keyServices:   func(v *yaml.Node, path string) { p.services(t, v, path) },
	}
	parseNode(p, &node[struct{}]{}, nil, root, "", root.Line, top)
	if !siteSeen {
		p.add(root.Line, keySite, "", "a mapping with the site's name and failure domains")
	}
	return t
}

func (p *parser) policy(dst *node[Policy], v *yaml.Node, path string) {
	parseNode(p, dst, policyFields, v, path, v.Line, nil)
}

func (p *parser) classes(dst map[string]*node[Policy], v *yaml.Node, path string) {
	p.eachNamed(v, path, func(name, path string, _, v *yaml.Node) {
		n := &node[Policy]{}
		p.policy(n, v, path)
		dst[name] = n
	})
}

func (p *parser) workspaces(t *Tree, v *yaml.Node, path string) {
	p.eachNamed(v, path, func(name, path string, k, v *yaml.Node) {
		n := &node[Workspace]{}
		parseNode(p, n, workspaceFields, v, path, k.Line, nil)
		n.vals.Name = name
		t.workspaces[name] = n
	})
}

func (p *parser) services(t *Tree, v *yaml.Node, path string) {
	p.eachNamed(v, path, func(name, path string, k, v *yaml.Node) {
		t.services[name] = p.service(name, k, v, path)
	})
}

func (p *parser) service(name string, k, v *yaml.Node, path string) *serviceNode {
	svc := &serviceNode{
		classes:    map[string]*node[Policy]{},
		workspaces: map[string]*overrideNode{},
	}
	parseNode(p, &svc.node, serviceFields, v, path, k.Line, nodeParsers{
		keyTargets:    func(v *yaml.Node, path string) { p.targets(svc, v, path) },
		keyRoutes:     func(v *yaml.Node, path string) { p.routes(svc, v, path) },
		keyPolicy:     func(v *yaml.Node, path string) { p.policy(&svc.policy, v, path) },
		keyClasses:    func(v *yaml.Node, path string) { p.classes(svc.classes, v, path) },
		keyWorkspaces: func(v *yaml.Node, path string) { p.overrides(svc, v, path) },
	})
	svc.vals.Name = name
	return svc
}

func (p *parser) targets(svc *serviceNode, v *yaml.Node, path string) {
	p.eachNamed(v, path, func(name, path string, k, v *yaml.Node) {
		n := &targetNode{name: name}
		parseNode(p, &n.node, targetFields, v, path, k.Line, nil)
		n.vals.Name = name
		svc.targets = append(svc.targets, n)
	})
}

func (p *parser) routes(svc *serviceNode, v *yaml.Node, path string) {
	if v.Kind != yaml.SequenceNode {
		p.add(v.Line, path, describe(v), "a list of routes")
		return
	}
	for i, item := range v.Content {
		n := &node[Route]{}
		parseNode(p, n, routeFields, item, fmt.Sprintf("%s[%d]", path, i), item.Line, nil)
		svc.routes = append(svc.routes, n)
	}
}

func (p *parser) overrides(svc *serviceNode, v *yaml.Node, path string) {
	p.eachNamed(v, path, func(name, path string, k, v *yaml.Node) {
		o := &overrideNode{classes: map[string]*node[Policy]{}}
		o.policy.path, o.policy.line = path, k.Line
		parseNode(p, &node[struct{}]{}, nil, v, path, k.Line, nodeParsers{
			keyPolicy:  func(v *yaml.Node, path string) { p.policy(&o.policy, v, path) },
			keyClasses: func(v *yaml.Node, path string) { p.classes(o.classes, v, path) },
		})
		svc.workspaces[name] = o
	})
}
