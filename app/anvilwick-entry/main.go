// Command anvilwick-entry serves callers: it takes their requests, places them on targets and streams the answers.
//
// Exit codes: 0 after a graceful stop, 1 when it failed while running or requests were cut at the stop limit, 2 for bad
// flags or settings, with nothing started.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"anvilwick.example/anvilwick/lib/entryproc"
	"anvilwick.example/anvilwick/lib/logline"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	envPrefix  = "ANVILWICK_ENTRY"
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
		fmt.Println("anvilwick-entry", version)
		return exitOK
	}
	if err := logline.Setup(os.Stderr, cfg.LogLevel); err != nil {
		return usage(err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	p, err := entryproc.Start(cfg)
	if err != nil {
		return usage(err)
	}
	return serve(p, stop)
}

func parse(args []string) (cfg entryproc.Config, showVersion bool, err error) {
	fs := flag.NewFlagSet("anvilwick-entry", flag.ContinueOnError)
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

const help = `anvilwick-entry serves callers: it takes their requests, places them on targets and streams the answers.

Every flag can also be given by the environment (ANVILWICK_ENTRY_ and the name in capitals, "-" as "_") or by the file
that -config names. The command line comes first, then the environment, then the file.

Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 when it failed while running, 2 for bad flags or settings.

`

func printHelp(fs *flag.FlagSet) {
	fmt.Print(help)
	fs.SetOutput(os.Stdout)
	fs.PrintDefaults()
}

func serve(p *entryproc.Process, stop <-chan os.Signal) int {
	select {
	case <-stop:
		if err := p.Stop(); err != nil {
			fmt.Fprintln(os.Stderr, "anvilwick-entry:", err)
			return exitFailed
		}
		return exitOK
	case err := <-p.Failed():
		fmt.Fprintln(os.Stderr, "anvilwick-entry:", err)
		return exitFailed
	}
}

func usage(err error) int {
	fmt.Fprintln(os.Stderr, "anvilwick-entry:", err)
	return exitUsage
}
