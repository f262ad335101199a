// Package proc starts the project's binaries for multi-process tests and demos, and sends signals to them by process ID.
//
// No daemon imports it, since daemons start no other processes.
package proc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// ErrStillRunning is returned by Wait when the context ends first.
var ErrStillRunning = errors.New("process is still running")

// Spec describes a process to start.
type Spec struct {
	Name string    // unique among the processes of a run; used in messages
	Path string    // binary
	Args []string  // arguments without the program name
	Env  []string  // complete environment; nil: inherit
	Tee  io.Writer // receives the output too; nil: none
	// File receives standard output and standard error in place of Output; nil: none.
	File *os.File
}

// Proc is one started process.
type Proc struct {
	Name string

	cmd  *exec.Cmd
	out  *output
	done chan struct{}
}

// Start starts a process and keeps its standard output and standard error for Output, unless the specification names a file for them.
func Start(s Spec) (*Proc, error) {
	out, err := newOutput(s)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	cmd := exec.Command(s.Path, s.Args...)
	cmd.Env = s.Env
	cmd.Stdout, cmd.Stderr = out.file, out.file
	forkMu.Lock()
	err = cmd.Start()
	forkMu.Unlock()
	out.read(err == nil)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	p := &Proc{Name: s.Name, cmd: cmd, out: out, done: make(chan struct{})}
	go p.reap()
	return p, nil
}

func (p *Proc) reap() {
	_ = p.cmd.Wait()
	p.out.awaitEnd()
	close(p.done)
}

// PID returns the process id.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Done is closed once the process has ended.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended yet.
func (p *Proc) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Output returns the most recent output of the process, up to maxOutput bytes.
func (p *Proc) Output() string { return p.out.tail.String() }

// CloseOutput closes the pipe of the output, like a log collector that ends while the process runs. Output keeps what was read before.
func (p *Proc) CloseOutput() { p.out.close() }

// StopReading leaves all further output in its pipe, like a log collector that hangs.
func (p *Proc) StopReading() { p.out.stop() }

// Kill sends SIGKILL and waits until the process is reaped, so that its ports are free again on return.
func (p *Proc) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Freeze sends SIGSTOP: the process keeps its connections but does not respond.
func (p *Proc) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw sends SIGCONT.
func (p *Proc) Thaw() error { return p.signal(syscall.SIGCONT) }

// Hangup sends SIGHUP, which makes the process read its settings again.
func (p *Proc) Hangup() error { return p.signal(syscall.SIGHUP) }

// Terminate sends SIGTERM, which requests a graceful stop, and returns at once.
func (p *Proc) Terminate() error { return p.signal(syscall.SIGTERM) }

// Wait returns the exit code, which is -1 for a process ended by a signal.
func (p *Proc) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("%s: %w", p.Name, ErrStillRunning)
	}
}

// State describes how the process ended, such as "exit status 1" or "signal: killed". It is empty while the process runs.
func (p *Proc) State() string {
	if p.Running() {
		return ""
	}
	return p.cmd.ProcessState.String()
}

// EndedBy reports whether a signal ended the process.
func (p *Proc) EndedBy(sig syscall.Signal) bool {
	if p.Running() {
		return false
	}
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == sig
}

// CPU returns user plus system time once the process has ended, and 0 before.
func (p *Proc) CPU() time.Duration {
	select {
	case <-p.done:
		st := p.cmd.ProcessState
		return st.UserTime() + st.SystemTime()
	default:
		return 0
	}
}

func (p *Proc) signal(sig syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	// The process may have ended since, and not be known to have.
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) && p.Running() {
		return fmt.Errorf("%s: signal %v: %w", p.Name, sig, err)
	}
	return nil
}
