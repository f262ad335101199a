package proc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Set holds the processes of one run, so that none of them outlives the run.
type Set struct {
	Dir string    // directory of the binaries
	Tee io.Writer // receives the output of every process; nil: none

	mu    sync.Mutex
	procs []*Proc
}

// Start starts the program Dir/binary as a process called name.
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

// All returns the processes in the order of their start.
func (s *Set) All() []*Proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Proc(nil), s.procs...)
}

// Exited returns the names of processes that have ended.
func (s *Set) Exited() []string {
	var names []string
	for _, p := range s.All() {
		if !p.Running() {
			names = append(names, p.Name)
		}
	}
	return names
}

// Terminate sends SIGTERM to those of procs that are running, all at once, and waits for them. It returns an error for each
// process that is still running when ctx ends or that exited with a code other than 0.
func Terminate(ctx context.Context, procs ...*Proc) error {
	var signalled []*Proc
	var errs []error
	for _, p := range procs {
		if !p.Running() {
			continue
		}
		signalled = append(signalled, p)
		errs = append(errs, p.Terminate())
	}
	for _, p := range signalled {
		code, err := p.Wait(ctx)
		errs = append(errs, err)
		if err == nil && code != 0 {
			errs = append(errs, fmt.Errorf("%s: exit code %d after SIGTERM", p.Name, code))
		}
	}
	return errors.Join(errs...)
}

// Close kills all processes that still run. It ends frozen ones too, since SIGKILL needs no SIGCONT.
func (s *Set) Close() {
	for _, p := range s.All() {
		_ = p.Kill()
	}
}
