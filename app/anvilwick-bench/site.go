package main

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"anvilwick.example/anvilwick/lib/replay"
	"anvilwick.example/anvilwick/lib/replaypage"
)

// siteCommand as the first argument compares how a whole site makes decisions, instead of scheduling policies.
const siteCommand = "site"

type siteOptions struct {
	patterns  []string
	policies  []string
	seeds     []uint64
	instances int
	workers   int
	page      string
}

func patternNames() []string { return slices.Sorted(maps.Keys(replay.Patterns)) }

func policyNames() []string { return slices.Sorted(maps.Keys(replay.Policies)) }

func parseSite(args []string) (siteOptions, error) {
	fs := flag.NewFlagSet("anvilwick-bench site PATTERN,...", flag.ContinueOnError)
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "anvilwick-bench site PATTERN,... [flags]\npatterns: %s, or all\n", strings.Join(patternNames(), ", "))
		fs.PrintDefaults()
	}
	var opt siteOptions
	policies := fs.String("policies", "owners,news", "policies to compare, each with the first: "+strings.Join(policyNames(), ", ")+", or all")
	seeds := fs.String("seeds", "1-4", "seeds of the streams: one, a list 1,2,3 or a range 1-5")
	fs.IntVar(&opt.instances, "instances", 0, "size of the site, with engines and streams in proportion; 0: the pattern's own")
	fs.IntVar(&opt.workers, "workers", 4, "concurrent runs; results do not depend on it")
	fs.StringVar(&opt.page, "page", "", "file to write a page with plots to")
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		args = append([]string{""}, args...)
	}
	if err := ff.Parse(fs, args[1:], ff.WithEnvVarPrefix("ANVILWICK_BENCH")); err != nil {
		return opt, err
	}
	opt.patterns = splitNames(args[0], patternNames())
	opt.policies = splitNames(*policies, policyNames())
	if len(opt.patterns) == 0 || fs.NArg() > 0 {
		return opt, fmt.Errorf("want one argument before the flags, patterns of: %s, or all", strings.Join(patternNames(), ", "))
	}
	if opt.instances < 0 || opt.instances == 1 {
		return opt, errors.New("-instances: want 0, or 2 and more")
	}
	var err error
	opt.seeds, err = parseSeeds(*seeds)
	return opt, err
}

// compareSite prints a table for each pattern and, with -page, writes the page.
func compareSite(opt siteOptions) error {
	var sections []replaypage.Section
	for _, name := range opt.patterns {
		pattern, ok := replay.Patterns[name]
		if !ok {
			return fmt.Errorf("no pattern %q; want one of %s, or all", name, strings.Join(patternNames(), ", "))
		}
		load := pattern()
		if opt.instances > 0 {
			load = load.Resized(opt.instances)
		}
		rows, err := replay.Compare(load, opt.policies, opt.seeds, opt.workers)
		if err != nil {
			return err
		}
		fmt.Printf("%s: %d instances, %d engines, %d seeds\n", name, load.Instances, load.Engines, len(opt.seeds))
		if err := replay.WriteTable(os.Stdout, rows); err != nil {
			return err
		}
		sections = append(sections, replaypage.Section{Load: name, Rows: rows})
	}
	if opt.page == "" {
		return nil
	}
	f, err := os.Create(opt.page)
	if err != nil {
		return err
	}
	return errors.Join(replaypage.Write(f, len(opt.seeds), sections), f.Close())
}
