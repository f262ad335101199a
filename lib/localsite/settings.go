package localsite

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/workload"
)

// Settings says what the settings of a site hold.
type Settings struct {
	Model      string        // model that engines serve and callers ask for
	Service    string        // of the engines
	Route      string        // prefix of the plain service; idempotent under Route + "/status"
	PowerCap   int           // watts; 0: none
	IdleWatts  int           // of each engine
	SeqWatts   int           // added for each sequence
	MaxBatch   int           // of each engine; 0: not told
	Deadline   time.Duration // of requests whose callers name none; 0: none
	Workspaces []string
	Classes    []workload.Class
}

// Key returns the key of a workspace of a local site.
func Key(workspace string) string { return workspace + "-localsite-key" }

// text writes the settings of s.
func (c Settings) text(s *Site) string {
	var b strings.Builder
	fmt.Fprintf(&b, "site:\n  name: localsite\n  failure_domains: [%s]\n", strings.Join(domains, ", "))
	if c.PowerCap > 0 {
		fmt.Fprintf(&b, "  power_cap: %dW\n  power_guard: %dW\n", c.PowerCap, c.PowerCap/20)
	}
	c.classes(&b)
	c.workspaces(&b)
	fmt.Fprintf(&b, "services:\n  %s:\n    kind: model\n    models: [%s]\n    resumes: true\n    fencing: enforced\n    targets:\n", c.Service, c.Model)
	targets(&b, s.Engines, c.engineLines())
	fmt.Fprintf(&b, "  plain:\n    kind: plain\n    routes:\n      - prefix: %s/status\n        idempotent: true\n      - prefix: %s\n    targets:\n", c.Route, c.Route)
	targets(&b, s.Plains, "")
	return b.String()
}

func (c Settings) classes(b *strings.Builder) {
	fmt.Fprintf(b, "policy:\n  stall_floor: 1s\n  deadline: %s\nclasses:\n", c.Deadline)
	for _, cl := range c.Classes {
		fmt.Fprintf(b, "  %s:\n    priority: %d\n    urgent: %t\n    max_wait: %s\n    queue_bound: %d\n    max_preemptions: %d\n",
			cl.Name, cl.Priority, cl.Urgent, cl.MaxWait, cl.QueueBound, cl.MaxPreemptions)
	}
}

func (c Settings) workspaces(b *strings.Builder) {
	var names []string
	for _, cl := range c.Classes {
		names = append(names, cl.Name)
	}
	b.WriteString("workspaces:\n")
	for _, w := range c.Workspaces {
		fmt.Fprintf(b, "  %s:\n    keys: [\"sha256:%x\"]\n    classes: [%s]\n", w, sha256.Sum256([]byte(Key(w))), strings.Join(names, ", "))
	}
}

func targets(b *strings.Builder, nodes []*Node, more string) {
	for _, n := range nodes {
		fmt.Fprintf(b, "      %s:\n        addr: %s\n        failure_domain: %s\n        instance: %s\n%s", n.Name, n.Reach, n.Domain, n.Name, more)
	}
}

// engineLines is what the settings say of every engine alike.
func (c Settings) engineLines() string {
	out := ""
	if c.IdleWatts > 0 {
		out += fmt.Sprintf("        idle_power: %dW\n        sequence_power: %dW\n", c.IdleWatts, c.SeqWatts)
	}
	if c.MaxBatch > 0 {
		out += fmt.Sprintf("        max_batch: %d\n", c.MaxBatch)
	}
	return out
}

// WorkloadSettings returns settings for a deployment's mix.
func WorkloadSettings(m workload.Mix) Settings {
	s := Settings{Model: m.Service, Service: m.Service, Route: "/dispatch", Classes: m.Classes}
	for _, w := range m.Workspaces {
		s.Workspaces = append(s.Workspaces, w.Name)
	}
	return s
}
