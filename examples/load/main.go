// Command load runs trials on a small site that it starts as separate processes on loopback: the load tool's mix, a
// comparison with direct streams (-compare), or kills of each role (-recover). Anvilwick's daemons start no other processes;
// this command does, for trials only.
//
// Exit codes: 0 if no guarantee was violated, 1 if one was or the run failed, 2 for invalid flags.
package main

import (
	"context"
	"os"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/lib/siterun"
)

// version is set by the build.
var version = "dev"

const help = `load runs trials on a small site that it starts as separate processes on loopback.

Exit codes: 0 if no guarantee was violated, 1 if one was or the run failed, 2 for invalid flags.
`

func main() {
	var cfg siterun.Config
	p := cmdline.Program{
		Name:     "load",
		Version:  version,
		Help:     help,
		Register: cfg.Register,
		Run:      func(ctx context.Context) error { return run(ctx, cfg) },
	}
	p.Main()
}

func run(ctx context.Context, cfg siterun.Config) error {
	if err := cfg.Check(); err != nil {
		return cmdline.UsageError(err)
	}
	return siterun.Run(ctx, cfg, os.Stdout)
}
