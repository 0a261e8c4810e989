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

// Usage is the resource usage of a process since its start.
type Usage struct {
	readAt        time.Time
	cpuTime       time.Duration
	receivedBytes float64
	sentBytes     float64
	residentBytes float64
}

// Time returns the time at which the usage was read.
func (usage Usage) Time() time.Time { return usage.readAt }

// CPUTime returns the CPU time of the running threads.
func (usage Usage) CPUTime() time.Duration { return usage.cpuTime }

// TransferredBytes returns the bytes that the process has received and sent,
// including file I/O.
func (usage Usage) TransferredBytes() float64 { return usage.receivedBytes + usage.sentBytes }

// ResidentBytes returns the resident set size in bytes.
func (usage Usage) ResidentBytes() float64 { return usage.residentBytes }

// Usage returns the resource usage of the process. It requires the Linux proc file
// system.
func (proc *Proc) Usage() (Usage, error) { return ReadUsage(proc.PID()) }

// ReadUsage returns the resource usage of the process with the given id.
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

// readCPUTime returns the sum of the CPU times of the running threads.
func readCPUTime(dir string) (time.Duration, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return 0, errors.Wrap(err, "list threads")
	}
	var total time.Duration
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has exited
		}
		var nanoseconds int64
		if _, err := fmt.Sscan(string(content), &nanoseconds); err == nil {
			total += time.Duration(nanoseconds)
		}
	}
	return total, nil
}

// readNumericFields reads the numbers of a file with lines such as "name: 5 kB".
func readNumericFields(path string) (map[string]float64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read process usage")
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
