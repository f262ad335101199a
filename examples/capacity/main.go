// Command capacity measures the costs behind docs/CAPACITY.md on one machine and prints them as key=value lines: points, and
// for each series the least-squares line with the standard error of its slope. It measures processor time, not wall-clock
// time. Some probes start a small site as processes on loopback; anvilwick's daemons start no other processes.
//
// Exit codes: 0 if every probe ran, 1 if one failed, 2 for invalid flags.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/capacity"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	binaries := flag.String("bin", "bin", "directory of the programs")
	only := flag.String("probes", "", "probes to run, separated by commas; empty: all")
	flag.Parse()
	if flag.NArg() > 0 {
		fail(exitUsage, fmt.Errorf("unknown argument %q", flag.Arg(0)))
	}
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var names []string
	if *only != "" {
		names = strings.Split(*only, ",")
	}
	if err := capacity.Run(ctx, capacity.Report{W: os.Stdout}, *binaries, names); err != nil {
		fail(exitFailed, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "capacity:", err)
	os.Exit(code)
}
