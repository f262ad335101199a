// Command anvilwick-gateway passes callers' requests through to the targets of a site whose platform keeps settings and
// the list of targets. It needs no disk and no other process of ours.
//
// Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 when it failed while running, 2 for bad flags or settings.
package main

import (
	"context"
	"flag"
	"os"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/lib/gatewayproc"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/platform"
)

// version is set by the build.
var version = "dev"

const help = `anvilwick-gateway passes callers' requests through to the targets of a platform's site.

The environment variable ` + platform.SettingsEnv + ` names the instance's settings file (TOML), which the platform writes.

Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 when it failed while running, 2 for bad flags or settings.
`

func main() {
	var level string
	p := cmdline.Program{
		Name:    "anvilwick-gateway",
		Version: version,
		Help:    help,
		Register: func(fs *flag.FlagSet) {
			fs.StringVar(&level, "log-level", "info", "lowest level logged: "+logline.Levels)
		},
		Run: func(ctx context.Context) error { return run(ctx, level) },
	}
	p.Main()
}

func run(ctx context.Context, level string) error {
	if err := logline.Setup(os.Stdout, level); err != nil {
		return cmdline.Usage(err)
	}
	s, err := platform.LoadSettings()
	if err != nil {
		return cmdline.Usage(err)
	}
	return gatewayproc.Run(ctx, s.Process, s.Site())
}
