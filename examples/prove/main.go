// Command prove starts a small site of separate processes, runs clients against it under seeded faults, and
// checks what they saw. It also measures recovery after kills, and how soon settings are in force.
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

	"anvilwick.example/anvilwick/lib/prove"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	envPrefix  = "PROVE"
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
		fmt.Println("prove", version)
		return exitOK
	}
	if err := cfg.Check(); err != nil {
		return fail(exitUsage, err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := prove.Run(ctx, cfg, os.Stdout); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

func parse(args []string) (cfg prove.Config, showVersion bool, err error) {
	fs := flag.NewFlagSet("prove", flag.ContinueOnError)
	cfg.Register(fs)
	fs.BoolVar(&showVersion, "version", false, "print the version and exit")
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	err = ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix))
	if errors.Is(err, flag.ErrHelp) {
		printHelp(fs)
	}
	return cfg, showVersion, err
}

const help = `prove starts a small site of separate processes on loopback, runs clients against it under seeded faults, and
checks what they saw: histories by porcupine, and plain invariants. The same seed gives the same operations and faults
at the same times; outcomes may differ with the timing of the processes.

The last line is key=value pairs. Exit codes: 0 when no promise was broken, 1 when one was or the run failed, 2 for
bad flags.

`

func printHelp(fs *flag.FlagSet) {
	fmt.Print(help)
	fs.SetOutput(os.Stdout)
	fs.PrintDefaults()
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "prove:", err)
	return code
}
