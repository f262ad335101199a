package ctl

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func newSettings(g *globals) *ffcli.Command {
	fs := g.flagSet("settings")
	return &ffcli.Command{
		Name:       "settings",
		ShortUsage: "anvilwick-ctl settings <subcommand> [flags] [arguments]",
		ShortHelp:  "Check, compare, commit and explain settings.",
		LongHelp: `Workflow of a change:
  anvilwick-ctl -platform IP:port settings show > site.yaml     (its first line names the revision)
  edit site.yaml
  anvilwick-ctl -platform IP:port settings diff site.yaml
  anvilwick-ctl -platform IP:port settings apply -note "why" site.yaml

apply commits only if nobody else committed in the meantime; otherwise it shows who did and what
changed, and writes nothing. Every key is described in docs/SETTINGS.md.`,
		FlagSet: fs,
		Subcommands: []*ffcli.Command{
			newValidate(g), newDiff(g), newApply(g), newShow(g), newExplain(g), newHistory(g), newHashKey(g),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageErr.New("unknown subcommand %q, see anvilwick-ctl settings -h", args[0])
			}
			return flag.ErrHelp
		},
	}
}

// leaf returns a subcommand without subcommands of its own. Its flags can also be set in the environment.
func (g *globals) leaf(name, usage, help string, flags func(*flag.FlagSet), exec func(context.Context, []string) error) *ffcli.Command {
	fs := g.flagSet(name)
	if flags != nil {
		flags(fs)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "anvilwick-ctl settings " + name + " " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       exec,
	}
}
