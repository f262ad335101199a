package e2e

import (
	"context"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/proc"
)

// With a malformed flag, a process must name the flag in one line, start nothing and exit with code 2: a half-started process
// would receive traffic from the load balancer and refuse all of it.
func TestInvalidFlagsAreReported(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	bin, err := proc.Binaries(ctx)
	must.NoError(t, err)
	control := []string{"-instance", "i1", "-platform", "127.0.0.1:1", "-ops-addr", "127.0.0.1:0", "-plain-links"}
	cases := []struct {
		program string
		args    []string
		says    string
	}{
		{"anvilwick-control", []string{"-platform", "127.0.0.1:1"}, "-instance"},
		{"anvilwick-control", append(control, "-platform", "platform:80"), "-platform"},
		{"anvilwick-control", append(control, "-operator-token-sha256", "secret"), "-operator-token-sha256"},
		{"anvilwick-control", append(control, "-link-ca", "x"), "-plain-links"},
		{"anvilwick-control", append(control, "-lease-ttl", "1ms"), "-lease-ttl"},
		{"anvilwick-control", append(control, "-nonsense"), "nonsense"},
		{"anvilwick-entry", []string{"-instance", "i1"}, "-settings"},
		{"anvilwick-entry", []string{"-instance", "i1", "-mesh-addr", "127.0.0.1:0"}, "-plain-links"},
		{"anvilwick-entry", []string{"-instance", "i1", "-mesh-addr", "localhost:1"}, "-mesh-addr"},
		{"anvilwick-load", []string{"-deployment", "nowhere"}, "-deployment"},
		{"anvilwick-load", []string{"-entries", "localhost:80"}, "-entries"},
	}
	for _, c := range cases {
		name := c.program + " " + strings.Join(c.args, " ")
		p, err := proc.Start(proc.Spec{Name: name, Path: bin + "/" + c.program, Args: c.args})
		must.NoError(t, err)
		code, err := p.Wait(ctx)
		_ = p.Kill()
		must.NoError(t, err)
		must.Eq(t, 2, code, must.Sprint(name, p.Output()))
		must.Eq(t, 1, strings.Count(p.Output(), "\n"), must.Sprint(name, p.Output()))
		must.StrContains(t, p.Output(), c.says, must.Sprint(name))
		must.StrNotContains(t, p.Output(), "secret")
	}
}

func TestHelpAndVersion(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	bin, err := proc.Binaries(ctx)
	must.NoError(t, err)
	for _, program := range []string{"anvilwick-entry", "anvilwick-control", "anvilwick-load", "anvilwick-ctl"} {
		for _, flag := range []string{"-h", "-version"} {
			p, err := proc.Start(proc.Spec{Name: program, Path: bin + "/" + program, Args: []string{flag}})
			must.NoError(t, err)
			code, err := p.Wait(ctx)
			_ = p.Kill()
			must.NoError(t, err)
			must.Eq(t, 0, code, must.Sprint(program, flag, p.Output()))
			must.StrContains(t, p.Output(), program)
		}
	}
}
