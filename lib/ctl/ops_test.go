package ctl

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/opsapi"
)

const opsToken = "t0ken"

// opsServer serves src and returns its address.
func opsServer(t *testing.T, src opsapi.Source) string {
	t.Helper()
	srv := httptest.NewServer(opsapi.Handler([]opsapi.Hash{opsapi.HashToken(opsToken)}, src))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func runOps(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "token")
	must.NoError(t, os.WriteFile(file, []byte(opsToken+"\n"), 0o600))
	var o, e bytes.Buffer
	args = append([]string{args[0], "-token-file", file}, args[1:]...)
	code = Run(t.Context(), args, Streams{In: strings.NewReader(""), Out: &o, Err: &e})
	return code, o.String(), e.String()
}

func statusSource(instance string, revision uint64) opsapi.Source {
	return opsapi.Source{Status: func() opsapi.Status {
		return opsapi.Status{
			Instance: instance, Role: opsapi.RoleControl, SettingsRevision: revision,
			Members: []opsapi.Member{{Instance: instance, State: "live"}, {Instance: "far", State: "suspect", SettingsRevision: 4}},
			Leases:  []opsapi.Lease{{Name: "power", Fence: 17}},
		}
	}}
}

func TestStatusShowsTheRevisionOfEachInstance(t *testing.T) {
	a, b := opsServer(t, statusSource("i1", 5)), opsServer(t, statusSource("i2", 6))
	code, out, _ := runOps(t, "status", "-ops", a+","+b)
	must.Eq(t, ExitOK, code)
	for _, want := range []string{`i1 +control +- +5 `, `i2 +control +- +6 `, `far +- +suspect +4`,
		`lease power +held by i2 +fencing number 17`} {
		must.RegexMatch(t, regexp.MustCompile(want), out)
	}
}

// One of two processes is down. The status of the other must still be shown, and the exit code must report the failure.
func TestStatusShowsOthersWhenOneIsDown(t *testing.T) {
	a := opsServer(t, statusSource("i1", 5))
	code, out, errs := runOps(t, "status", "-ops", a+",127.0.0.1:1")
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, out, "i1")
	must.StrContains(t, out, "127.0.0.1:1: no answer")
	must.StrContains(t, errs, "127.0.0.1:1")
}

// Each entry has reports only of the targets that it owns. In the view of a single process all others would look silent to an operator
// who decides whether a target may be removed.
func TestTargetsAreMergedByMostRecentReport(t *testing.T) {
	knows := func(list ...opsapi.Target) string {
		return opsServer(t, opsapi.Source{Targets: func() []opsapi.Target { return list }})
	}
	a := knows(opsapi.Target{Name: "t1", State: "silent"}, opsapi.Target{Name: "t2", State: "live", ReportAgeMS: 900, Running: 1})
	b := knows(opsapi.Target{Name: "t1", State: "live", ReportAgeMS: 50, Running: 7},
		opsapi.Target{Name: "t2", State: "draining", ReportAgeMS: 30, Running: 4})
	code, out, _ := runOps(t, "targets", "-ops", a+","+b)
	must.Eq(t, ExitOK, code)
	must.RegexMatch(t, regexp.MustCompile(`t1 +live .* 7 `), out)
	must.RegexMatch(t, regexp.MustCompile(`t2 +draining .* 4 `), out)
}

func TestTargetsAndQueues(t *testing.T) {
	addr := opsServer(t, opsapi.Source{
		Targets: func() []opsapi.Target {
			return []opsapi.Target{{Service: "s", Name: "t1", State: "draining", Model: "m", ModelVersion: "2"}}
		},
		Queues: func() []opsapi.Queue { return []opsapi.Queue{{Service: "s", Queued: 7}} },
	})
	code, out, _ := runOps(t, "targets", "-ops", "127.0.0.1:1,"+addr)
	must.Eq(t, ExitFailed, code) // one did not answer; the other is still shown
	must.StrContains(t, out, "m@2")
	code, out, _ = runOps(t, "queues", "-ops", addr)
	must.Eq(t, ExitOK, code)
	must.RegexMatch(t, regexp.MustCompile(`s +0 +- +- +7`), out)
}

func drainSource(rep opsapi.DrainReply, err error, got *opsapi.DrainRequest) opsapi.Source {
	return opsapi.Source{Drain: func(_ context.Context, r opsapi.DrainRequest) (opsapi.DrainReply, error) {
		*got = r
		return rep, err
	}}
}

// The table accepts the drain through one of two processes, which is enough. If it accepts it through none, the operator must be told
// that the drain does not reach all instances.
func TestDrainReportsWhetherRecorded(t *testing.T) {
	var got opsapi.DrainRequest
	local := opsServer(t, drainSource(opsapi.DrainReply{Applied: true}, nil, &got))
	durable := opsServer(t, drainSource(opsapi.DrainReply{Applied: true, Durable: true}, nil, &got))
	refusing := opsServer(t, drainSource(opsapi.DrainReply{}, errors.New("no target"), &got))

	code, _, _ := runOps(t, "drain", "-ops", local+","+durable, "-operator", "ann", "t1")
	must.Eq(t, ExitOK, code)
	must.Eq(t, opsapi.DrainRequest{Target: "t1", On: true, Operator: "ann"}, got)
	code, _, _ = runOps(t, "drain", "-ops", durable, "-off", "-operator", "ann", "t1")
	must.Eq(t, ExitOK, code)
	must.False(t, got.On)
	code, _, errs := runOps(t, "drain", "-ops", local, "-operator", "ann", "t1")
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, errs, "not in the table")
	code, out, _ := runOps(t, "drain", "-ops", refusing, "-operator", "ann", "t1")
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, out, "no target")
}

func TestOpsNeedAddressesAndAToken(t *testing.T) {
	for _, args := range [][]string{{"status"}, {"status", "-ops", "localhost:80"}, {"drain", "-ops", "127.0.0.1:1"}} {
		code, _, _ := runOps(t, args...)
		must.Eq(t, ExitUsage, code, must.Sprint(args))
	}
	addr := opsServer(t, statusSource("i1", 5))
	var o, e bytes.Buffer
	code := Run(t.Context(), []string{"status", "-ops", addr}, Streams{Out: &o, Err: &e})
	must.Eq(t, ExitFailed, code)
	must.StrContains(t, e.String(), "401")
}
