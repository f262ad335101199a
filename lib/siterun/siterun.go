// Package siterun runs trials on a small site that it starts for the trial, as separate processes on loopback: the mix of the
// load tool, a comparison with direct streams or of schedulers, and kills of each role.
package siterun

import (
	"context"
	"errors"
	"flag"
	"io"
	"slices"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/loadrun"
	"anvilwick.example/anvilwick/lib/localsite"
)

const (
	startLimit       = 30 * time.Second
	stopLimit        = 30 * time.Second
	mixEngines       = 4
	mixPlains        = 2
	mixEntries       = 3
	killPollInterval = 20 * time.Millisecond
)

// Config selects the trial to run.
type Config struct {
	Load       loadrun.Config // its entries are those of the started site
	Binaries   string
	KillEngine time.Duration
	Compare    int // pairs of streams; 0: the mix
	Recover    int // kills of each role; 0: the mix
	Policies   Policies
}

// Register adds the flags to fs, those of the load included.
func (c *Config) Register(fs *flag.FlagSet) {
	c.Load.Register(fs)
	fs.StringVar(&c.Binaries, "bin", "bin", "directory of the programs")
	fs.DurationVar(&c.KillEngine, "kill-engine", 0, "kill a busy engine after this time; 0: none")
	fs.IntVar(&c.Compare, "compare", 0, "instead of the mix, run this many pairs of streams, directly to an engine and through an entry, and print what the entry adds")
	fs.IntVar(&c.Recover, "recover", 0, "instead of the mix, kill one process of each role this many times, and print how long service takes to resume")
	c.Policies.register(fs)
}

// Check returns an error for the first invalid flag.
func (c *Config) Check() error {
	switch {
	case c.Load.Entries != "":
		return errors.New("-entries: not allowed, since this tool starts its own entries")
	case c.Compare < 0 || c.Recover < 0 || c.KillEngine < 0:
		return errors.New("-compare, -recover and -kill-engine: must not be negative")
	}
	if err := c.Policies.check(); err != nil {
		return err
	}
	load := c.Load
	load.Entries = "127.0.0.1:1" // placeholder: the addresses are known only once the site runs
	return load.Check()
}

// Run runs the trial and prints its results to w.
func Run(ctx context.Context, c Config, w io.Writer) error {
	switch {
	case c.Compare > 0:
		return Compare(ctx, c, w)
	case c.Recover > 0:
		return Recover(ctx, c, w)
	case c.Policies.Names != "":
		return ComparePolicies(ctx, c, w)
	}
	return runMix(ctx, c, w)
}

// runMix runs the load tool's mix. It prints the usage of entries and control processes, then the load tool's results.
func runMix(ctx context.Context, c Config, w io.Writer) error {
	site, err := c.startMixSite(ctx)
	if err != nil {
		return err
	}
	defer site.Close()
	if c.KillEngine > 0 {
		go killBusy(ctx, site, c.KillEngine)
	}
	watched := append(slices.Clone(site.Entries), site.Controls...)
	before := usages(ctx, watched)
	c.Load.Entries = strings.Join(site.CallerAddrs(), ",")
	err = loadrun.Run(ctx, c.Load, w, func() { printUsage(w, before, usages(ctx, watched), watched) })
	return errors.Join(err, stop(ctx, site))
}

// stop stops the site gracefully, even if ctx is done.
func stop(ctx context.Context, site *localsite.Site) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	return site.Stop(ctx)
}

func start(ctx context.Context, cfg localsite.Config) (*localsite.Site, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	return localsite.Start(ctx, cfg)
}

func (c Config) startMixSite(ctx context.Context) (*localsite.Site, error) {
	m, err := c.Load.Mix()
	if err != nil {
		return nil, err
	}
	return start(ctx, localsite.Config{
		Binaries: c.Binaries, Engines: mixEngines, Plains: mixPlains, Entries: mixEntries,
		Settings: localsite.WorkloadSettings(m),
	})
}

// killBusy waits and then kills an engine that runs a stream.
func killBusy(ctx context.Context, site *localsite.Site, after time.Duration) {
	time.Sleep(after)
	for ctx.Err() == nil {
		n, err := site.StreamingEngine(ctx)
		if err != nil {
			return
		}
		if n != nil {
			_ = n.Kill()
			return
		}
		time.Sleep(killPollInterval)
	}
}
