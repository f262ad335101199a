// Command anvilwick-control runs beside an entry: it watches settings, the instance list and drains, holds leases for
// power, model placement and weight transfers, and keeps its entry told.
//
// Exit codes: 0 after a graceful stop, 1 when it failed while running, 2 for bad flags, with nothing started.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"anvilwick.example/anvilwick/lib/controlproc"
	"anvilwick.example/anvilwick/lib/logline"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	envPrefix  = "ANVILWICK_CONTROL"
)

// version is set by the build.
var version = "dev"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	cfg, show, err := parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return usage(err)
	case show:
		fmt.Println("anvilwick-control", version)
		return exitOK
	}
	if err := logline.Setup(os.Stderr, cfg.LogLevel); err != nil {
		return usage(err)
	}
	cfg.Version = version
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	p, err := controlproc.Start(cfg)
	if err != nil {
		return usage(err)
	}
	if err := p.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "anvilwick-control:", err)
		return exitFailed
	}
	return exitOK
}

func parse(args []string) (cfg controlproc.Config, showVersion bool, err error) {
	fs := flag.NewFlagSet("anvilwick-control", flag.ContinueOnError)
	cfg.Register(fs)
	fs.BoolVar(&showVersion, "version", false, "print the version and exit")
	_ = fs.String("config", "", "file of flags, one \"name value\" a line")
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	err = ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser))
	if errors.Is(err, flag.ErrHelp) {
		printHelp(fs)
	}
	return cfg, showVersion, err
}

const help = `anvilwick-control runs beside an entry: it watches settings, the instance list and operators' drains, holds leases
for power, model placement and weight transfers, and keeps its entry told. Killing it cuts no stream.

Every flag can also be given by the environment (ANVILWICK_CONTROL_ and the name in capitals, "-" as "_") or by the file
that -config names. The command line comes first, then the environment, then the file.

Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 when it failed while running, 2 for bad flags.

`

func printHelp(fs *flag.FlagSet) {
	fmt.Print(help)
	fs.SetOutput(os.Stdout)
	fs.PrintDefaults()
}

func usage(err error) int {
	fmt.Fprintln(os.Stderr, "anvilwick-control:", err)
	return exitUsage
}
