// Command anvilwick-control runs beside an entry: it watches settings, the instance list and drains, holds leases for
// power, model placement and weight transfers, and passes updates to its entry.
//
// Exit codes: 0 after a graceful stop, 1 if it failed while running, 2 for invalid flags, with nothing started.
package main

import (
	"context"
	"os"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/lib/controlproc"
	"anvilwick.example/anvilwick/lib/logline"
)

// version is set by the build.
var version = "dev"

const help = `anvilwick-control runs beside an entry: it watches settings, the instance list and operators' drains, holds leases
for power, model placement and weight transfers, and passes updates to its entry. Killing it cuts no stream.

Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 if it failed while running, 2 for invalid flags.
`

func main() {
	cfg := controlproc.Config{Version: version}
	p := cmdline.Program{
		Name:     "anvilwick-control",
		Version:  version,
		Help:     help,
		Daemon:   true,
		Register: cfg.Register,
		Run:      func(ctx context.Context) error { return run(ctx, cfg) },
	}
	p.Main()
}

func run(ctx context.Context, cfg controlproc.Config) error {
	out, err := logline.SetupProcess(os.Stderr, cfg.LogLevel)
	if err != nil {
		return cmdline.UsageError(err)
	}
	defer out.Flush(logline.FlushTimeout)
	p, err := controlproc.Start(cfg)
	if err != nil {
		return cmdline.UsageError(err)
	}
	return p.Run(ctx)
}
