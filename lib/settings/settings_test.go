package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const kelburnFile = "../../examples/kelburn/settings.yaml"

func parseExample(t testing.TB, file string) *Tree {
	t.Helper()
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	tree, err := Parse(text, file)
	must.NoError(t, err)
	return tree
}

func TestExamplesResolve(t *testing.T) {
	for _, tc := range []struct{ file, site, model, plain string }{
		{kelburnFile, "kelburn", "planner-llm", "dispatch"},
		{"../../examples/kivu/settings.yaml", "kivu", "anvilwick-treaty", "ledger-gateway"},
	} {
		snap, err := parseExample(t, tc.file).Resolve(7)
		must.NoError(t, err)
		must.Eq(t, uint64(7), snap.Revision)
		must.Eq(t, tc.site, snap.Site.Name)
		must.Len(t, 3, snap.Site.FailureDomains)
		must.MapLen(t, 10, snap.Workspaces)
		must.Len(t, 10, snap.Services[tc.model].Targets)
		must.Len(t, 3, snap.Services[tc.plain].Targets)
		must.Eq(t, tc.model, snap.LookupModel(tc.model).Name)
	}
}

func TestPolicyInheritance(t *testing.T) {
	snap, err := parseExample(t, kelburnFile).Resolve(1)
	must.NoError(t, err)

	large := snap.Policy("planner-llm", "glasgow-planning", "overnight")
	must.Eq(t, 60, large.Concurrency)
	must.Eq(t, 4, large.Weight)
	must.Eq(t, 10, large.Priority)
	must.Eq(t, 9*time.Hour, large.Deadline)

	child := snap.Policy("planner-llm", "edinburgh-planning", "overnight")
	must.Eq(t, 60, child.Concurrency)

	small := snap.Policy("planner-llm", "falkirk-planning", "overnight")
	must.Eq(t, 0, small.Concurrency)
	must.Eq(t, 1, small.Weight)

	plain := snap.Policy("dispatch", "driver-handsets", "urgent")
	must.Eq(t, 64<<10, plain.MaxBody)
	must.Eq(t, 5*time.Second, plain.MaxWait)
	must.Eq(t, 400, plain.RatePerSecond)
}

func TestPolicyFallbackForUnknownNames(t *testing.T) {
	snap, err := parseExample(t, kelburnFile).Resolve(1)
	must.NoError(t, err)
	must.Eq(t, 4, snap.Policy("planner-llm", "glasgow-planning", "gone").Weight)
	must.Eq(t, 40, snap.Policy("planner-llm", "gone", "urgent").Concurrency)
	must.Eq(t, 3, snap.Policy("dispatch", "gone", "gone").MaxAttempts)
	must.Eq(t, 4, snap.Policy("gone", "gone", "gone").MaxAttempts)
}

func TestLookupToken(t *testing.T) {
	snap, err := parseExample(t, kelburnFile).Resolve(1)
	must.NoError(t, err)
	must.Eq(t, "depot-supervisors", snap.LookupToken("kelburn-depot-supervisors-example-key").Name)
	must.Nil(t, snap.LookupToken("kelburn-nobody-example-key"))
	must.Nil(t, snap.LookupToken(""))
}

func TestLookupRoute(t *testing.T) {
	snap, err := parseExample(t, kelburnFile).Resolve(1)
	must.NoError(t, err)
	for _, tc := range []struct {
		method, path, prefix string
		idempotent           bool
	}{
		{"GET", "/dispatch/status", "/dispatch/status", true},
		{"GET", "/dispatch/status/7", "/dispatch/status", true},
		{"POST", "/dispatch/status", "/dispatch", false},
		{"GET", "/dispatch/statuses", "/dispatch", false},
		{"POST", "/dispatch", "/dispatch", false},
	} {
		svc, r := snap.LookupRoute(tc.method, tc.path)
		must.NotNil(t, r, must.Sprint(tc.path))
		must.Eq(t, "dispatch", svc.Name)
		must.Eq(t, tc.prefix, r.Prefix)
		must.Eq(t, tc.idempotent, r.Idempotent)
	}
	svc, _ := snap.LookupRoute("GET", "/dispatcher")
	must.Nil(t, svc)
}

// base is a small tree in which each case of TestInvalidSettings breaks one place.
const base = `site:
  name: s
  failure_domains: [a, b]
classes:
  urgent: {priority: 9}
workspaces:
  w:
    keys: [sha256:0000000000000000000000000000000000000000000000000000000000000001]
    classes: [urgent]
services:
  m:
    kind: model
    models: [m]
    targets:
      e1: {addr: "10.0.0.1:80", failure_domain: a}
`

