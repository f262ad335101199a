// Package loadrun implements the load tool's command: its flags, a run against given entries, statistics and history.
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

// Config holds the command-line flags.
type Config struct {
	Seed            uint64
	Deployment      string
	Span            time.Duration
	Load            float64
	Length          float64
	PlainRate       float64
	PlainRoute      string
	Model           string
	Entries         string // IP:port, comma-separated
	KeyFormat       string // workspace keys; %s is replaced by the workspace
	IdempotencyKeys bool
	RequestTimeout  time.Duration
	StallFloor      time.Duration
	MaxInFlight     int
	History         string // file name
}

// Register defines the flags on fs.
func (c *Config) Register(fs *flag.FlagSet) {
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of the arrivals")
	fs.StringVar(&c.Deployment, "deployment", "kelburn", "deployment whose workload is used: kelburn or kivu")
	fs.DurationVar(&c.Span, "span", 15*time.Second, "period over which requests arrive")
	fs.Float64Var(&c.Load, "load", 0.4, "factor on the workload's rates and backlog")
	fs.Float64Var(&c.Length, "length", 0.05, "factor on the lengths of answers")
	fs.Float64Var(&c.PlainRate, "plain-rate", 20, "plain calls per second")
	fs.StringVar(&c.PlainRoute, "plain-route", "/dispatch/status", "path of plain calls")
	fs.StringVar(&c.Model, "model", "", "model to request; empty: the workload's service")
	fs.StringVar(&c.Entries, "entries", "", "addresses of the entries' caller listeners, IP:port, comma-separated")
	fs.StringVar(&c.KeyFormat, "key-format", "%s-localsite-key", "workspace keys; %s is replaced by the workspace")
	fs.BoolVar(&c.IdempotencyKeys, "keyed", true, "send an Idempotency-Key with every generation, so that truncated streams can be resumed")
	fs.DurationVar(&c.RequestTimeout, "patience", time.Minute, "timeout of one request")
	fs.DurationVar(&c.StallFloor, "stall-floor", time.Second, "time between tokens above which the excess counts as stall time")
	fs.IntVar(&c.MaxInFlight, "max-in-flight", 2000, "maximum number of concurrent requests; further arrivals are counted as unsent")
	fs.StringVar(&c.History, "history", "", "file for the operations that callers observed, one per line, for checking")
}

// Check returns an error that names the first invalid flag.
func (c *Config) Check() error {
	if _, err := c.Mix(); err != nil {
		return err
	}
	if c.Entries == "" {
		return errors.New("-entries: at least one address is required")
	}
	for _, addr := range c.entryAddrs() {
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
		return errors.New("-plain-rate: must not be negative; -max-in-flight: must be at least 1")
	case strings.Count(c.KeyFormat, "%s") != 1:
		return fmt.Errorf("-key-format: %q must contain %%s exactly once", c.KeyFormat)
	}
	return nil
}

// Mix returns the deployment's workload, not scaled.
func (c *Config) Mix() (workload.Mix, error) {
	for _, m := range workload.Deployments() {
		if m.Deployment == c.Deployment {
			return m, nil
		}
	}
	return workload.Mix{}, fmt.Errorf("-deployment: %q is neither kelburn nor kivu", c.Deployment)
}

func (c *Config) entryAddrs() []string { return strings.Split(c.Entries, ",") }
