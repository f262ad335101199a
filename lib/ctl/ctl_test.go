package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

const example = "../../examples/kelburn/settings.yaml"

// run runs one command line and returns its exit code, output and errors.
func run(t *testing.T, stdin string, args ...string) (int, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(t.Context(), args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &errs})
	return code, out.String(), errs.String()
}

// site is a stand-in platform with a directory for an operator's files.
type site struct {
	*standin.Listener
	dir string
}

func newSite(t *testing.T) *site {
	t.Helper()
	l, err := standin.Start("127.0.0.1:0", "", standin.Config{})
	must.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = l.Close(ctx)
	})
	return &site{l, t.TempDir()}
}

// settings runs a settings subcommand against the site.
func (s *site) settings(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	return run(t, "", append([]string{"-platform", s.Addr(), "settings"}, args...)...)
}

func (s *site) write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(s.dir, name)
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// applyFirst commits the example as revision 1 and returns the output of show.
func (s *site) applyFirst(t *testing.T) string {
	t.Helper()
	code, out, errs := s.settings(t, "apply", "-base", "0", "-operator", "mairi", "-note", "first", example)
	must.Eq(t, ExitOK, code, must.Sprint(errs))
	must.StrContains(t, out, "committed revision=1 ")
	code, shown, _ := s.settings(t, "show")
	must.Eq(t, ExitOK, code)
	return shown
}

func TestChangeFromShowToHistory(t *testing.T) {
	s := newSite(t)
	shown := s.applyFirst(t)
	original, err := os.ReadFile(example)
	must.NoError(t, err)
	must.Eq(t, "# revision: 1\n"+string(original), shown)

	file := s.write(t, "site.yaml", strings.Replace(shown, "power_cap: 48kW", "power_cap: 47kW", 1))
	code, out, _ := s.settings(t, "diff", file)
	must.Eq(t, ExitDiffers, code)
	must.Eq(t, "~ site.power_cap: 48kW -> 47kW\n", out)

	code, _, _ = s.settings(t, "apply", "-stamp", "-operator", "aline", "-note", "new fuse", file)
	must.Eq(t, ExitOK, code)
	stamped, err := os.ReadFile(file)
	must.NoError(t, err)
	must.StrHasPrefix(t, "# revision: 2\n", string(stamped))
	code, out, _ = s.settings(t, "diff", file)
	must.Eq(t, ExitOK, code)
	must.Eq(t, "", out)

	code, out, _ = s.settings(t, "apply", "-from", "1", "-operator", "mairi", "-note", "fuse was fine")
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, "committed revision=3 ")
	_, out, _ = s.settings(t, "history")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	must.Len(t, 4, lines)
	must.StrContains(t, lines[1], "(content of revision 1) fuse was fine")
	must.StrContains(t, lines[2], "aline")
	_, out, _ = s.settings(t, "show")
	must.Eq(t, "# revision: 3\n"+string(original), out)
}

// Two operators edit revision 1; the second apply would undo the first. It must report who committed in between and what
// changed, and write nothing.
func TestApplyReportsConflict(t *testing.T) {
	s := newSite(t)
	shown := s.applyFirst(t)
	aline := s.write(t, "aline.yaml", strings.Replace(shown, "power_cap: 48kW", "power_cap: 47kW", 1))
	mairi := s.write(t, "mairi.yaml", strings.Replace(shown, "stall_floor: 2s", "stall_floor: 3s", 1))
	code, _, _ := s.settings(t, "apply", "-operator", "aline", "-note", "new fuse", aline)
	must.Eq(t, ExitOK, code)
	code, out, errs := s.settings(t, "apply", "-operator", "mairi", mairi)
	must.Eq(t, ExitConflict, code)
	must.StrContains(t, out, "revision 2 by aline at ")
	must.StrContains(t, out, ": new fuse\n")
	must.StrContains(t, out, "changed since revision 1:\n~ site.power_cap: 48kW -> 47kW\n")
	must.StrContains(t, errs, "revision 1 is no longer the newest, 2 is, committed by aline")
	must.Eq(t, 1, strings.Count(errs, "\n"))
	_, out, _ = s.settings(t, "show")
	must.StrContains(t, out, "power_cap: 47kW")
	must.StrContains(t, out, "stall_floor: 2s")
}

// A file without a base revision could be an old copy: committed on top of the newest revision, it
// would undo all changes in between.
func TestApplyRequiresBase(t *testing.T) {
	s := newSite(t)
	code, _, errs := s.settings(t, "apply", example)
	must.Eq(t, ExitUsage, code)
	must.StrContains(t, errs, "does not say which revision it starts from")
}

func TestApplyResolvesLostAnswer(t *testing.T) {
	s := newSite(t)
	s.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, Count: 1, WritesOnly: true})
	s.applyFirst(t)
	_, out, _ := s.settings(t, "history")
	must.Eq(t, 2, strings.Count(out, "\n"))
}

// The platform executes the change but answers after the command's timeout. The change takes effect, so the command must
// not report a failure: it reports an unknown outcome, and history shows the commit later.
func TestApplyTimeoutIsUnknown(t *testing.T) {
	s := newSite(t)
	s.SetFault(standin.Fault{Kind: standin.FaultSlow, DelayMS: 1500, WritesOnly: true})
	code, _, errs := run(t, "", "-platform", s.Addr(), "-timeout", "700ms", "settings", "apply", "-base", "0", example)
	must.Eq(t, ExitUnknown, code)
	must.StrContains(t, errs, "operation ")
	s.SetFault(standin.Fault{Kind: standin.FaultClear})
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool {
			_, out, _ := s.settings(t, "history")
			return strings.Count(out, "\n") == 2
		}),
		wait.Timeout(10*time.Second),
		wait.Gap(50*time.Millisecond),
	))
}

