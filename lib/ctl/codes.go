package ctl

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"anvilwick.example/anvilwick/lib/result"
)

func newCodes(g *globals) *ffcli.Command {
	fs := g.flagSet("codes")
	return &ffcli.Command{
		Name:       "codes",
		ShortUsage: "anvilwick-ctl codes",
		ShortHelp:  "Print the table of result codes that callers see.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			return result.WriteTable(g.Out)
		},
	}
}
