// Package prove runs a small site of separate processes under seeded faults and checks its guarantees. Real clients check
// whole answers; what they observed is recorded as histories, which porcupine checks, and tested against plain invariants.
// It also measures recovery.
//
// The seed determines the operations and faults and when each is due. Their effects depend on the timing of the processes,
// so two runs with one seed can differ in outcomes.
package prove

import (
	"errors"
	"flag"
	"time"
)

// Config holds the values of the command-line flags.
type Config struct {
	Seed      uint64
	Span      time.Duration // in which operations and faults begin
	Rate      float64       // operations a second
	Binaries  string        // directory of the programs
	History   string        // file for the history; empty: a temporary file whose name includes the seed
	Logs      string        // file for the processes' output; empty: none
	CheckFile string        // history file to check instead of a run
	Measure   string        // empty, "recovery" or "settings": what to measure instead of a run
	Rounds    int           // of a measurement
	Faults    bool
	MaxFaults int // maximum number of concurrent faults
}

// Values of Config.Measure.
const (
	MeasureRecovery = "recovery"
	MeasureSettings = "settings"
)

// Register adds the flags to fs.
func (c *Config) Register(fs *flag.FlagSet) {
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of operations and faults")
	fs.DurationVar(&c.Span, "span", 30*time.Second, "time in which operations and faults begin")
	fs.Float64Var(&c.Rate, "rate", 12, "operations a second")
	fs.StringVar(&c.Binaries, "bin", "bin", "directory of the programs")
	fs.StringVar(&c.History, "history", "", "file for the history; empty: a scratch file, named on the last line")
	fs.StringVar(&c.Logs, "logs", "", "file for the output of all processes; empty: none")
	fs.StringVar(&c.CheckFile, "check", "", "check this history file and run nothing")
	fs.StringVar(&c.Measure, "measure", "", "recovery or settings: measure that instead")
	fs.IntVar(&c.Rounds, "rounds", 10, "rounds of a measurement")
	fs.IntVar(&c.MaxFaults, "at-once", 2, "maximum number of concurrent faults, 2 or 3; at most one fewer of them on entries")
	fs.BoolVar(&c.Faults, "faults", true, "inject faults")
}

// Check returns an error for the first invalid flag.
func (c *Config) Check() error {
	switch {
	case c.Span <= 0 || c.Rate <= 0:
		return errors.New("-span and -rate: must be positive")
	case c.MaxFaults < 2 || c.MaxFaults > siteEntries:
		return errors.New("-at-once: must be 2 or 3")
	case c.Rounds < 1:
		return errors.New("-rounds: must be at least 1")
	case c.Measure != "" && c.Measure != MeasureRecovery && c.Measure != MeasureSettings:
		return errors.New("-measure: must be recovery or settings")
	}
	return nil
}
