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

// ErrViolated is returned when a run or a stored history violates a guarantee.
var ErrViolated = errors.New("guarantee violated")

// checkLimit bounds the search for a valid order of one object's operations.
const checkLimit = 20 * time.Second

// Verify checks a history object by object and returns one line for each object that violates its model or whose check
// did not finish within checkLimit.
func Verify(ops []history.Op) []string {
	byObject := map[string][]history.Op{}
	for _, op := range ops {
		key := op.Model + " " + op.Object
		byObject[key] = append(byObject[key], op)
	}
	var violations []string
	for _, key := range slices.Sorted(maps.Keys(byObject)) {
		if err := history.Check(byObject[key], checkLimit); err != nil {
			violations = append(violations, err.Error())
		}
	}
	return violations
}

// report checks the history, writes it to a file and prints the results.
func (r *run) report() error {
	ops := r.history.Ops()
	for _, v := range Verify(ops) {
		r.addViolation("%s", v)
	}
	file, err := r.writeHistory(ops)
	if err != nil {
		return err
	}
	printCounts(r.out, "operations", r.opCounts)
	printCounts(r.out, "outcome", r.outcomeCounts)
	printCounts(r.out, "faults", r.faultCounts)
	fmt.Fprintf(r.out, "prove: seed=%d operations=%d faults=%d pairs=%d checked=%d seconds=%.0f history=%s violations=%d\n",
		r.cfg.Seed, sum(r.opCounts), sum(r.faultCounts)-r.faultCounts["pairs"], r.faultCounts["pairs"], len(ops), r.cfg.Span.Seconds(), file, len(r.violations))
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

// writeHistory writes the history to its file and returns the file's name.
func (r *run) writeHistory(ops []history.Op) (string, error) {
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

// checkFile checks a stored history. Violations that only a live run can detect, such as a request without an answer, are not
// in it.
func checkFile(path string, out io.Writer) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	ops, err := history.Read(f)
	if err != nil {
		return err
	}
	violations := Verify(ops)
	for _, v := range violations {
		fmt.Fprintln(out, "violation", strings.TrimSpace(v))
	}
	fmt.Fprintf(out, "prove: history=%s checked=%d violations=%d\n", path, len(ops), len(violations))
	if len(violations) > 0 {
		return ErrViolated
	}
	return nil
}
