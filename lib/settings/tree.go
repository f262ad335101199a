package settings

// Tree is a validated settings file. It holds the values set by each node and their locations.
type Tree struct {
	File   string
	source []byte

	site       node[Site]
	policy     node[Policy]             // site-wide policy
	classes    map[string]*node[Policy] // site-wide classes
	workspaces map[string]*node[Workspace]
	services   map[string]*serviceNode
}

// serviceNode is a service with its targets, routes and overrides.
type serviceNode struct {
	node[Service]
	targets    []*targetNode
	routes     []*node[Route]
	policy     node[Policy]
	classes    map[string]*node[Policy]
	workspaces map[string]*overrideNode
}

type targetNode struct {
	node[Target]
	name string
}

// overrideNode holds the overrides of a service for one workspace.
type overrideNode struct {
	policy  node[Policy]
	classes map[string]*node[Policy]
}

// Source returns the text that the tree was parsed from. Callers must not modify it.
func (t *Tree) Source() []byte { return t.source }

// class returns the node of the named class, or nil. o may be nil.
func (o *overrideNode) class(name string) *node[Policy] {
	if o == nil {
		return nil
	}
	return o.classes[name]
}

// chain returns the nodes that determine the policy of a service, workspace and class, nearest first. A value set for the
// class at any level precedes values set for all classes, so that a service's general priority doesn't override the
// priority of the site's urgent class. Empty or unknown names add no node.
func (t *Tree) chain(service, workspace, class string) []*node[Policy] {
	svc := t.services[service]
	var overrides []*overrideNode
	if svc != nil {
		overrides = t.overrides(svc, workspace)
	}
	out := make([]*node[Policy], 0, 2*len(overrides)+4)
	for _, o := range overrides {
		out = append(out, o.class(class))
	}
	if svc != nil {
		out = append(out, svc.classes[class])
	}
	out = append(out, t.classes[class])
	for _, o := range overrides {
		out = append(out, &o.policy)
	}
	if svc != nil {
		out = append(out, &svc.policy)
	}
	return append(out, &t.policy)
}

// overrides returns what svc overrides for a workspace and its parents, nearest first.
func (t *Tree) overrides(svc *serviceNode, workspace string) []*overrideNode {
	var out []*overrideNode
	for name := workspace; name != ""; {
		if o := svc.workspaces[name]; o != nil {
			out = append(out, o)
		}
		ws := t.workspaces[name]
		if ws == nil {
			break
		}
		name = ws.vals.Parent
	}
	return out
}
