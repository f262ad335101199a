package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawPolicy generates a few policy values in YAML flow style.
func drawPolicy(t *rapid.T, label string) string {
	var parts []string
	for _, key := range []string{"priority", "queue_bound", "max_tokens", "concurrency"} {
		if rapid.Bool().Draw(t, label+"."+key) {
			parts = append(parts, fmt.Sprintf("%s: %d", key, rapid.IntRange(1, 999).Draw(t, label+"."+key+" value")))
		}
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// drawTree generates a tree of two services, three workspaces that may form a chain of parents, and two classes.
func drawTree(t *rapid.T) string {
	var b strings.Builder
	fmt.Fprintf(&b, "site: {name: s, failure_domains: [a]}\npolicy: %s\n", drawPolicy(t, "site"))
	fmt.Fprintf(&b, "classes:\n  c0: %s\n  c1: %s\nworkspaces:\n", drawPolicy(t, "c0"), drawPolicy(t, "c1"))
	for w := range 3 {
		fmt.Fprintf(&b, "  w%d:\n    keys: [sha256:%064x]\n    classes: [c0, c1]\n", w, w)
		if w > 0 && rapid.Bool().Draw(t, "parent") {
			fmt.Fprintf(&b, "    parent: w%d\n", w-1)
		}
	}
	b.WriteString("services:\n")
	for s := range 2 {
		label := fmt.Sprintf("s%d", s)
		fmt.Fprintf(&b, "  %s:\n    kind: model\n    models: [m%d]\n    policy: %s\n    classes: {c0: %s}\n    workspaces:\n", label, s,
			drawPolicy(t, label), drawPolicy(t, label+".c0"))
		for w := range 3 {
			ws := fmt.Sprintf("%s.w%d", label, w)
			if w == 0 || rapid.Bool().Draw(t, ws) {
				fmt.Fprintf(&b, "      w%d: {policy: %s, classes: {c1: %s}}\n", w, drawPolicy(t, ws), drawPolicy(t, ws+".c1"))
			}
		}
	}
	return b.String()
}

// Explain must show operators the values that requests get; Explain and Resolve walk the tree in different ways.
func TestExplainMatchesResolve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, err := Parse([]byte(drawTree(t)), "drawn")
		must.NoError(t, err)
		snap, err := tree.Resolve(1)
		must.NoError(t, err)
		for i := range 2 * 3 * 2 {
			service, workspace, class := fmt.Sprint("s", i%2), fmt.Sprint("w", i/2%3), fmt.Sprint("c", i/6)
			values, ok := tree.Explain(service, workspace, class)
			must.True(t, ok)
			policy := snap.Policy(service, workspace, class)
			for j, f := range policyFields {
				v := values[len(values)-len(policyFields)+j]
				must.Eq(t, f.format(policy), v.Value, must.Sprint(service, workspace, class, v))
			}
		}
	})
}

func TestNearestNodeWins(t *testing.T) {
	nodes := []struct{ path, old string }{
		{"services.s.workspaces.w.classes.c", "      w: {policy: {priority: 5}, classes: {c: {priority: 6}}}"},
		{"services.s.classes.c", "    classes: {c: {priority: 4}}"},
		{"classes.c", "  c: {priority: 3}"},
		{"services.s.workspaces.w.policy", "{priority: 5}"},
		{"services.s.policy", "{priority: 2}"},
		{"policy", "{priority: 1}"},
		{"default", ""},
	}
	text := `site: {name: s, failure_domains: [a]}
policy: {priority: 1}
classes:
  c: {priority: 3}
workspaces:
  w: {keys: [sha256:` + strings.Repeat("0", 64) + `], classes: [c]}
services:
  s:
    kind: model
    models: [m]
    policy: {priority: 2}
    classes: {c: {priority: 4}}
    workspaces:
      w: {policy: {priority: 5}, classes: {c: {priority: 6}}}
`
	for _, n := range nodes {
		tree, err := Parse([]byte(text), "f")
		must.NoError(t, err)
		values, ok := tree.Explain("s", "w", "c")
		must.True(t, ok)
		got := values[len(values)-len(policyFields)]
		must.Eq(t, n.path, got.From)
		without := strings.Replace(n.old, "{priority: 6}", "{}", 1)
		if without == n.old {
			without = strings.NewReplacer("{priority: 5}", "{}", "{priority: 4}", "{}", "{priority: 3}", "{}", "{priority: 2}", "{}", "{priority: 1}", "{}").Replace(n.old)
		}
		text = strings.Replace(text, n.old, without, 1)
	}
}

func TestDiff(t *testing.T) {
	a, err := Parse([]byte(base), "a")
	must.NoError(t, err)
	text := strings.NewReplacer(
		"{priority: 9}", "{max_wait: 90s}\n  slow: {}",
		"failure_domain: a}", "failure_domain: b}",
		"name: s", "name: s # a comment",
	).Replace(base)
	b, err := Parse([]byte(text), "b")
	must.NoError(t, err)
	var got []string
	for _, d := range Diff(a, b) {
		got = append(got, d.String())
	}
	must.Eq(t, []string{
		"+ classes.slow: {}",
		"+ classes.urgent.max_wait: 1m30s",
		"- classes.urgent.priority: 9",
		"~ services.m.targets.e1.failure_domain: a -> b",
	}, got)
}
