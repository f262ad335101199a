package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// stampPrefix starts the first line of a file written by "settings show". The stamp is the revision that an
// operator's edit is based on; it is not committed with the settings.
const stampPrefix = "# revision: "

// document is an operator's settings file.
type document struct {
	name    string
	stamp   uint64 // base revision, if stamped
	stamped bool
	text    []byte // without the stamp
	tree    *settings.Tree
}

// readDocument reads and validates a file; "-" is standard input.
func (g *globals) readDocument(name string) (*document, error) {
	raw, err := g.readFile(name)
	if err != nil {
		return nil, err
	}
	d := &document{name: name, text: raw}
	line, rest, _ := bytes.Cut(raw, []byte("\n"))
	if digits, ok := bytes.CutPrefix(line, []byte(stampPrefix)); ok {
		d.stamp, err = strconv.ParseUint(string(bytes.TrimSpace(digits)), 10, 64)
		if err != nil {
			return nil, usageErr.New("%s:1: expected %sNUMBER", name, stampPrefix)
		}
		d.text, d.stamped = rest, true
	}
	// The whole file is parsed, including the stamp, so that line numbers match the file.
	d.tree, err = settings.Parse(raw, name)
	return d, err
}

func (g *globals) readFile(name string) ([]byte, error) {
	in := g.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	return io.ReadAll(io.LimitReader(in, settings.MaxFile+1))
}

func stampLine(revision uint64) []byte { return fmt.Appendf(nil, "%s%d\n", stampPrefix, revision) }

// committed reads and validates a committed revision; 0 means the newest. It returns nil if nothing is committed.
func committed(ctx context.Context, c *platform.Client, revision uint64) (*document, error) {
	if revision == 0 {
		var err error
		if revision, err = settingsync.Newest(ctx, c); err != nil || revision == 0 {
			return nil, err
		}
	}
	text, _, err := settingsync.ReadText(ctx, c, revision)
	if err != nil {
		return nil, err
	}
	d := &document{name: fmt.Sprintf("revision %d", revision), stamp: revision, stamped: true, text: text}
	d.tree, err = settings.Parse(text, d.name)
	return d, err
}

// printDiff prints the differences between two documents and reports whether there are any.
func (g *globals) printDiff(from, to *document) bool {
	diffs := settings.Diff(from.tree, to.tree)
	for _, d := range diffs {
		fmt.Fprintln(g.Out, d)
	}
	return len(diffs) > 0
}
