package procs_test

import (
	"context"
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/stand/procs"
)

func TestPoolStopsItsProcesses(t *testing.T) {
	is := is.New(t)
	pool := procs.NewPool(t.TempDir())
	killed, err := pool.Start("killed", "sleep", "600")
	is.NoErr(err)
	stopped, err := pool.Start("stopped", "sleep", "600")
	is.NoErr(err)
	killed.Kill()
	is.True(!killed.Alive())
	is.Equal(killed.ExitCode(), -1)
	is.True(stopped.Alive())
	pool.Stop()
	is.NoErr(stopped.Wait(context.Background()))
	_, err = pool.Start("missing", "/nonexistent")
	is.True(err != nil)
}

func TestPortsAreUnique(t *testing.T) {
	is := is.New(t)
	portAllocator := procs.NewPortAllocator()
	seen := make(map[int]bool)
	for range 100 {
		port := portAllocator.Port()
		is.True(!seen[port])
		seen[port] = true
	}
}

func TestPoll(t *testing.T) {
	is := is.New(t)
	failure := errors.New("not yet")
	calls := 0
	is.NoErr(procs.Poll(context.Background(), func() error {
		calls++
		if calls < 3 {
			return failure
		}
		return nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(procs.Poll(ctx, func() error { return failure }), failure)
}

func TestReadUsage(t *testing.T) {
	is := is.New(t)
	usage, err := procs.ReadUsage(os.Getpid())
	is.NoErr(err)
	is.True(usage.CPUTime() > 0)
	is.True(usage.ResidentBytes() > 0)
	is.True(usage.TransferredBytes() > 0)
	_, err = procs.ReadUsage(-1)
	is.True(err != nil)
}