func TestInvalidSettings(t *testing.T) {
	_, err := Parse([]byte(base), "f")
	must.NoError(t, err)
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown key", "name: s", "name: s\n  colour: red", "f:3: site.colour: got an unknown key, expected one of name, "},
		{"bare number as duration", "{priority: 9}", "{max_wait: 30}", `f:5: classes.urgent.max_wait: got "30", expected a duration with its unit such as 250ms`},
		{"bad unit of duration", "{priority: 9}", "{max_wait: 30sec}", `got "30sec", expected a duration`},
		{"bad unit of size", "{priority: 9}", "{max_body: 64KB}", `got "64KB", expected a size with its unit such as 512B, 64KiB`},
		{"bad unit of power", "name: s", "name: s\n  power_cap: 12k", `f:3: site.power_cap: got "12k", expected a power with its unit such as 700W or 12kW`},
		{"host name", "10.0.0.1:80", "engine-1:80", `f:15: services.m.targets.e1.addr: got "engine-1:80", expected an IP number and a port such as 10.0.0.7:8080, not a host name`},
		{"no port", "10.0.0.1:80", "10.0.0.1", `got "10.0.0.1", expected an IP number and a port`},
		{"number out of bounds", "{priority: 9}", "{priority: -1}", `got "-1", expected a whole number from 0 to 1000`},
		{"not a number", "{priority: 9}", "{memory_risk: .nan}", `expected a number from 0 to 1`},
		{"null", "{priority: 9}", "{priority: }", `got nothing, expected a whole number`},
		{"missing class", "classes: [urgent]", "classes: [urgent, slow]", `f:9: workspaces.w.classes: got "slow", expected a class of the site: urgent`},
		{"missing parent", "classes: [urgent]", "classes: [urgent]\n    parent: x", `f:10: workspaces.w.parent: got "x", expected a workspace: w`},
		{"cycle", "classes: [urgent]", "classes: [urgent]\n    parent: w", `f:10: workspaces.w.parent: got a cycle (w > w), expected parents that end`},
		{"override without workspace", "kind: model", "kind: model\n    workspaces: {x: {}}", `f:13: services.m.workspaces.x: got a workspace without its parent entry`},
		{"class without its parent", "kind: model", "kind: model\n    classes: {slow: {}}", `f:13: services.m.classes.slow: got a class without its parent entry`},
		{"unknown failure domain", "failure_domain: a", "failure_domain: c", `f:15: services.m.targets.e1.failure_domain: got "c", expected a failure domain of the site: a, b`},
		{"second target name", "models: [m]", "models: [m]\n  n:\n    kind: model\n    models: [n]\n    targets: {e1: {addr: \"10.0.0.2:80\", failure_domain: a}}\n  z:\n    kind: model\n    models: [z]", "a second target with name e1"},
		{"same key twice", "name: s", "name: s\n  name: t", `f:3: site.name: got a second "name", expected each key once (first at line 2)`},
		{"required key", "    classes: [urgent]\n", "", `f:7: workspaces.w.classes: expected a list, each item a name of lower-case letters, digits, dots, dashes and underscores, 63 at most, it has no default`},
		{"plain without routes", "kind: model\n    models: [m]", "kind: plain", `services.m.routes: expected at least one route`},
		{"alias", "{priority: 9}", "&u {priority: 9}\n  slow: *u", "got an alias, merge or complex key"},
		{"second document", "services:", "---\nservices:", "got a second document"},
		{"tab", "  name: s", "\tname: s", "expected a YAML mapping"},
		{"guard over cap", "name: s", "name: s\n  power_cap: 1kW\n  power_guard: 1kW", `f:4: site.power_guard: got 1kW, expected less than power_cap`},
		{"no failure domain", "failure_domains: [a, b]", "failure_domains: []", `f:3: site.failure_domains: got an empty list, expected at least one`},
		{"list in place of mapping", "{priority: 9}", "[1]", "f:5: classes.urgent: got a list, expected a mapping"},
		{"bad name", "  urgent:", "  Urgent Ones:", `classes: got "Urgent Ones", expected a name of lower-case letters`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(base, tc.old, tc.new, 1)
			must.NotEq(t, base, text)
			tree, err := Parse([]byte(text), "f")
			must.Nil(t, tree)
			must.Error(t, err)
			must.StrContains(t, problemsOf(t, err), tc.want)
		})
	}
}

func problemsOf(t *testing.T, err error) string {
	t.Helper()
	var r *ValidationError
	must.True(t, errors.As(err, &r))
	var lines []string
	for _, p := range r.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// An operator pastes a key instead of its hash. The error must name the location but not repeat the key, because it is
// printed to terminals, shell histories and logs.
func TestPlaintextKeyIsRejectedAndNotShown(t *testing.T) {
	text := strings.Replace(base, "sha256:0000000000000000000000000000000000000000000000000000000000000001", "hunter2-in-clear", 1)
	_, err := Parse([]byte(text), "f")
	must.Error(t, err)
	must.StrContains(t, err.Error(), "f:8: workspaces.w.keys: expected a list, each item sha256: and 64 hexadecimal digits")
	must.StrNotContains(t, problemsOf(t, err), "hunter2")
}
