// Command anvilwick-gateway forwards callers' requests to the targets of a site whose platform provides the settings and the
// list of targets. It needs no disk and no other anvilwick process.
//
// Exit codes: 0 after a planned stop (SIGTERM or SIGINT), whatever it had to abort at the end of the grace period; 1 if it failed while
// running; 2 for invalid flags or settings.
package main

import (
	"context"
	"flag"
	"net"
	"os"
	"strconv"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/cmdline"
	"anvilwick.example/anvilwick/lib/gatewayproc"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/wirehttp"
	"anvilwick.example/anvilwick/platform"
)

// version is set by the build.
var version = "dev"

const help = `anvilwick-gateway forwards callers' requests to the targets of a platform's site.

The environment variable ` + platform.SettingsEnv + ` names the instance's settings file (TOML), which the platform writes.

Exit codes: 0 after a planned stop (SIGTERM or SIGINT), whatever it had to abort at the end of the grace period, 1 if it failed while
running, 2 for invalid flags or settings.
`

func main() {
	var o options
	p := cmdline.Program{
		Name:     "anvilwick-gateway",
		Version:  version,
		Help:     help,
		Daemon:   true,
		Register: o.register,
		Run:      func(ctx context.Context) error { return run(ctx, o) },
	}
	p.Main()
}

// options holds the values of the flags.
type options struct {
	level       string
	metricsPort int
	targetProxy string
}

func (o *options) register(fs *flag.FlagSet) {
	fs.StringVar(&o.level, "log-level", "info", "lowest level that is logged: "+logline.Levels)
	fs.IntVar(&o.metricsPort, "metrics-port", 0, "port on the instance's address that serves /metrics; 0: none")
	fs.StringVar(&o.targetProxy, "target-proxy", "", "address of an HTTP proxy (CONNECT) for the connections to targets; empty: none")
}

func run(ctx context.Context, o options) error {
	out, err := logline.SetupProcess(os.Stdout, o.level)
	if err != nil {
		return cmdline.UsageError(err)
	}
	s, err := platform.LoadSettings()
	if err != nil {
		logline.Send(log.Error().Str("event", "end").Str("reason", "settings"), err)
		out.Flush(logline.FlushTimeout)
		return cmdline.UsageError(err)
	}
	s.Process.FlushLog = out.Flush
	if o.metricsPort != 0 {
		s.Process.Metrics = net.JoinHostPort(s.IP, strconv.Itoa(o.metricsPort))
	}
	if o.targetProxy != "" {
		s.DialTarget = wirehttp.DialThrough(o.targetProxy)
	}
	return gatewayproc.Run(ctx, s.Process, s.Site())
}
