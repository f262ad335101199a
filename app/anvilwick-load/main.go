// Command anvilwick-load sends a seeded, open-loop mix of requests to entries, measures latencies and outcomes by workspace
// and class, and checks every answer.
//
// Exit codes: 0 if no guarantee was violated, 1 if one was or the run failed, 2 for invalid flags. Refused requests violate
// none.
package main

import (
	"context"
	"os"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/lib/loadrun"
)

// version is set by the build.
var version = "dev"

const help = `anvilwick-load sends a seeded, open-loop mix of requests to entries, measures latencies and outcomes by workspace and class,
and checks every answer against the stand-in engines' text.

The last line is key=value pairs. Exit codes: 0 if no guarantee was violated, 1 if one was or the run failed, 2 for
invalid flags.
`

func main() {
	var cfg loadrun.Config
	p := cmdline.Program{
		Name:     "anvilwick-load",
		Version:  version,
		Help:     help,
		Register: cfg.Register,
		Run:      func(ctx context.Context) error { return run(ctx, cfg) },
	}
	p.Main()
}

func run(ctx context.Context, cfg loadrun.Config) error {
	if err := cfg.Check(); err != nil {
		return cmdline.UsageError(err)
	}
	return loadrun.Run(ctx, cfg, os.Stdout, nil)
}
