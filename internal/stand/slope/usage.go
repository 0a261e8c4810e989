package slope

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// usage is what a process has used so far.
type usage struct {
	at       time.Time
	cpu      time.Duration
	received float64 // bytes
	sent     float64 // bytes
	resident float64 // bytes
}

// readUsage reads the usage of a process from the kernel of the machine.
func readUsage(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	cpu, err := readCPU(dir)
	if err != nil {
		return usage{}, err
	}
	io, err := readFields(filepath.Join(dir, "io"))
	if err != nil {
		return usage{}, err
	}
	status, err := readFields(filepath.Join(dir, "status"))
	if err != nil {
		return usage{}, err
	}
	const kilobyte = 1024
	return usage{
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
