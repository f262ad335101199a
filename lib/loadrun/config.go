// Package loadrun is the load tool's command line: flags, one run against given entries, figures and history.
package loadrun

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/procflags"
	"anvilwick.example/anvilwick/lib/workload"
)

// Config is what the command line gives.
type Config struct {
	Seed            uint64
	Deployment      string
	Span            time.Duration
	Load            float64
	Length          float64
	PlainRate       float64
	PlainRoute      string
	Model           string
	Entries         string // IP:port each, separated by commas
	KeyFormat       string // workspace keys, with %s for the workspace
	IdempotencyKeys bool
	RequestTimeout  time.Duration
	StallFloor      time.Duration
	MaxInFlight     int
	History         string // file
}

// Register adds the flags to fs.
func (c *Config) Register(fs *flag.FlagSet) {
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of the arrivals")
	fs.StringVar(&c.Deployment, "deployment", "kelburn", "whose mix: kelburn or kivu")
	fs.DurationVar(&c.Span, "span", 15*time.Second, "time over which requests arrive")
	fs.Float64Var(&c.Load, "load", 0.4, "factor on the mix's rates and backlog")
	fs.Float64Var(&c.Length, "length", 0.05, "factor on the lengths of answers")
	fs.Float64Var(&c.PlainRate, "plain-rate", 20, "plain calls a second")
	fs.StringVar(&c.PlainRoute, "plain-route", "/dispatch/status", "path of plain calls")
	fs.StringVar(&c.Model, "model", "", "model to ask for; empty: the mix's service")
	fs.StringVar(&c.Entries, "entries", "", "callers' ports of entries, IP:port, separated by commas")
	fs.StringVar(&c.KeyFormat, "key-format", "%s-localsite-key", "workspace keys; %s stands for the workspace")
	fs.BoolVar(&c.IdempotencyKeys, "keyed", true, "give every generation an Idempotency-Key, so that a cut stream is gone on with")
	fs.DurationVar(&c.RequestTimeout, "patience", time.Minute, "longest time for one request")
	fs.DurationVar(&c.StallFloor, "stall-floor", time.Second, "a wait between tokens beyond it is stall time")
	fs.IntVar(&c.MaxInFlight, "max-in-flight", 2000, "requests at once; arrivals beyond it are counted as unsent")
	fs.StringVar(&c.History, "history", "", "file for what every caller saw, one operation a line, for checking")
}

// Check returns an error that names the first bad flag.
func (c *Config) Check() error {
	if _, err := c.Mix(); err != nil {
		return err
	}
	if c.Entries == "" {
		return errors.New("-entries: the callers' ports of entries are needed")
	}
	for _, addr := range c.entries() {
		if err := procflags.CheckAddr("entries", addr); err != nil {
			return err
		}
	}
	switch {
	case c.Span <= 0 || c.RequestTimeout <= 0:
		return errors.New("-span and -patience: must be positive")
	case c.Load <= 0 || c.Length <= 0:
		return errors.New("-load and -length: must be positive")
	case c.PlainRate < 0 || c.MaxInFlight < 1:
		return errors.New("-plain-rate: can't be negative; -max-in-flight: at least 1")
	case strings.Count(c.KeyFormat, "%s") != 1:
		return fmt.Errorf("-key-format: %q must hold %%s once", c.KeyFormat)
	}
	return nil
}

// Mix returns the deployment's workload at its full size.
func (c *Config) Mix() (workload.Mix, error) {
	for _, m := range workload.Deployments() {
		if m.Deployment == c.Deployment {
			return m, nil
		}
	}
	return workload.Mix{}, fmt.Errorf("-deployment: %q is neither kelburn nor kivu", c.Deployment)
}

func (c *Config) entries() []string { return strings.Split(c.Entries, ",") }
