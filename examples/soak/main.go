// Command soak runs real gateway processes on loopback under seeded faults and checks what their callers and targets observe.
//
// Exit codes: 0 if no guarantee was violated, 1 if one was or the run failed, 2 for invalid flags. Refused requests violate
// none.
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
injected from outside: signals, links that are delayed, reset, cut or silent in one direction, a store and targets that
misbehave, and settings that change. While it runs, it checks what callers and targets observe.

The same seed gives the same faults and requests at the same times; outcomes may differ with the timing of the
processes. The last line is key=value pairs. Exit codes: 0 if no guarantee was violated, 1 if one was or the run
failed, 2 for invalid flags.
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
