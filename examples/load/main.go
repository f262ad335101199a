// Command load runs trials on a small site that it starts for itself as separate processes on loopback: the load tool's mix,
// a comparison with direct streams (-compare), or kills of each role (-recover). The programs themselves start no other
// process; this one does, for trials only.
//
// Exit codes: 0 when no promise was broken, 1 when one was or the run failed, 2 for bad flags.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"anvilwick.example/anvilwick/lib/siterun"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var cfg siterun.Config
	cfg.Register(flag.CommandLine)
	flag.Parse()
	if err := cfg.Check(); err != nil {
		fail(exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := siterun.Run(ctx, cfg, os.Stdout); err != nil {
		fail(exitFailed, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "load:", err)
	os.Exit(code)
}
