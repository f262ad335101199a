package ctl

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"anvilwick.example/anvilwick/lib/explain"
)

func newExplainRequest(g *globals) *ffcli.Command {
	return g.leaf("explain", "REQUEST-ID [FILE ...]",
		"Print the log lines of one request as a timeline; logs are read from the files or standard input.",
		func(*flag.FlagSet) {},
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageErr.New("explain: expected the id of a request")
			}
			logs, closeLogs, err := g.logs(args[1:])
			if err != nil {
				return err
			}
			return errors.Join(explain.Request(g.Out, logs, args[0]), closeLogs())
		})
}

// logs returns the concatenation of the files, or standard input if there are none.
func (g *globals) logs(paths []string) (io.Reader, func() error, error) {
	if len(paths) == 0 {
		return g.In, func() error { return nil }, nil
	}
	var readers []io.Reader
	var files []*os.File
	closeAll := func() error {
		var errs []error
		for _, f := range files {
			errs = append(errs, f.Close())
		}
		return errors.Join(errs...)
	}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, nil, errors.Join(err, closeAll())
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
