package loadrun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/loadgen"
)

// historyCheckTimeout bounds the time of a history check.
const historyCheckTimeout = 30 * time.Second

// ErrViolation is returned when a caller observed a violation of a system guarantee.
var ErrViolation = errors.New("guarantee violated")

// Run sends the load to the entries of c and prints the statistics to w. atEnd, if not nil, is called just before printing.
func Run(ctx context.Context, c Config, w io.Writer, atEnd func()) error {
	entries := c.entryAddrs()
	m, err := c.Mix()
	if err != nil {
		return err
	}
	model := c.Model
	if model == "" {
		model = m.Service
	}
	r := &loadgen.Runner{
		Mix: loadgen.Mix{
			Workload: loadgen.Scale(m, c.Load, c.Length), Span: c.Span, Entries: len(entries), Seed: c.Seed,
			PlainRate: c.PlainRate, PlainRoute: c.PlainRoute,
		},
		Entries: entries, Model: model, IdempotencyKeys: c.IdempotencyKeys, MaxInFlight: c.MaxInFlight, RequestTimeout: c.RequestTimeout,
		Token: func(workspace string) string { return strings.Replace(c.KeyFormat, "%s", workspace, 1) },
		Stats: loadgen.NewStats(c.StallFloor),
	}
	if c.History != "" {
		r.History = &history.Log{}
	}
	start := time.Now()
	r.Run(ctx)
	checkErr := c.checkHistory(r.History)
	if atEnd != nil {
		atEnd()
	}
	r.Stats.Print(w, c.Seed, time.Since(start))
	if n := len(r.Stats.Violations()); n > 0 {
		checkErr = errors.Join(checkErr, fmt.Errorf("%w: %d answers", ErrViolation, n))
	}
	return checkErr
}

// checkHistory writes the operations that callers observed to a file and checks them.
func (c Config) checkHistory(log *history.Log) error {
	if log == nil {
		return nil
	}
	f, err := os.Create(c.History)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := history.Write(f, log.Ops()); err != nil {
		return err
	}
	if err := history.Check(log.Ops(), historyCheckTimeout); err != nil {
		return fmt.Errorf("%w: %w", ErrViolation, err)
	}
	return nil
}
