// Command demo shows anvilwick on one machine, as separate processes on loopback: the platform's stand-in, three model
// engines, two plain services, and three entries in three failure domains, each with its control process. It streams a
// generation, calls a plain service, kills the engine in the middle of a stream, shows that the answer still arrives
// complete, and stops everything gracefully. With -stay it starts the same site, prints commands to try, and stops the site
// on SIGINT or SIGTERM.
//
// It exits with 0 after its last line "demo: ok …", and with 1 after any failure.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/workload"
)

const (
	limit       = 50 * time.Second // of the whole demo
	shortAnswer = 40               // tokens
	longAnswer  = 300              // tokens
	killAt      = 60               // tokens of the long answer
	workspace   = "glasgow-planning"
	model       = "planner-70b"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs")
	keepRunning := flag.Bool("stay", false, "start the site, print commands to try, and wait to be interrupted")
	verbose := flag.Bool("v", false, "show the logs of all processes")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var logs io.Writer
	if *verbose {
		logs = os.Stderr
	}
	work := run
	if *keepRunning {
		work = runUntilInterrupted
	}
	if err := work(ctx, *bin, logs); err != nil {
		fmt.Fprintln(os.Stderr, "demo: failed:", err)
		os.Exit(1)
	}
}

func startSite(ctx context.Context, bin string, logs io.Writer) (*localsite.Site, error) {
	return localsite.Start(ctx, localsite.Config{
		Binaries: bin, Engines: 3, Plains: 2, Entries: 3, Output: logs,
		EngineFlags: []string{"-report-lag", "200ms"},
		Settings: localsite.Settings{
			Model: model, Service: "planner-llm", Route: "/dispatch", Workspaces: []string{workspace},
			Classes: []workload.Class{{Name: "standard", Priority: 50, MaxWait: time.Minute, QueueBound: 100, MaxPreemptions: 2}},
		},
	})
}

func run(ctx context.Context, bin string, logs io.Writer) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	site, err := startSite(ctx, bin, logs)
	if err != nil {
		return err
	}
	defer site.Close()
	for _, n := range site.Entries {
		fmt.Printf("demo: %s in %s takes callers on %s\n", n.Name, n.Domain, n.Addr)
	}
	d := &demo{site: site, client: &caller.Client{Entries: site.CallerAddrs(), Token: localsite.WorkspaceKey(workspace), HTTP: httpresp.DefaultClient}}
	steps := []func(context.Context) error{d.stream, d.plain, d.kill, d.stop}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Printf("demo: ok seconds=%.1f tokens=%d engine_killed=%s\n", time.Since(began).Seconds(), d.tokens, d.killed)
	return nil
}

type demo struct {
	site   *localsite.Site
	client *caller.Client
	tokens int
	killed string
}

// generate streams an answer of n tokens and checks that it is complete; onToken is called after each token.
func (d *demo) generate(ctx context.Context, question string, n, entry int, onToken func(caller.Token)) error {
	prompt := fmt.Sprintf("%s [len=%d]", question, n)
	var text strings.Builder
	began := time.Now()
	res, err := d.client.Stream(ctx, caller.Call{Model: model, Prompt: prompt, Class: "standard", Entry: entry}, func(t caller.Token) {
		text.WriteString(t.Text)
		if t.Index == 0 {
			fmt.Printf("demo:   first token after %d ms\n", time.Since(began).Milliseconds())
		}
		onToken(t)
	})
	if err != nil {
		return fmt.Errorf("%q: %w", question, err)
	}
	if err := engine.CheckAnswer(prompt, text.String(), n); err != nil {
		return fmt.Errorf("%q: %w", question, err)
	}
	d.tokens += res.Tokens
	fmt.Printf("demo:   whole: %d tokens in order, of one generation, end mark seen, in %d ms\n", res.Tokens, time.Since(began).Milliseconds())
	return nil
}

func (d *demo) stream(ctx context.Context) error {
	for i, e := range d.site.Entries {
		fmt.Printf("demo: a question to %s\n", e.Name)
		if err := d.generate(ctx, fmt.Sprintf("Is Sauchiehall Street closed on day %d?", i), shortAnswer, i, func(caller.Token) {}); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) plain(ctx context.Context) error {
	fmt.Println("demo: a plain call of dispatch, by GET and by POST")
	for _, c := range []caller.PlainCall{
		{Method: http.MethodGet, Path: "/dispatch/status?id=bin-day"},
		{Method: http.MethodPost, Path: "/dispatch/crews?id=crew-7", Body: "to Buchanan Street"},
	} {
		body, res, err := d.client.Plain(ctx, c)
		if err != nil {
			return err
		}
		if res.HTTP != http.StatusOK || !strings.Contains(string(body), `"executions":1`) {
			return fmt.Errorf("%s %s: status %d: %s", c.Method, c.Path, res.HTTP, body)
		}
		fmt.Printf("demo:   %s %s: %s\n", c.Method, c.Path, strings.TrimSpace(string(body)))
	}
	return nil
}

// kill streams a long answer and kills the engine that runs it midway.
func (d *demo) kill(ctx context.Context) error {
	fmt.Printf("demo: a route narrative of %d tokens; its engine is killed after %d\n", longAnswer, killAt)
	var killErr error
	err := d.generate(ctx, "Narrate the barrow route through Dennistoun.", longAnswer, 0, func(t caller.Token) {
		if t.Index == killAt {
			killErr = d.killBusy(ctx)
		}
	})
	return errors.Join(killErr, err)
}

func (d *demo) killBusy(ctx context.Context) error {
	n, err := d.site.StreamingEngine(ctx)
	if err != nil {
		return err
	}
	if n == nil {
		return errors.New("no engine runs the long answer")
	}
	fmt.Printf("demo:   SIGKILL to %s, process %d\n", n.Name, n.PID())
	d.killed = n.Name
	return n.Kill()
}

func (d *demo) stop(ctx context.Context) error {
	fmt.Println("demo: stopping all processes by SIGTERM")
	if exited := d.exited(); len(exited) != 1 {
		return fmt.Errorf("processes that exited early: %v, want only %s", exited, d.killed)
	}
	return d.site.Stop(ctx)
}

func (d *demo) exited() []string {
	var names []string
	for _, n := range d.site.Nodes() {
		if !n.Running() {
			names = append(names, n.Name)
		}
	}
	return names
}
