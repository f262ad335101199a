package loadrun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/loadgen"
	"anvilwick.example/anvilwick/lib/localsite"
)

const (
	startLimit   = 30 * time.Second
	stopLimit    = 30 * time.Second
	checkLimit   = 30 * time.Second
	ownEngines   = 4
	ownPlains    = 2
	ownEntries   = 3
	killPollTime = 20 * time.Millisecond
)

// ErrBroken is returned when a caller saw a broken promise.
var ErrBroken = errors.New("a promise was broken")

// Run sends the load and prints the figures to w.
func Run(ctx context.Context, c Config, w io.Writer) error {
	if c.Compare > 0 {
		return Compare(ctx, c, w)
	}
	entries := c.entries()
	if entries != nil {
		return c.send(ctx, entries, w, func() {})
	}
	site, err := c.startSite(ctx)
	if err != nil {
		return err
	}
	defer site.Close()
	if c.KillEngine > 0 {
		go killBusy(ctx, site, c.KillEngine)
	}
	watched := append(slices.Clone(site.Entries), site.Controls...)
	before := usages(ctx, watched)
	err = c.send(ctx, site.Callers(), w, func() { printUsage(w, before, usages(ctx, watched), watched) })
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	return errors.Join(err, site.Stop(sctx))
}

func (c Config) startSite(ctx context.Context) (*localsite.Site, error) {
	m, err := c.mix()
	if err != nil {
		return nil, err
	}
	sctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	return localsite.Start(sctx, localsite.Config{
		Binaries: c.Binaries, Engines: ownEngines, Plains: ownPlains, Entries: ownEntries,
		Settings: localsite.WorkloadSettings(m),
	})
}

// killBusy ends an engine that has a stream, some time into the run.
func killBusy(ctx context.Context, site *localsite.Site, after time.Duration) {
	time.Sleep(after)
	for ctx.Err() == nil {
		n, err := site.Busy(ctx)
		if err != nil {
			return
		}
		if n != nil {
			_ = n.Kill()
			return
		}
		time.Sleep(killPollTime)
	}
}

// send runs the plan and prints the figures; atEnd prints what comes before them.
func (c Config) send(ctx context.Context, entries []string, w io.Writer, atEnd func()) error {
	m, err := c.mix()
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
		Entries: entries, Model: model, Keyed: c.Keyed, MaxInFlight: c.MaxInFlight, Patience: c.Patience,
		Token:   func(workspace string) string { return strings.Replace(c.KeyFormat, "%s", workspace, 1) },
		Figures: loadgen.NewFigures(c.StallFloor),
	}
	if c.History != "" {
		r.History = &history.Log{}
	}
	began := time.Now()
	r.Run(ctx)
	herr := c.checkHistory(r.History)
	atEnd()
	r.Figures.Print(w, c.Seed, time.Since(began))
	if n := len(r.Figures.Wrong()); n > 0 {
		herr = errors.Join(herr, fmt.Errorf("%w: %d answers", ErrBroken, n))
	}
	return herr
}

// checkHistory stores what callers saw and checks it.
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
	if err := history.Check(log.Ops(), checkLimit); err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return nil
}
