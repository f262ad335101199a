package bench

import (
	"fmt"
	"reflect"
	"strings"

	"anvilwick.example/anvilwick/lib/baseline"
	"anvilwick.example/anvilwick/lib/sched"
)

// The policies that the bench compares.
const (
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
	PolicyAnvilwick   = "anvilwick"
	PolicyOracle      = "oracle" // anvilwick with every output length known
)

// Policies lists the policies in report order.
var Policies = []string{PolicyRoundRobin, PolicyLeastLoaded, PolicyAnvilwick, PolicyOracle}

// makePolicy returns the constructor of the named policy.
func makePolicy(name string, opt sched.Options) func(*Config) sched.Policy {
	switch name {
	case PolicyRoundRobin:
		return func(*Config) sched.Policy { return baseline.NewRoundRobin() }
	case PolicyLeastLoaded:
		return func(*Config) sched.Policy { return baseline.NewLeastLoaded() }
	}
	return func(c *Config) sched.Policy {
		newOwner := func() sched.Policy { return sched.NewOwner(c.Mix.Service, opt) }
		if n := ownersOf(name, c.Mix); n > 1 {
			return newDivision(n, name == PolicyPerEntry, newOwner)
		}
		return newOwner()
	}
}

// ablationPrefix marks the fields of sched.Options that disable a part of the policy.
const ablationPrefix = "Disable"

// Ablations lists the parts that can be disabled, in the order of sched.Options.
func Ablations() []string {
	var out []string
	t := reflect.TypeFor[sched.Options]()
	for i := range t.NumField() {
		if part, ok := strings.CutPrefix(t.Field(i).Name, ablationPrefix); ok && t.Field(i).Type.Kind() == reflect.Bool {
			out = append(out, strings.ToLower(part))
		}
	}
	return out
}

// Ablate returns opt with one part disabled.
func Ablate(opt sched.Options, part string) (sched.Options, error) {
	v := reflect.ValueOf(&opt).Elem()
	for i := range v.NumField() {
		name, ok := strings.CutPrefix(v.Type().Field(i).Name, ablationPrefix)
		if ok && strings.EqualFold(name, part) {
			v.Field(i).SetBool(true)
			return opt, nil
		}
	}
	return opt, fmt.Errorf("bench: unknown part %q to disable; want one of %s", part, strings.Join(Ablations(), ", "))
}
