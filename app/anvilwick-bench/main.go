// Command anvilwick-bench compares scheduling policies on crowded engines in virtual time, and with the argument "site" what
// many instances decide before the same engines (lib/replay).
//
// It prints one "bench" line a run and one "ratios" line a deployment against the project's aims. Equal seeds print equal
// lines. Exit codes: 0 after the runs, also when an aim is missed; 1 when a request was lost; 2 for bad flags.
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
		exitOn(err)
		exitOn(compareSite(opt))
		return
	}
	opt, err := parse(os.Args[1:])
	exitOn(err)
	lost, err := run(opt)
	exitOn(err)
	if lost > 0 {
		os.Exit(exitLost)
	}
}

// exitOn ends the process with an error; a call for help is none.
func exitOn(err error) {
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
	seeds := fs.String("seed", "1", "seeds of the arrivals: one, a list 1,2,3 or a range 1-5; several add a line of medians")
	policies := fs.String("policies", all, "policies to run: "+strings.Join(bench.Policies, ", ")+", or all")
	ablate := fs.String("ablate", "", "parts to take out of anvilwick, one run each: "+strings.Join(bench.Ablations(), ", ")+", or all")
	fs.BoolVar(&opt.faults, "faults", true, "run least-loaded and anvilwick under each fault too")
	fs.DurationVar(&opt.window, "window", bench.DefaultWindow, "virtual time in which requests arrive")
	fs.IntVar(&opt.scale, "scale", 1, "times the engines and the load")
	fs.Float64Var(&opt.risk, "memory-risk", 0, "accepted memory risk of every class; 0: the mix's own")
	fs.BoolVar(&opt.division, "division", false, "compare ways to divide the decisions: "+strings.Join(bench.Divisions, ", "))
	fs.IntVar(&opt.workers, "workers", 4, "runs at once; the figures do not depend on it")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("ANVILWICK_BENCH")); err != nil {
		return opt, err
	}
	var err error
	if opt.seeds, err = parseSeeds(*seeds); err != nil {
		return opt, err
	}
	opt.policies = names(*policies, bench.Policies)
	opt.ablate = names(*ablate, bench.Ablations())
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
		return opt, errors.New("want a window over 0 and no arguments beside flags")
	}
	return opt, nil
}

func names(list string, whole []string) []string {
	switch list {
	case "":
		return nil
	case all:
		return whole
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

// run prints the lines of all seeds and returns how many requests were lost.
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
			fmt.Println(line(opt, &results[i]))
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

func line(opt options, r *bench.Result) string {
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
