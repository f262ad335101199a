package settings

import (
	"fmt"
	"strings"
)

// maxProblems bounds how many problems a ValidationError lists, so that a file of another format doesn't flood the log.
const maxProblems = 20

// Problem is one problem in a settings file, with its location and the expected value.
type Problem struct {
	File     string
	Line     int    // from 1; 0 for a problem of the file as a whole
	Key      string // path of the key, such as services.planner-llm.policy.max_wait
	Got      string // the value found; empty if it is missing or must not be shown
	Expected string
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	if p.Got != "" {
		b.WriteString("got " + p.Got + ", ")
	}
	b.WriteString("expected " + p.Expected)
	return b.String()
}

// ValidationError lists why a settings file was rejected. Nothing of a rejected file is used.
type ValidationError struct {
	Problems []Problem
	Omitted  int // problems left out of the list
}

// Error returns the first problem and the number of further ones on one line.
func (r *ValidationError) Error() string {
	rest := len(r.Problems) + r.Omitted - 1
	if rest == 0 {
		return r.Problems[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", r.Problems[0], rest)
}

// collector collects problems while a file is parsed.
type collector struct {
	file     string
	problems []Problem
	omitted  int
}

func (c *collector) add(line int, key, got, expected string) {
	if len(c.problems) == maxProblems {
		c.omitted++
		return
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Key: key, Got: got, Expected: expected})
}

func (c *collector) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: c.problems, Omitted: c.omitted}
}
