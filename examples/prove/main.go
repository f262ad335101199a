// Command prove starts a small site of separate processes, runs clients against it under seeded faults, and checks what
// they observed. It also measures recovery after kills, and the time until settings are in force.
//
// Exit codes: 0 if no guarantee was violated, 1 if one was or the run failed, 2 for invalid flags. Refused requests violate
// none.
package main

import (
	"context"
	"os"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/lib/prove"
)

// version is set by the build.
var version = "dev"

const help = `prove starts a small site of separate processes on loopback, runs clients against it under seeded faults, and
checks what they observed: histories by porcupine, and plain invariants. The same seed gives the same operations and faults
at the same times; outcomes may differ with the timing of the processes.

The last line is key=value pairs. Exit codes: 0 if no guarantee was violated, 1 if one was or the run failed, 2 for
invalid flags.
`

func main() {
	var cfg prove.Config
	p := cmdline.Program{
		Name:     "prove",
		Version:  version,
		Help:     help,
		Register: cfg.Register,
		Run:      func(ctx context.Context) error { return run(ctx, cfg) },
	}
	p.Main()
}

func run(ctx context.Context, cfg prove.Config) error {
	if err := cfg.Check(); err != nil {
		return cmdline.UsageError(err)
	}
	return prove.Run(ctx, cfg, os.Stdout)
}
