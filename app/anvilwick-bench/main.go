// Command anvilwick-bench compares scheduling policies on saturated engines in virtual time. With the argument "site" it
// compares the decisions of many instances in front of the same engines (lib/replay).
//
// It prints one "bench" line for each run and one "ratios" line for each deployment, which compares it with the project's
// objectives. Equal seeds print equal lines. Exit codes: 0 after the runs, even if an objective is missed; 1 if a request was
// lost; 2 for invalid flags.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"anvilwick.example/anvilwick/lib/bench"
	"anvilwick.example/anvilwick/lib/workload"
)

const (
	exitLost  = 1
	exitUsage = 2
	all       = "all"
)

type options struct {
	seeds    []uint64
	window   time.Duration
	policies []string
	faults   bool
	ablate   []string
	workers  int
	scale    int
	risk     float64
	division bool
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == siteCommand {
		opt, err := parseSite(os.Args[2:])
		exitOnError(err)
		exitOnError(compareSite(opt))
		return
	}
	opt, err := parse(os.Args[1:])
	exitOnError(err)
	lost, err := run(opt)
	exitOnError(err)
	if lost > 0 {
		os.Exit(exitLost)
	}
}

// exitOnError ends the process if err is not nil: with exit code 0 for a request for help, else with exitUsage.
func exitOnError(err error) {
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(0)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilwick-bench:", err)
		os.Exit(exitUsage)
	}
}

func parse(args []string) (options, error) {
	fs := flag.NewFlagSet("anvilwick-bench", flag.ContinueOnError)
	var opt options
	seeds := fs.String("seed", "1", "seeds of the arrivals: one, a list 1,2,3 or a range 1-5; several add a line with medians")
	policies := fs.String("policies", all, "policies to run: "+strings.Join(bench.Policies, ", ")+", or all")
	ablate := fs.String("ablate", "", "parts to disable in anvilwick, one run each: "+strings.Join(bench.Ablations(), ", ")+", or all")
	fs.BoolVar(&opt.faults, "faults", true, "run least-loaded and anvilwick under each fault too")
	fs.DurationVar(&opt.window, "window", bench.DefaultWindow, "virtual time in which requests arrive")
	fs.IntVar(&opt.scale, "scale", 1, "factor for the number of engines and the load")
	fs.Float64Var(&opt.risk, "memory-risk", 0, "accepted memory risk of every class; 0: the one of the mix")
	fs.BoolVar(&opt.division, "division", false, "compare ways to divide the decisions: "+strings.Join(bench.Divisions, ", "))
	fs.IntVar(&opt.workers, "workers", 4, "concurrent runs; results do not depend on it")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("ANVILWICK_BENCH")); err != nil {
		return opt, err
	}
	var err error
	if opt.seeds, err = parseSeeds(*seeds); err != nil {
		return opt, err
	}
	opt.policies = splitNames(*policies, bench.Policies)
	opt.ablate = splitNames(*ablate, bench.Ablations())
	if opt.division {
		opt.policies = bench.Divisions
		opt.faults = false
	}
	known := slices.Concat(bench.Policies, bench.Divisions)
	for _, p := range opt.policies {
		if !slices.Contains(known, p) {
			return opt, fmt.Errorf("no policy %q; want one of %s", p, strings.Join(known, ", "))
		}
	}
	if opt.window <= 0 || fs.NArg() > 0 {
		return opt, errors.New("want -window greater than 0 and no arguments besides flags")
	}
	return opt, nil
}

func splitNames(list string, everything []string) []string {
	switch list {
	case "":
		return nil
	case all:
		return everything
	}
	return strings.Split(list, ",")
}

func parseSeeds(s string) ([]uint64, error) {
	var out []uint64
	for part := range strings.SplitSeq(s, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w", part, err)
		}
		to, err := strconv.ParseUint(last, 10, 64)
		if err != nil || to < from || to-from > 100 {
			return nil, fmt.Errorf("seed %q: want n or n-m", part)
		}
		for n := from; n <= to; n++ {
			out = append(out, n)
		}
	}
	return out, nil
}

// run prints the lines of all seeds and returns the number of lost requests.
func run(opt options) (lost int, err error) {
	ratios := make(map[string][]bench.Ratios)
	var worths []bench.AblationEffect
	for _, seed := range opt.seeds {
		suite := bench.Suite{
			Seed:       seed,
			Window:     opt.window,
			Policies:   opt.policies,
			Faults:     opt.faults,
			Ablate:     opt.ablate,
			Workers:    opt.workers,
			Scale:      opt.scale,
			MemoryRisk: opt.risk,
		}
		results, err := suite.Run()
		if err != nil {
			return lost, err
		}
		for i := range results {
			fmt.Println(resultLine(opt, &results[i]))
			lost += results[i].Lost
		}
		worths = append(worths, bench.AblationEffects(results)...)
		for _, m := range workload.Deployments() {
			if r, ok := bench.RatiosOf(m.Deployment, seed, results); ok {
				ratios[m.Deployment] = append(ratios[m.Deployment], r)
				fmt.Println(r.Line())
			}
		}
	}
	printMedians(ratios)
	for _, w := range bench.MedianAblationEffects(worths) {
		fmt.Println(w.Line())
	}
	return lost, nil
}

func resultLine(opt options, r *bench.Result) string {
	if opt.division {
		return r.DivisionLine()
	}
	return r.Line()
}

func printMedians(ratios map[string][]bench.Ratios) {
	for _, m := range workload.Deployments() {
		if rs := ratios[m.Deployment]; len(rs) > 1 {
			r := bench.MedianRatios(rs)
			fmt.Println("median " + r.Line())
		}
	}
}
