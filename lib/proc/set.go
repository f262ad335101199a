package proc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Set holds the processes of one run, so that none of them outlives it.
type Set struct {
	Dir string    // where the binaries are
	Tee io.Writer // gets every process's output; nil: none

	mu    sync.Mutex
	procs []*Proc
}

// Start starts Dir/binary under name.
func (s *Set) Start(name, binary string, args ...string) (*Proc, error) {
	p, err := Start(Spec{Name: name, Path: s.Dir + "/" + binary, Args: args, Tee: s.Tee})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.procs = append(s.procs, p)
	return p, nil
}

// All returns the processes in the order in which they were started.
func (s *Set) All() []*Proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Proc(nil), s.procs...)
}

// Dead returns the names of processes that have ended.
func (s *Set) Dead() []string {
	var names []string
	for _, p := range s.All() {
		if !p.Running() {
			names = append(names, p.Name)
		}
	}
	return names
}

// Terminate asks the running ones among procs for a graceful stop, all at once, and waits for them. It reports every
// process that is still running when ctx ends or that ended with a code other than 0.
func Terminate(ctx context.Context, procs ...*Proc) error {
	var asked []*Proc
	var errs []error
	for _, p := range procs {
		if !p.Running() {
			continue
		}
		asked = append(asked, p)
		errs = append(errs, p.Terminate())
	}
	for _, p := range asked {
		code, err := p.Wait(ctx)
		errs = append(errs, err)
		if err == nil && code != 0 {
			errs = append(errs, fmt.Errorf("%s: exit code %d after SIGTERM", p.Name, code))
		}
	}
	return errors.Join(errs...)
}

// Close kills whatever still runs. A frozen process ends too: SIGKILL needs no SIGCONT.
func (s *Set) Close() {
	for _, p := range s.All() {
		_ = p.Kill()
	}
}
