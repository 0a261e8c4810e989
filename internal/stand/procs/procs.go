// Package procs starts and stops the project's processes on the loopback address
// for the demo, the measurements and the tests.
package procs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	stopTimeout  = 5 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Proc is a child process.
type Proc struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

// Name returns the name that was passed to Pool.Start.
func (proc *Proc) Name() string { return proc.name }

// PID returns the process id.
func (proc *Proc) PID() int { return proc.command.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (proc *Proc) Done() <-chan struct{} { return proc.done }

// Alive reports whether the process is running.
func (proc *Proc) Alive() bool {
	select {
	case <-proc.done:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of a process that has exited, or -1 if a signal
// terminated it.
func (proc *Proc) ExitCode() int { return proc.command.ProcessState.ExitCode() }

// Signal sends a signal to the process if it is running.
func (proc *Proc) Signal(signal syscall.Signal) {
	if proc.Alive() {
		_ = proc.command.Process.Signal(signal)
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (proc *Proc) Kill() {
	proc.Signal(syscall.SIGKILL)
	<-proc.done
}

// Wait waits until the process has exited or the context ends.
func (proc *Proc) Wait(ctx context.Context) error {
	select {
	case <-proc.done:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for process %s to exit", proc.name)
	}
}

// Pool starts processes and stops them together.
type Pool struct {
	dir string

	mu    sync.Mutex
	procs []*Proc
}

// NewPool returns a Pool that writes the output of each process to a file in dir.
func NewPool(dir string) *Pool { return &Pool{dir: dir} }

// Start starts a program. Its standard output and standard error are appended to
// "name.log".
func (pool *Pool) Start(name, program string, args ...string) (*Proc, error) {
	output, err := os.OpenFile(filepath.Join(pool.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "open output of process %s", name)
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(program, args...)
	command.Stdout = output
	command.Stderr = output
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start process %s", name)
	}
	proc := &Proc{name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(proc.done)
	}()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.procs = append(pool.procs, proc)
	return proc, nil
}

// Stop sends SIGTERM to all processes, in reverse order of their start, and
// SIGKILL when stopTimeout has expired. It sends SIGCONT first, because a stopped
// process does not handle SIGTERM.
func (pool *Pool) Stop() {
	pool.mu.Lock()
	procs := pool.procs
	pool.procs = nil
	pool.mu.Unlock()
	for index := len(procs) - 1; index >= 0; index-- {
		procs[index].Signal(syscall.SIGCONT)
		procs[index].Signal(syscall.SIGTERM)
	}
	timeout := time.After(stopTimeout)
	for _, proc := range procs {
		select {
		case <-proc.done:
		case <-timeout:
			for _, running := range procs {
				running.Kill()
			}
			return
		}
	}
}

// Poll calls check repeatedly until it returns nil or the context ends. When the
// context ends, Poll returns the last error of check.
func Poll(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
