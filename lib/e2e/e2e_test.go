package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/workload"
)

const (
	workspace = "treaty-desk"
	model     = "treaty-70b"
	patience  = 2 * time.Minute // of one test, the build of the binaries included; they wait on conditions and end much sooner
)

// sites bounds the sites that run at once, some ten processes each: more would wait for the processor and not for the
// conditions that the tests are about.
var sites = make(chan struct{}, 4)

func TestMain(m *testing.M) {
	code := m.Run()
	proc.RemoveBinaries()
	os.Exit(code)
}

// siteOf starts a site with the settings that most tests use.
func siteOf(t *testing.T, engines, entries int, engineFlags ...string) (*localsite.Site, context.Context) {
	t.Helper()
	return siteWith(t, engines, entries, someSettings(), engineFlags...)
}

func someSettings() localsite.Settings {
	return localsite.Settings{
		Model: model, Service: "anvilwick-treaty", Route: "/ledger", Workspaces: []string{workspace},
		Classes: []workload.Class{{Name: "standard", Priority: 50, MaxWait: time.Minute, QueueBound: 100, MaxPreemptions: 2}},
	}
}

// siteWith starts a site and stops it at the end of the test. On a failure it shows what the processes said.
func siteWith(t *testing.T, engines, entries int, settings localsite.Settings, engineFlags ...string) (*localsite.Site, context.Context) {
	t.Helper()
	t.Parallel()
	sites <- struct{}{}
	t.Cleanup(func() { <-sites })
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	bin, err := proc.Binaries(ctx)
	must.NoError(t, err)
	site, err := localsite.Start(ctx, localsite.Config{
		Binaries: bin, Engines: engines, Plains: 2, Entries: entries, Settings: settings,
		EngineFlags: append([]string{"-report-lag", "100ms", "-step-base", "5ms"}, engineFlags...),
	})
	must.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			for _, n := range site.Nodes() {
				t.Logf("--- %s\n%s", n.Name, n.Output())
			}
		}
		site.Close()
	})
	return site, ctx
}

func clientOf(site *localsite.Site) *caller.Client {
	return &caller.Client{Entries: site.CallerAddrs(), Token: localsite.WorkspaceKey(workspace), HTTP: &http.Client{Transport: &http.Transport{}}}
}

// stream is a generation in progress.
type stream struct {
	prompt string
	tokens int
	seen   chan caller.Token
	done   chan struct{}
	text   strings.Builder
	res    caller.Result
	err    error
}

// start asks for an answer of n tokens.
func start(ctx context.Context, c *caller.Client, name string, n int, call caller.Call) *stream {
	s := &stream{
		prompt: fmt.Sprintf("%s [len=%d]", name, n),
		tokens: n,
		seen:   make(chan caller.Token, n),
		done:   make(chan struct{}),
	}
	call.Model, call.Prompt, call.Class = model, s.prompt, "standard"
	go func() {
		defer close(s.done)
		s.res, s.err = c.Stream(ctx, call, func(tok caller.Token) {
			s.text.WriteString(tok.Text)
			s.seen <- tok
		})
	}()
	return s
}

// reach waits until token n has come.
func (s *stream) reach(t *testing.T, ctx context.Context, n int) {
	t.Helper()
	for {
		select {
		case tok := <-s.seen:
			if tok.Index >= n {
				return
			}
		case <-s.done:
			if len(s.seen) > 0 {
				continue // what is still to be read comes first
			}
			t.Fatalf("%s ended before token %d: %+v %v", s.prompt, n, s.res, s.err)
		case <-ctx.Done():
			t.Fatalf("%s: token %d did not come", s.prompt, n)
		}
	}
}

// whole waits for the end and checks every token.
func (s *stream) whole(t *testing.T, ctx context.Context) {
	t.Helper()
	select {
	case <-s.done:
	case <-ctx.Done():
		t.Fatalf("%s did not end", s.prompt)
	}
	must.NoError(t, s.err, must.Sprint(s.prompt))
	must.NoError(t, engine.CheckAnswer(s.prompt, s.text.String(), s.tokens))
}

func running(nodes []*localsite.Node) int {
	n := 0
	for _, node := range nodes {
		if node.Running() {
			n++
		}
	}
	return n
}