func TestApplyDuringAnOutage(t *testing.T) {
	s := newSite(t)
	s.SetFault(standin.Fault{Kind: standin.FaultOutage})
	code, _, errs := s.settings(t, "apply", "-base", "0", example)
	must.Eq(t, ExitUnavailable, code)
	must.Eq(t, 1, strings.Count(errs, "\n"))
}

func TestValidate(t *testing.T) {
	s := newSite(t)
	code, out, _ := run(t, "", "settings", "validate", example)
	must.Eq(t, ExitOK, code)
	must.Eq(t, example+": ok\n", out)
	file := s.write(t, "bad.yaml", "site:\n  name: s\n  failure_domains: [a]\n  colour: red\n  power_cap: 9\n")
	code, out, errs := run(t, "", "settings", "validate", file)
	must.Eq(t, ExitRefused, code)
	must.StrContains(t, out, file+":4: site.colour: got an unknown key")
	must.StrContains(t, out, file+`:5: site.power_cap: got "9", expected a power`)
	must.Eq(t, 1, strings.Count(errs, "\n"))
}

func TestExplain(t *testing.T) {
	code, out, errs := run(t, "", "settings", "explain", "-file", example, "planner-llm", "edinburgh-planning", "overnight")
	must.Eq(t, ExitOK, code, must.Sprint(errs))
	for _, want := range [][]string{
		{"policy.concurrency", "60", "services.planner-llm.workspaces.glasgow-planning.classes.overnight"},
		{"policy.weight", "4", "services.planner-llm.workspaces.glasgow-planning.policy"},
		{"policy.deadline", "9h", "classes.overnight"},
		{"policy.max_body", "1MiB", "policy"},
		{"policy.slow_reader_wait", "10s", "default"},
		{"service.fencing", "enforced", "services.planner-llm"},
		{"site.power_cap", "48kW", "site"},
	} {
		must.StrContains(t, collapseSpaces(out), strings.Join(want, " "))
	}
	code, _, errs = run(t, "", "settings", "explain", "-file", example, "planner-llm", "nobody", "overnight")
	must.Eq(t, ExitUsage, code)
	must.StrContains(t, errs, "has no such service, workspace or class")
}

// collapseSpaces turns runs of spaces into one.
func collapseSpaces(s string) string {
	for strings.Contains(s, "  ") {
		s = strings.ReplaceAll(s, "  ", " ")
	}
	return s
}

func TestHashKey(t *testing.T) {
	code, out, _ := run(t, "kelburn-depot-supervisors-example-key\n", "settings", "hash-key")
	must.Eq(t, ExitOK, code)
	text, err := os.ReadFile(example)
	must.NoError(t, err)
	must.StrContains(t, string(text), strings.TrimSpace(out))
}

func TestUsage(t *testing.T) {
	for _, tc := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"-h"}, ExitOK, "EXIT CODES"},
		{[]string{"settings", "apply", "-h"}, ExitOK, "-base"},
		{[]string{}, ExitUsage, "SUBCOMMANDS"},
		{[]string{"nonsense"}, ExitUsage, `unknown subcommand "nonsense"`},
		{[]string{"settings", "nonsense"}, ExitUsage, `unknown subcommand "nonsense"`},
		{[]string{"-nonsense"}, ExitUsage, "-nonsense"},
		{[]string{"-timeout", "5", "codes"}, ExitUsage, "-timeout"},
		{[]string{"settings", "history", "-n", "many"}, ExitUsage, "-n"},
		{[]string{"settings", "history"}, ExitUsage, "-platform is missing"},
		{[]string{"-platform", "platform:80", "settings", "history"}, ExitUsage, "not a host name"},
		{[]string{"settings", "validate"}, ExitUsage, "expected a FILE"},
		{[]string{"settings", "validate", "absent.yaml"}, ExitFailed, "absent.yaml"},
	} {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			code, out, errs := run(t, "", tc.args...)
			must.Eq(t, tc.code, code)
			must.StrContains(t, out+errs, tc.want)
			if code != ExitOK && len(tc.args) > 0 {
				must.Eq(t, 1, strings.Count(errs, "\n"))
				must.Eq(t, "", out)
			}
		})
	}
}

func TestPlatformFromEnvironment(t *testing.T) {
	s := newSite(t)
	s.applyFirst(t)
	t.Setenv("ANVILWICK_PLATFORM", s.Addr())
	code, out, errs := run(t, "", "settings", "history")
	must.Eq(t, ExitOK, code, must.Sprint(errs))
	must.StrContains(t, out, "mairi")
}

func TestVersionAndCodes(t *testing.T) {
	code, out, _ := run(t, "", "-version")
	must.Eq(t, ExitOK, code)
	must.StrHasPrefix(t, "anvilwick-ctl ", out)
	code, out, _ = run(t, "", "codes")
	must.Eq(t, ExitOK, code)
	must.StrContains(t, out, fmt.Sprintf("| %d | `%s` |", 3001, "queue_full"))
}
