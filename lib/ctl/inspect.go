package ctl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
)

const maxKeyInput = 4096

func newValidate(g *globals) *ffcli.Command {
	return g.leaf("validate", "FILE...", "Check settings files and list all problems.", nil, func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return usageErr.New("settings validate: expected a FILE, or - for standard input")
		}
		var failed error
		for _, name := range args {
			if err := g.validate(name); err != nil {
				failed = err
			}
		}
		return failed
	})
}

func (g *globals) validate(name string) error {
	_, err := g.readDocument(name)
	var refusal *settings.ValidationError
	if errors.As(err, &refusal) {
		for _, p := range refusal.Problems {
			fmt.Fprintln(g.Out, p)
		}
		return err
	}
	if err == nil {
		fmt.Fprintln(g.Out, name+": ok")
	}
	return err
}

func newDiff(g *globals) *ffcli.Command {
	var revision uint64
	flags := func(fs *flag.FlagSet) {
		fs.Uint64Var(&revision, "rev", 0, "committed revision to compare with; 0: the newest")
	}
	return g.leaf("diff", "[-rev N] FILE | OLD-FILE NEW-FILE", "Show what a file would change: + added, - removed, ~ changed.", flags,
		func(ctx context.Context, args []string) error {
			from, to, err := g.diffSides(ctx, args, revision)
			if err != nil {
				return err
			}
			if g.printDiff(from, to) {
				return differs.New("settings differ")
			}
			return nil
		})
}

func (g *globals) diffSides(ctx context.Context, args []string, revision uint64) (from, to *document, err error) {
	switch len(args) {
	case 1:
		from, err = g.committedOrEmpty(ctx, revision)
	case 2:
		from, err = g.readDocument(args[0])
	default:
		err = usageErr.New("settings diff: expected FILE, or OLD-FILE and NEW-FILE")
	}
	if err != nil {
		return nil, nil, err
	}
	to, err = g.readDocument(args[len(args)-1])
	return from, to, err
}

func (g *globals) committedOrEmpty(ctx context.Context, revision uint64) (*document, error) {
	c, err := g.table()
	if err != nil {
		return nil, err
	}
	d, err := committed(ctx, c, revision)
	if d == nil && err == nil {
		d = &document{name: "nothing", tree: &settings.Tree{}}
	}
	return d, err
}

func newShow(g *globals) *ffcli.Command {
	var revision uint64
	flags := func(fs *flag.FlagSet) {
		fs.Uint64Var(&revision, "rev", 0, "revision; 0: the newest")
	}
	return g.leaf("show", "[-rev N]", "Print a committed revision as a file to edit.", flags, func(ctx context.Context, _ []string) error {
		c, err := g.table()
		if err != nil {
			return err
		}
		d, err := committed(ctx, c, revision)
		if err != nil {
			return err
		}
		if d == nil {
			return settingsync.Absent.New("nothing was committed yet")
		}
		_, err = g.Out.Write(append(stampLine(d.stamp), d.text...))
		return err
	})
}

func newExplain(g *globals) *ffcli.Command {
	var file string
	var revision uint64
	flags := func(fs *flag.FlagSet) {
		fs.StringVar(&file, "file", "", "explain this file instead of a committed revision")
		fs.Uint64Var(&revision, "rev", 0, "revision; 0: the newest")
	}
	return g.leaf("explain", "[-file FILE | -rev N] SERVICE WORKSPACE CLASS",
		"Show every effective value and the settings node that sets it.", flags,
		func(ctx context.Context, args []string) error {
			if len(args) != 3 {
				return usageErr.New("settings explain: expected SERVICE WORKSPACE CLASS")
			}
			d, err := g.fileOrCommitted(ctx, file, revision)
			if err != nil {
				return err
			}
			values, ok := d.tree.Explain(args[0], args[1], args[2])
			if !ok {
				return usageErr.New("settings explain: %s has no such service, workspace or class: %s", d.name, strings.Join(args, " "))
			}
			return g.printValues(d, values)
		})
}

func (g *globals) fileOrCommitted(ctx context.Context, file string, revision uint64) (*document, error) {
	if file != "" {
		return g.readDocument(file)
	}
	return g.committedOrEmpty(ctx, revision)
}

func (g *globals) printValues(d *document, values []settings.Value) error {
	w := tabwriter.NewWriter(g.Out, 0, 8, 2, ' ', 0)
	for _, v := range values {
		from := v.From
		if v.Line > 0 {
			from = fmt.Sprintf("%s (%s:%d)", v.From, d.name, v.Line)
		}
		shown := v.Value
		if shown == "" {
			shown = `""`
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", v.Key, shown, from)
	}
	return w.Flush()
}

func newHistory(g *globals) *ffcli.Command {
	var limit int
	flags := func(fs *flag.FlagSet) {
		fs.IntVar(&limit, "n", 20, "maximum number of revisions to list")
	}
	return g.leaf("history", "[-n N]", "List committed revisions, newest first.", flags, func(ctx context.Context, _ []string) error {
		c, err := g.table()
		if err != nil {
			return err
		}
		recs, err := settingsync.History(ctx, c, limit)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(g.Out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "revision\ttime\toperator\tnote")
		for _, r := range recs {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", r.Revision, r.Time.Format(time.RFC3339), r.Operator, noteOf(r))
		}
		return w.Flush()
	})
}

func noteOf(r settingsync.Record) string {
	note := strings.Join(strings.Fields(r.Note), " ")
	if r.CopiedFrom > 0 {
		note = strings.TrimSpace(fmt.Sprintf("(content of revision %d) %s", r.CopiedFrom, note))
	}
	return note
}

func newHashKey(g *globals) *ffcli.Command {
	return g.leaf("hash-key", "< KEY-FILE", "Print the hash of the workspace key on standard input, as used in settings.",
		nil, func(context.Context, []string) error {
			raw, err := io.ReadAll(io.LimitReader(g.In, maxKeyInput))
			if err != nil {
				return err
			}
			key := strings.TrimRight(string(raw), "\r\n")
			if key == "" {
				return usageErr.New("settings hash-key: expected a key on standard input")
			}
			sum := sha256.Sum256([]byte(key))
			fmt.Fprintln(g.Out, "sha256:"+hex.EncodeToString(sum[:]))
			return nil
		})
}
