package settings

// Tree is a settings file that passed every check. It holds what each node gives, and where.
type Tree struct {
	File   string
	source []byte

	site       node[Site]
	policy     node[Policy]             // the site's values
	classes    map[string]*node[Policy] // the site's classes
	workspaces map[string]*node[Workspace]
	services   map[string]*serviceNode
}

// serviceNode is a service with what it overrides.
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

// overrideNode is what a service overrides for one workspace.
type overrideNode struct {
	policy  node[Policy]
	classes map[string]*node[Policy]
}

// Source returns the text that the tree was parsed from. Don't change it.
func (t *Tree) Source() []byte { return t.source }

// class returns the class node of that name; o may be nil.
func (o *overrideNode) class(name string) *node[Policy] {
	if o == nil {
		return nil
	}
	return o.classes[name]
}

// chain lists the nodes that give the values of a service, workspace and class, nearest first. A value that a class
// gives at any level comes before values that are given for all classes, so that a service's ordinary priority
// doesn't take urgency from the site's urgent class. Names may be empty or unknown: they add no node.
func (t *Tree) chain(service, workspace, class string) []*node[Policy] {
	svc := t.services[service]
	var line []*overrideNode
	if svc != nil {
		line = t.overrides(svc, workspace)
	}
	out := make([]*node[Policy], 0, 2*len(line)+4)
	for _, o := range line {
		out = append(out, o.class(class))
	}
	if svc != nil {
		out = append(out, svc.classes[class])
	}
	out = append(out, t.classes[class])
	for _, o := range line {
		out = append(out, &o.policy)
	}
	if svc != nil {
		out = append(out, &svc.policy)
	}
	return append(out, &t.policy)
}

// overrides lists what svc overrides for a workspace and its parents, nearest first.
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
