// Package procs starts the project's processes on the loopback address for the
// demo, the measurements and the tests, and stops what it started.
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

// Name returns the name under which the process was started.
func (proc *Proc) Name() string { return proc.name }

// PID returns the number of the process.
func (proc *Proc) PID() int { return proc.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (proc *Proc) Done() <-chan struct{} { return proc.done }

// Alive reports whether the process runs.
func (proc *Proc) Alive() bool {
	select {
	case <-proc.done:
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of a process that has ended, or -1 if a signal ended it.
func (proc *Proc) ExitCode() int { return proc.command.ProcessState.ExitCode() }

// Signal sends a signal to the process if it runs.
func (proc *Proc) Signal(signal syscall.Signal) {
	if proc.Alive() {
		_ = proc.command.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for its end.
func (proc *Proc) Kill() {
	proc.Signal(syscall.SIGKILL)
	<-proc.done
}

// Wait waits for the end of the process.
func (proc *Proc) Wait(ctx context.Context) error {
	select {
	case <-proc.done:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for the end of process %s", proc.name)
	}
}

// Pool starts processes and stops them.
type Pool struct {
	dir string

	mu    sync.Mutex
	procs []*Proc
}

// NewPool returns a Pool that writes the output of each process to a file in dir.
func NewPool(dir string) *Pool { return &Pool{dir: dir} }

// Start starts a program. The output is appended to "name.log".
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

// Stop ends all processes, the last one first: with SIGTERM and, when the limit
// has passed, with SIGKILL.
func (pool *Pool) Stop() {
	pool.mu.Lock()
	procs := pool.procs
	pool.procs = nil
	pool.mu.Unlock()
	for place := len(procs) - 1; place >= 0; place-- {
		procs[place].Signal(syscall.SIGCONT)
		procs[place].Signal(syscall.SIGTERM)
	}
	limit := time.After(stopTimeout)
	for _, proc := range procs {
		select {
		case <-proc.done:
		case <-limit:
			for _, late := range procs {
				late.Kill()
			}
			return
		}
	}
}

// Poll calls check again and again until it returns no error or the context
// ends. It returns the last error then.
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
