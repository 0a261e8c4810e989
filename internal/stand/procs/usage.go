package procs

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Usage is what a process has used so far.
type Usage struct {
	at       time.Time
	cpu      time.Duration
	received float64 // bytes
	sent     float64 // bytes
	resident float64 // bytes
}

// At returns when the figures were read.
func (usage Usage) At() time.Time { return usage.at }

// CPU returns the processor time of all threads.
func (usage Usage) CPU() time.Duration { return usage.cpu }

// Transferred returns the bytes that the process received and sent.
func (usage Usage) Transferred() float64 { return usage.received + usage.sent }

// Resident returns the bytes of memory that the process holds.
func (usage Usage) Resident() float64 { return usage.resident }

// Usage returns what the process has used so far. It needs the proc file system of Linux.
func (proc *Proc) Usage() (Usage, error) { return ReadUsage(proc.PID()) }

// ReadUsage returns what the process of the given number has used so far.
func ReadUsage(pid int) (Usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	cpu, err := readCPU(dir)
	if err != nil {
		return Usage{}, err
	}
	io, err := readFields(filepath.Join(dir, "io"))
	if err != nil {
		return Usage{}, err
	}
	status, err := readFields(filepath.Join(dir, "status"))
	if err != nil {
		return Usage{}, err
	}
	const kilobyte = 1024
	return Usage{
		at:       time.Now(),
		cpu:      cpu,
		received: io["rchar"],
		sent:     io["wchar"],
		resident: status["VmRSS"] * kilobyte,
	}, nil
}

// readCPU adds up the processor time of all threads.
func readCPU(dir string) (time.Duration, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return 0, errors.Wrap(err, "list threads")
	}
	var total time.Duration
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		var nanoseconds int64
		if _, err := fmt.Sscan(string(content), &nanoseconds); err == nil {
			total += time.Duration(nanoseconds)
		}
	}
	return total, nil
}

// readFields reads the numbers of a file with lines as in "name: 5 kB".
func readFields(path string) (map[string]float64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read usage")
	}
	fields := make(map[string]float64)
	for _, line := range strings.Split(string(content), "\n") {
		name, rest, ok := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if !ok || len(words) == 0 {
			continue
		}
		if number, err := strconv.ParseFloat(words[0], 64); err == nil {
			fields[name] = number
		}
	}
	return fields, nil
}
