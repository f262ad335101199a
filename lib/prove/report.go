package prove

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/history"
)

// ErrViolated is returned when a promise was broken.
var ErrViolated = errors.New("a promise was broken")

// checkLimit bounds the search for an order of one object's operations.
const checkLimit = 20 * time.Second

// Verify checks a history object by object and returns one line for each that breaks its promise or can't be decided.
func Verify(ops []history.Op) []string {
	byObject := map[string][]history.Op{}
	for _, op := range ops {
		key := op.Model + " " + op.Object
		byObject[key] = append(byObject[key], op)
	}
	var broken []string
	for _, key := range slices.Sorted(maps.Keys(byObject)) {
		if err := history.Check(byObject[key], checkLimit); err != nil {
			broken = append(broken, err.Error())
		}
	}
	return broken
}

// report checks the history, writes it to a file and prints the figures.
func (r *run) report() error {
	ops := r.log.Ops()
	for _, v := range Verify(ops) {
		r.violated("%s", v)
	}
	file, err := r.store(ops)
	if err != nil {
		return err
	}
	printCounts(r.out, "operations", r.kinds)
	printCounts(r.out, "outcome", r.outcomes)
	printCounts(r.out, "faults", r.faults)
	fmt.Fprintf(r.out, "prove: seed=%d operations=%d faults=%d pairs=%d checked=%d seconds=%.0f history=%s violations=%d\n",
		r.cfg.Seed, sum(r.kinds), sum(r.faults)-r.faults["pairs"], r.faults["pairs"], len(ops), r.cfg.Span.Seconds(), file, len(r.violations))
	if len(r.violations) > 0 {
		return ErrViolated
	}
	return nil
}

func printCounts(w io.Writer, what string, counts map[string]int) {
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s kind=%q count=%d\n", what, k, counts[k])
	}
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// store writes the history and returns the file's name.
func (r *run) store(ops []history.Op) (string, error) {
	f, err := r.historyFile()
	if err != nil {
		return "", err
	}
	if err := history.Write(f, ops); err != nil {
		return "", errors.Join(err, f.Close())
	}
	return f.Name(), f.Close()
}

func (r *run) historyFile() (*os.File, error) {
	if r.cfg.History != "" {
		return os.Create(r.cfg.History)
	}
	return os.CreateTemp("", fmt.Sprintf("anvilwick-prove-%d-*.jsonl", r.cfg.Seed))
}

// recheck checks a stored history. What only a live run can see, such as a request without an answer, is not in it.
func recheck(path string, out io.Writer) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	ops, err := history.Read(f)
	if err != nil {
		return err
	}
	broken := Verify(ops)
	for _, v := range broken {
		fmt.Fprintln(out, "violation", strings.TrimSpace(v))
	}
	fmt.Fprintf(out, "prove: history=%s checked=%d violations=%d\n", path, len(ops), len(broken))
	if len(broken) > 0 {
		return ErrViolated
	}
	return nil
}
