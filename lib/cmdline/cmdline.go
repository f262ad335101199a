// Package cmdline holds what the main functions of the programs share: flags from the command line, the environment and a
// file, help, version, signals and exit codes.
package cmdline

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// Exit codes of every program.
const (
	ExitOK     = 0
	ExitFailed = 1 // failure while running
	ExitUsage  = 2 // invalid flags or settings; nothing was started
)

// Program is one command.
type Program struct {
	Name     string
	Version  string
	Help     string // printed before the flags
	Register func(*flag.FlagSet)
	// Daemon says that the program serves others. SIGHUP, which is sent when the terminal is closed, does not end it.
	Daemon bool
	// Run returns when its work is done or ctx is cancelled, by SIGTERM or SIGINT. An error made by UsageError leads to ExitUsage.
	Run func(ctx context.Context) error
}

// usageError is an error in the flags or settings that the user gave.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// UsageError marks an error found before anything was started. It returns nil for nil.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return usageError{err}
}

// Main runs the program with os.Args and ends the process.
func (p *Program) Main() { os.Exit(p.run(os.Args[1:], os.Stdout, os.Stderr)) }

func (p *Program) run(args []string, out, errs io.Writer) int {
	showVersion, err := p.parse(args, out)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		return p.fail(errs, UsageError(err))
	case showVersion:
		fmt.Fprintln(out, p.Name, p.Version)
		return ExitOK
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p.Daemon {
		signal.Ignore(syscall.SIGHUP) // Run may catch it
	}
	signals := stopSignals()
	go func() {
		<-signals
		cancel()
	}()
	return p.fail(errs, p.Run(ctx))
}

// stopSignals returns a channel that receives SIGTERM and SIGINT. They are caught before anything starts and until the process exits: one that arrives
// early would end it without a graceful stop, and another one at the end of a graceful stop would have it end by a signal.
func stopSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	return signals
}

// parse reads the flags. Help goes to out; errors are returned, so that the caller prints them as one line.
func (p *Program) parse(args []string, out io.Writer) (showVersion bool, err error) {
	fs := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	p.Register(fs)
	fs.BoolVar(&showVersion, "version", false, "print the version and exit")
	_ = fs.String("config", "", "file of flags, one \"name value\" per line")
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	err = ff.Parse(fs, args, ff.WithEnvVarPrefix(p.envPrefix()), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser))
	if errors.Is(err, flag.ErrHelp) {
		p.help(fs, out)
	}
	if err == nil && fs.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	return showVersion, err
}

func (p *Program) envPrefix() string { return strings.ToUpper(strings.ReplaceAll(p.Name, "-", "_")) }

const sourcesHelp = `
Every flag can also be set in the environment (%s_ and the name in capitals, "-" as "_") or in the file
that -config names. The command line takes precedence over the environment, and the environment over the file.

`

func (p *Program) help(fs *flag.FlagSet, out io.Writer) {
	fmt.Fprint(out, p.Help)
	fmt.Fprintf(out, sourcesHelp, p.envPrefix())
	fs.SetOutput(out)
	fs.PrintDefaults()
}

// fail prints err as one line and returns its exit code.
func (p *Program) fail(errs io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	printError(errs, fmt.Sprintf("%s: %v\n", p.Name, err))
	if errors.As(err, new(usageError)) {
		return ExitUsage
	}
	return ExitFailed
}

// printTimeout bounds the time to print an error at exit: a process must not outlast a pipe that nobody reads.
const printTimeout = 200 * time.Millisecond

// printError writes text, or gives up after printTimeout.
func printError(errs io.Writer, text string) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.WriteString(errs, text)
	}()
	select {
	case <-done:
	case <-time.After(printTimeout):
	}
}
