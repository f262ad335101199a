// Command anvilwick-load sends a seeded, open-loop mix of requests to entries, measures what callers see by workspace
// and class, and checks every answer.
//
// Exit codes: 0 when no promise was broken, 1 when one was or the run failed, 2 for bad flags. Refusals are no breach.
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

	"anvilwick.example/anvilwick/lib/loadrun"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	envPrefix  = "ANVILWICK_LOAD"
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
		return fail(exitUsage, err)
	case show:
		fmt.Println("anvilwick-load", version)
		return exitOK
	}
	if err := cfg.Check(); err != nil {
		return fail(exitUsage, err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := loadrun.Run(ctx, cfg, os.Stdout, nil); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

func parse(args []string) (cfg loadrun.Config, showVersion bool, err error) {
	fs := flag.NewFlagSet("anvilwick-load", flag.ContinueOnError)
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

const help = `anvilwick-load sends a seeded, open-loop mix of requests to entries, measures what callers see by workspace and class,
and checks every answer against the stand-in engines' text.

The last line is key=value pairs. Exit codes: 0 when no promise was broken, 1 when one was or the run failed, 2 for
bad flags.

`

func printHelp(fs *flag.FlagSet) {
	fmt.Print(help)
	fs.SetOutput(os.Stdout)
	fs.PrintDefaults()
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "anvilwick-load:", err)
	return code
}
