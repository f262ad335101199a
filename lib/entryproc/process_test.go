package entryproc

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/standin/engine"
)

const testKey = "test-key"

func init() { log.DefaultLogger.Level = log.PanicLevel }

func settingsFile(t *testing.T, engineAddr string) string {
	t.Helper()
	text := fmt.Sprintf(`
site: {name: test, failure_domains: [govan-depot]}
classes: {standard: {priority: 50}, urgent: {priority: 90, concurrency: 1}}
workspaces:
  glasgow-planning:
    keys: ["sha256:%x"]
    classes: [standard, urgent]
services:
  planner-llm:
    kind: model
    models: [planner-llm]
    resumes: true
    targets:
      planner-1: {addr: %q, failure_domain: govan-depot}
`, sha256.Sum256([]byte(testKey)), engineAddr)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func startEngine(t *testing.T) *engine.Server {
	t.Helper()
	cfg := engine.Config{Addr: "127.0.0.1:0", Engine: enginemodel.Default(), Model: "planner-llm", Die: func() {}}
	cfg.Engine.StepBase = 2 * time.Millisecond
	e, err := engine.Start(cfg)
	must.NoError(t, err)
	t.Cleanup(e.Kill)
	return e
}

func config(file string) Config {
	return Config{
		Listen:       "127.0.0.1:0",
		OpsAddr:      "127.0.0.1:0",
		Instance:     "entry-1",
		SettingsFile: file,
		MaxStreams:   100,
		StopNotice:   500 * time.Millisecond,
	}
}

func post(t *testing.T, p *Process, class, prompt string) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":"planner-llm","stream":true,"prompt":%q}`, prompt)
	req, err := http.NewRequest(http.MethodPost, "http://"+p.Addr()+"/v1/completions", strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("X-Anvilwick-Class", class)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func status(t *testing.T, addr, path string) int {
	t.Helper()
	resp, err := http.Get("http://" + addr + path)
	must.NoError(t, err)
	resp.Body.Close()
	return resp.StatusCode
}

// SIGTERM while a response is streaming: readiness ends at once so that balancers stop sending, requests that still arrive are
// served, the response continues to its [DONE], and only then does the process close its port.
func TestStopWaitsForOpenResponses(t *testing.T) {
	p, err := Start(config(settingsFile(t, startEngine(t).Addr())))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status(t, p.OpsAddr(), "/readyz"))
	lines := bufio.NewScanner(post(t, p, "standard", "narrative [len=100]").Body)
	must.True(t, lines.Scan())
	stopped := make(chan error, 1)
	go func() { stopped <- p.Stop() }()
	for status(t, p.OpsAddr(), "/readyz") != http.StatusServiceUnavailable {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, http.StatusOK, post(t, p, "standard", "sent by a balancer that has not noticed [len=3]").StatusCode)
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	must.Eq(t, "data: [DONE]", last)
	must.NoError(t, <-stopped)
	_, err = http.Get("http://" + p.Addr() + "/")
	must.Error(t, err)
}

// A class allows one request in progress. The second is rejected at once with Retry-After; after the first has ended,
// requests are admitted again.
func TestLimitIsEnforced(t *testing.T) {
	p, err := Start(config(settingsFile(t, startEngine(t).Addr())))
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, p.Stop()) })
	var first *http.Response
	for end := time.Now().Add(10 * time.Second); first == nil; time.Sleep(20 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("the limit's coordinator never granted a share"))
		if resp := post(t, p, "urgent", "question [len=200]"); resp.StatusCode == http.StatusOK {
			first = resp
		}
	}
	second := post(t, p, "urgent", "question")
	must.Eq(t, http.StatusTooManyRequests, second.StatusCode)
	must.NotEq(t, "", second.Header.Get("Retry-After"))
	_, err = io.Copy(io.Discard, first.Body)
	must.NoError(t, err)
	for post(t, p, "urgent", "question [len=3]").StatusCode != http.StatusOK {
		time.Sleep(20 * time.Millisecond)
	}
}

// Bad flags and settings are reported in one line, and no port is left open.
func TestBadConfigStartsNothing(t *testing.T) {
	good := settingsFile(t, "127.0.0.1:1")
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	must.NoError(t, os.WriteFile(bad, []byte("site:\n  name: x\n  colour: red\n"), 0o600))
	for name, change := range map[string]func(*Config){
		"-listen":          func(c *Config) { c.Listen = "localhost:1" },
		"-instance":        func(c *Config) { c.Instance = "" },
		"-settings":        func(c *Config) { c.SettingsFile = "" },
		"no such file":     func(c *Config) { c.SettingsFile = "absent.yaml" },
		"bad.yaml:3":       func(c *Config) { c.SettingsFile = bad },
		"-max-streams":     func(c *Config) { c.MaxStreams = 0 },
		"-platform":        func(c *Config) { c.Platform = "platform" },
		"-stop-notice and": func(c *Config) { c.StopNotice = -1 },
	} {
		cfg := config(good)
		change(&cfg)
		_, err := Start(cfg)
		must.ErrorContains(t, err, name)
	}
}
