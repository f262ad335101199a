// Package prove runs a small site of separate processes under seeded faults, with real clients that check whole answers,
// and checks what they saw: histories by porcupine, and plain invariants. It also measures recovery.
//
// The seed fixes which operations and which faults come, and when each is due. What the processes make of them depends
// on their timing, so two runs of one seed can differ in outcomes.
package prove

import (
	"errors"
	"flag"
	"time"
)

// Config is what the command line gives.
type Config struct {
	Seed     uint64
	Span     time.Duration // in which operations and faults begin
	Rate     float64       // operations a second
	Binaries string        // directory of the programs
	History  string        // file for the history; empty: a name from the seed, in the directory for scratch files
	Logs     string        // file for the processes' output; empty: none
	Recheck  string        // history file to check instead of a run
	Measure  string        // empty, "recovery" or "settings": what to measure instead of a run
	Rounds   int           // of a measurement
	Faults   bool
	AtOnce   int // faults at most
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
	fs.StringVar(&c.Recheck, "check", "", "check this history file and run nothing")
	fs.StringVar(&c.Measure, "measure", "", "recovery or settings: measure that instead")
	fs.IntVar(&c.Rounds, "rounds", 10, "rounds of a measurement")
	fs.IntVar(&c.AtOnce, "at-once", 2, "faults at once at most, 2 or 3; one fewer of them on entries")
	fs.BoolVar(&c.Faults, "faults", true, "inject faults")
}

// Check returns an error that names the first bad flag.
func (c *Config) Check() error {
	switch {
	case c.Span <= 0 || c.Rate <= 0:
		return errors.New("-span and -rate: must be positive")
	case c.AtOnce < 2 || c.AtOnce > siteEntries:
		return errors.New("-at-once: 2 or 3")
	case c.Rounds < 1:
		return errors.New("-rounds: at least 1")
	case c.Measure != "" && c.Measure != MeasureRecovery && c.Measure != MeasureSettings:
		return errors.New("-measure: recovery or settings")
	}
	return nil
}
