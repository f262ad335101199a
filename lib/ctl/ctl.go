// Package ctl implements the operators' command line, anvilwick-ctl: a tree of subcommands with common exit codes.
package ctl

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// Exit codes of anvilwick-ctl.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any other failure
	ExitUsage       = 2 // bad flags or arguments
	ExitRefused     = 3 // the settings were rejected; nothing was changed
	ExitConflict    = 4 // another operator committed first; nothing was changed
	ExitUnknown     = 5 // the outcome of a change is unknown
	ExitUnavailable = 6 // the platform is unavailable; nothing was changed
	ExitDiffers     = 7 // settings diff found differences
)

const exitHelp = `EXIT CODES
  0  done
  1  failed
  2  bad flags or arguments
  3  the settings were rejected; nothing was changed
  4  another operator committed first; nothing was changed
  5  the outcome of a change is unknown; check "settings history"
  6  the platform is unavailable; nothing was changed
  7  "settings diff" found differences`

// envPrefix is the prefix of environment variables: ANVILWICK_PLATFORM sets -platform.
const envPrefix = "ANVILWICK"

// Streams are a command's standard streams.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// globals holds the state shared by all subcommands.
type globals struct {
	Streams
	platform string
	timeout  time.Duration
	version  bool
	help     bytes.Buffer // output of the flag sets
}

var (
	namespace = errorx.NewNamespace("ctl")
	usageErr  = namespace.NewType("usage")
	differs   = namespace.NewType("differs")
)

// Run runs one command and returns its exit code. An error is printed as one line on Err.
func Run(ctx context.Context, args []string, std Streams) int {
	g := &globals{Streams: std}
	root := newRoot(g)
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = g.help.WriteTo(g.Out)
		return ExitOK
	}
	if err != nil {
		return g.report(usageErr.New("%v, see -h", err))
	}
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	err = root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		_, _ = g.help.WriteTo(g.Err)
		return ExitUsage
	}
	return g.report(err)
}

// flagSet returns an empty flag set whose output is buffered: a bad flag is reported in one line, without the help text.
func (g *globals) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&g.help)
	return fs
}

func newRoot(g *globals) *ffcli.Command {
	fs := g.flagSet("anvilwick-ctl")
	fs.StringVar(&g.platform, "platform", "", "IP:port of the platform's table service")
	fs.DurationVar(&g.timeout, "timeout", 30*time.Second, "time limit of a command")
	fs.BoolVar(&g.version, "version", false, "print the version and exit")
	fs.String("config", "", "file with a flag and its value on each line")
	return &ffcli.Command{
		Name:        "anvilwick-ctl",
		ShortUsage:  "anvilwick-ctl [flags] <subcommand> [flags] [arguments]",
		ShortHelp:   "Operate an anvilwick site.",
		LongHelp:    "Flags may also be given in the environment (ANVILWICK_PLATFORM for -platform) or in a file (-config).\n\n" + exitHelp,
		FlagSet:     fs,
		Options:     []ff.Option{ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser)},
		Subcommands: append(newOps(g), newSettings(g), newCodes(g), newExplainRequest(g)),
		Exec:        g.root,
	}
}

func (g *globals) root(_ context.Context, args []string) error {
	if g.version {
		fmt.Fprintln(g.Out, "anvilwick-ctl", version())
		return nil
	}
	if len(args) > 0 {
		return usageErr.New("unknown subcommand %q, see anvilwick-ctl -h", args[0])
	}
	return flag.ErrHelp
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}

// report prints err as one line and returns its exit code.
func (g *globals) report(err error) int {
	code := exitCode(err)
	if err != nil && code != ExitDiffers {
		fmt.Fprintln(g.Err, "anvilwick-ctl:", message(err))
	}
	return code
}

func exitCode(err error) int {
	var refusal *settings.ValidationError
	var conflict *settingsync.Conflict
	switch {
	case err == nil:
		return ExitOK
	case errorx.IsOfType(err, differs):
		return ExitDiffers
	case errorx.IsOfType(err, usageErr):
		return ExitUsage
	case errors.As(err, &refusal):
		return ExitRefused
	case errors.As(err, &conflict):
		return ExitConflict
	case errorx.IsOfType(err, settingsync.Unknown):
		return ExitUnknown
	case errorx.IsOfType(err, platform.Unavailable), platform.IsNotCommitted(err):
		return ExitUnavailable
	}
	return ExitFailed
}

// message returns the text of an error, without the name of its type if it has no cause.
func message(err error) string {
	if e := errorx.Cast(err); e != nil && e.Cause() == nil {
		return e.Message()
	}
	return err.Error()
}

// table returns a client of the platform's table.
func (g *globals) table() (*platform.Client, error) {
	if g.platform == "" {
		return nil, usageErr.New("-platform is missing: give the IP:port of the platform's table service")
	}
	if !settings.ValidAddr(g.platform) {
		return nil, usageErr.New("-platform %q: expected an IP number and a port such as 10.0.0.7:8080, not a host name", g.platform)
	}
	return platform.New(platform.Config{Addr: g.platform}), nil
}
