// Command load runs trials on a small site that it starts for itself as separate processes on loopback: the load tool's mix,
// a comparison with direct streams (-compare), or kills of each role (-recover). The programs themselves start no other
// process; this one does, for trials only.
//
// Exit codes: 0 when no promise was broken, 1 when one was or the run failed, 2 for bad flags.
package main

import (
	"context"
	"os"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/lib/siterun"
)

// version is set by the build.
var version = "dev"

const help = `load runs trials on a small site that it starts for itself as separate processes on loopback.

Exit codes: 0 when no promise was broken, 1 when one was or the run failed, 2 for bad flags.
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
