// Command anvilwick-standin runs one stand-in for a system that anvilwick works with: a model engine, a plain service or the
// platform.
//
// Exit codes: 0 after a graceful stop; 1 if the stand-in failed or was told to crash; 2 for invalid flags.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	exitFailed   = 1
	exitUsage    = 2
	envPrefix    = "ANVILWICK_STANDIN"
	stopDeadline = 10 * time.Second
)

// server is the interface of a running stand-in.
type server interface {
	Addr() string
	Close(ctx context.Context) error
}

func main() {
	root := &ffcli.Command{
		ShortUsage:  "anvilwick-standin <engine|plain|platform> [flags]",
		ShortHelp:   "runs a stand-in for a model engine, a plain service or the platform, on loopback, for tests and demos",
		FlagSet:     flag.NewFlagSet("anvilwick-standin", flag.ContinueOnError),
		Subcommands: subcommands(),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	os.Exit(exitCode(root, ctx))
}

// subcommands returns one command for each kind of stand-in.
func subcommands() []*ffcli.Command {
	return []*ffcli.Command{engineCommand(), plainCommand(), platformCommand()}
}

func exitCode(root *ffcli.Command, ctx context.Context) int {
	if err := root.Parse(os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "anvilwick-standin:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "anvilwick-standin:", err)
	return exitFailed
}

// newCommand builds a subcommand whose flags can also be set in the environment.
func newCommand(fs *flag.FlagSet, help string, start func() (server, error)) *ffcli.Command {
	return &ffcli.Command{
		Name:       fs.Name(),
		ShortUsage: "anvilwick-standin " + fs.Name() + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return serve(ctx, fs.Name(), start) },
	}
}

// serve runs a stand-in until a signal stops it.
func serve(ctx context.Context, kind string, start func() (server, error)) error {
	srv, err := start()
	if err != nil {
		return err
	}
	fmt.Printf("event=listening kind=%s addr=%s pid=%d\n", kind, srv.Addr(), os.Getpid())
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), stopDeadline)
	defer cancel()
	return srv.Close(stop)
}
