package localsite

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/workload"
)

// Settings configures the settings text of a site.
type Settings struct {
	Model      string        // model that engines serve and callers request
	Service    string        // name of the service that the engines form
	Route      string        // prefix of the plain service; Route + "/status" is idempotent
	PowerCap   int           // watts; 0: none
	IdleWatts  int           // of each engine
	SeqWatts   int           // added per running sequence
	MaxBatch   int           // of each engine; 0: not set
	Idempotent bool          // keyed generations may run more than once
	Deadline   time.Duration // of requests without a deadline of their own; 0: none
	StallFloor time.Duration // 0: defaultStallFloor
	Workspaces []string
	Weights    map[string]float64 // by workspace; 1 where absent
	Classes    []workload.Class
}

const defaultStallFloor = time.Second

// WorkspaceKey returns the key of a workspace of a local site.
func WorkspaceKey(workspace string) string { return workspace + "-localsite-key" }

// text returns the settings of s as YAML.
func (c Settings) text(s *Site) string {
	var b strings.Builder
	fmt.Fprintf(&b, "site:\n  name: localsite\n  failure_domains: [%s]\n", strings.Join(domains, ", "))
	if c.PowerCap > 0 {
		fmt.Fprintf(&b, "  power_cap: %dW\n  power_guard: %dW\n", c.PowerCap, c.PowerCap/20)
	}
	c.writeClasses(&b)
	c.writeWorkspaces(&b)
	fmt.Fprintf(&b,
		"services:\n  %s:\n    kind: model\n    models: [%s]\n    resumes: true\n    fencing: enforced\n    idempotent: %t\n%s    targets:\n",
		c.Service, c.Model, c.Idempotent, c.weightsBlock())
	writeTargets(&b, s.Engines, c.engineLines())
	fmt.Fprintf(&b,
		"  plain:\n    kind: plain\n    routes:\n      - prefix: %s/status\n        idempotent: true\n      - prefix: %s\n    targets:\n",
		c.Route, c.Route)
	writeTargets(&b, s.Plains, "")
	return b.String()
}

func (c Settings) writeClasses(b *strings.Builder) {
	fmt.Fprintf(b, "policy:\n  stall_floor: %s\n  deadline: %s\nclasses:\n", cmp.Or(c.StallFloor, defaultStallFloor), c.Deadline)
	for _, cl := range c.Classes {
		fmt.Fprintf(b, "  %s:\n    priority: %d\n    urgent: %t\n    max_wait: %s\n    queue_bound: %d\n",
			cl.Name, cl.Priority, cl.Urgent, cl.MaxWait, cl.QueueBound)
		if cl.MaxPreemptions > 0 {
			fmt.Fprintf(b, "    max_preemptions: %d\n", cl.MaxPreemptions)
		}
		if cl.MemoryRisk > 0 {
			fmt.Fprintf(b, "    memory_risk: %g\n", cl.MemoryRisk)
		}
	}
}

func (c Settings) writeWorkspaces(b *strings.Builder) {
	var names []string
	for _, cl := range c.Classes {
		names = append(names, cl.Name)
	}
	b.WriteString("workspaces:\n")
	for _, w := range c.Workspaces {
		fmt.Fprintf(b, "  %s:\n    keys: [\"sha256:%x\"]\n    classes: [%s]\n",
			w, sha256.Sum256([]byte(WorkspaceKey(w))), strings.Join(names, ", "))
	}
}

// weightsBlock returns the workspace weights as a block of the service.
func (c Settings) weightsBlock() string {
	if len(c.Weights) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("    workspaces:\n")
	for _, w := range c.Workspaces {
		fmt.Fprintf(&b, "      %s:\n        policy:\n          weight: %g\n", w, cmp.Or(c.Weights[w], 1))
	}
	return b.String()
}

func writeTargets(b *strings.Builder, nodes []*Node, more string) {
	for _, n := range nodes {
		fmt.Fprintf(b, "      %s:\n        addr: %s\n        failure_domain: %s\n        instance: %s\n%s",
			n.Name, n.DialAddr, n.Domain, n.Name, more)
		if n.Software != "" {
			fmt.Fprintf(b, "        software: %s\n", n.Software)
		}
	}
}

// engineLines returns the settings lines that all engines share.
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

// WorkloadSettings returns the settings for a workload mix.
func WorkloadSettings(m workload.Mix) Settings {
	s := Settings{Model: m.Service, Service: m.Service, Route: "/dispatch", Classes: m.Classes, Weights: map[string]float64{}}
	for _, w := range m.Workspaces {
		s.Workspaces = append(s.Workspaces, w.Name)
		s.Weights[w.Name] = w.Weight
	}
	return s
}
