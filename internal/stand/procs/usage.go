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
	readAt        time.Time
	cpuTime       time.Duration
	receivedBytes float64 // bytes
	sentBytes     float64 // bytes
	residentBytes float64 // bytes
}

// Time returns when the figures were read.
func (usage Usage) Time() time.Time { return usage.readAt }

// CPUTime returns the processor time of all threads.
func (usage Usage) CPUTime() time.Duration { return usage.cpuTime }

// TransferredBytes returns the bytes that the process received and sent.
func (usage Usage) TransferredBytes() float64 { return usage.receivedBytes + usage.sentBytes }

// ResidentBytes returns the bytes of memory that the process holds.
func (usage Usage) ResidentBytes() float64 { return usage.residentBytes }

// Usage returns what the process has used so far. It needs the proc file system of Linux.
func (proc *Proc) Usage() (Usage, error) { return ReadUsage(proc.PID()) }

// ReadUsage returns what the process of the given number has used so far.
func ReadUsage(pid int) (Usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	cpu, err := readCPUTime(dir)
	if err != nil {
		return Usage{}, err
	}
	io, err := readNumericFields(filepath.Join(dir, "io"))
	if err != nil {
		return Usage{}, err
	}
	status, err := readNumericFields(filepath.Join(dir, "status"))
	if err != nil {
		return Usage{}, err
	}
	const kilobyte = 1024
	return Usage{
		readAt:        time.Now(),
		cpuTime:       cpu,
		receivedBytes: io["rchar"],
		sentBytes:     io["wchar"],
		residentBytes: status["VmRSS"] * kilobyte,
	}, nil
}

// readCPUTime adds up the processor time of all threads.
func readCPUTime(dir string) (time.Duration, error) {
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

// readNumericFields reads the numbers of a file with lines as in "name: 5 kB".
func readNumericFields(path string) (map[string]float64, error) {
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
