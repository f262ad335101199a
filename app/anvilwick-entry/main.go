// Command anvilwick-entry serves callers: it accepts their requests, places them on targets and streams the answers.
//
// Exit codes: 0 after a graceful stop; 1 if it failed while running or cut requests at the stop limit; 2 for invalid flags
// or settings, with nothing started.
package main

import (
	"context"
	"os"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/lib/entryproc"
	"anvilwick.example/anvilwick/lib/logline"
)

// version is set by the build.
var version = "dev"

const help = `anvilwick-entry serves callers: it accepts their requests, places them on targets and streams the answers.

Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 if it failed while running, 2 for invalid flags or settings.
`

func main() {
	var cfg entryproc.Config
	p := cmdline.Program{
		Name:     "anvilwick-entry",
		Version:  version,
		Help:     help,
		Daemon:   true,
		Register: cfg.Register,
		Run:      func(ctx context.Context) error { return run(ctx, cfg) },
	}
	p.Main()
}

func run(ctx context.Context, cfg entryproc.Config) error {
	out, err := logline.SetupProcess(os.Stderr, cfg.LogLevel)
	if err != nil {
		return cmdline.UsageError(err)
	}
	defer out.Flush(logline.FlushTimeout)
	p, err := entryproc.Start(cfg)
	if err != nil {
		return cmdline.UsageError(err)
	}
	select {
	case <-ctx.Done():
		return p.Stop()
	case err := <-p.Failed():
		return err
	}
}
