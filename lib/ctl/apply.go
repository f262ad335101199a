package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// noBase means that -base was not given; 0 is a valid base, that of the first revision.
const noBase = -1

type applyFlags struct {
	base     int64
	from     uint64
	note     string
	operator string
	stamp    bool
}

func newApply(g *globals) *ffcli.Command {
	var f applyFlags
	flags := func(fs *flag.FlagSet) {
		fs.Int64Var(&f.base, "base", noBase, "revision that the change starts from; default: the file's first line, as show writes it")
		fs.Uint64Var(&f.from, "from", 0, "commit the content of this earlier revision as a new one, in place of a FILE")
		fs.StringVar(&f.note, "note", "", "why, for other operators")
		fs.StringVar(&f.operator, "operator", operatorName(), "who, for other operators")
		fs.BoolVar(&f.stamp, "stamp", false, "after the commit, write the new revision to the file's first line")
	}
	return g.leaf("apply", "[-base N] [-note TEXT] FILE | -from N", "Commit settings, if nobody else committed meanwhile.", flags,
		func(ctx context.Context, args []string) error {
			c, err := g.table()
			if err != nil {
				return err
			}
			d, err := g.applySource(ctx, c, args, f)
			if err != nil {
				return err
			}
			return g.apply(ctx, c, d, f)
		})
}

// operatorName returns the login name; it may be empty.
func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// applySource reads the document to commit, whose stamp is set to the base revision.
func (g *globals) applySource(ctx context.Context, c *platform.Client, args []string, f applyFlags) (*document, error) {
	var d *document
	var err error
	switch {
	case f.from > 0 && len(args) == 0:
		d, err = g.rollForward(ctx, c, f.from)
	case f.from == 0 && len(args) == 1:
		d, err = g.readDocument(args[0])
	default:
		return nil, usageErr.New("settings apply: expected one FILE, or -from N without a FILE")
	}
	if err != nil {
		return nil, err
	}
	if f.base != noBase {
		d.stamp, d.stamped = uint64(f.base), true
	}
	if !d.stamped {
		return nil, usageErr.New("settings apply: %s does not say which revision it starts from: "+
			"begin with the output of settings show, or give -base N (-base 0 for the first revision)", d.name)
	}
	return d, nil
}

// rollForward reads an earlier revision to commit it again on top of the newest.
func (g *globals) rollForward(ctx context.Context, c *platform.Client, revision uint64) (*document, error) {
	d, err := committed(ctx, c, revision)
	if err != nil {
		return nil, err
	}
	d.stamp, err = settingsync.Newest(ctx, c)
	return d, err
}

func (g *globals) apply(ctx context.Context, c *platform.Client, d *document, f applyFlags) error {
	rec, err := settingsync.Commit(ctx, c, settingsync.Change{
		Text:       d.text,
		File:       d.name,
		Base:       d.stamp,
		Operator:   f.operator,
		Note:       f.note,
		CopiedFrom: f.from,
		Time:       time.Now(),
	})
	var conflict *settingsync.Conflict
	if errors.As(err, &conflict) {
		g.printConflict(ctx, c, conflict)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(g.Out, "committed revision=%d operator=%q digest=%s\n", rec.Revision, rec.Operator, rec.Digest)
	if f.stamp && f.from == 0 && d.name != "-" {
		return os.WriteFile(d.name, append(stampLine(rec.Revision), d.text...), 0o644)
	}
	return nil
}

// printConflict shows the operator the revisions committed since the base, and what they changed.
func (g *globals) printConflict(ctx context.Context, c *platform.Client, conflict *settingsync.Conflict) {
	for _, r := range conflict.Between {
		fmt.Fprintf(g.Out, "revision %d by %s at %s: %s\n", r.Revision, r.Operator, r.Time.Format(time.RFC3339), strings.TrimSpace(noteOf(r)))
	}
	if conflict.Base == 0 || conflict.Base > conflict.Head {
		return
	}
	base, err := committed(ctx, c, conflict.Base)
	if err != nil {
		return // the diff is optional; the conflict is reported anyway
	}
	head, err := committed(ctx, c, conflict.Head)
	if err != nil {
		return
	}
	fmt.Fprintf(g.Out, "changed since revision %d:\n", conflict.Base)
	g.printDiff(base, head)
}
