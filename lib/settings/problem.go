package settings

import (
	"fmt"
	"strings"
)

// maxProblems bounds what one refusal lists, so that a file of another format doesn't fill a log.
const maxProblems = 20

// Problem is one fault of a settings file, with its place and what was expected there.
type Problem struct {
	File     string
	Line     int    // from 1; 0 when the file as a whole is at fault
	Key      string // path of the key, such as services.planner-llm.policy.max_wait
	Got      string // what stands there; empty when it is missing, or when it must not be shown
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

// ValidationError lists why a settings file was refused. Nothing of a refused file is used.
type ValidationError struct {
	Problems []Problem
	More     int // problems left out of the list
}

// Error returns the first problem, and how many follow, on one line.
func (r *ValidationError) Error() string {
	rest := len(r.Problems) + r.More - 1
	if rest == 0 {
		return r.Problems[0].String()
	}
	return fmt.Sprintf("%s (and %d more)", r.Problems[0], rest)
}

// collector gathers problems while a file is read.
type collector struct {
	file     string
	problems []Problem
	more     int
}

func (c *collector) add(line int, key, got, expected string) {
	if len(c.problems) == maxProblems {
		c.more++
		return
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Key: key, Got: got, Expected: expected})
}

func (c *collector) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: c.problems, More: c.more}
}
