// Command soak runs real gateway processes on loopback under seeded faults and checks what their callers and targets see.
//
// Exit codes: 0 when no promise was broken, 1 when one was or the run failed, 2 for bad flags. Refusals are no breach.
package main

import (
	"context"
	"os"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/platform/soak"
)

// version is set by the build.
var version = "dev"

const help = `soak runs real gateway processes on loopback, with stand-ins of the platform's store and targets, under seeded faults
from outside them: signals, links that are delayed, reset, cut or silent one way, a store and targets that misbehave,
settings that change. It checks while it runs what callers and targets see.

The same seed gives the same faults and requests at the same times; outcomes may differ with the timing of the
processes. The last line is key=value pairs. Exit codes: 0 when no promise was broken, 1 when one was or the run
failed, 2 for bad flags.
`

func main() {
	var cfg soak.Config
	p := cmdline.Program{
		Name:     "soak",
		Version:  version,
		Help:     help,
		Register: cfg.Register,
		Run:      func(ctx context.Context) error { return run(ctx, cfg) },
	}
	p.Main()
}

func run(ctx context.Context, cfg soak.Config) error {
	if err := cfg.Check(); err != nil {
		return cmdline.UsageError(err)
	}
	return soak.Run(ctx, cfg, os.Stdout)
}
