package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	bytesPerKB = 1 << 10
	bytesPerMB = 1 << 20

	// The fields of /proc/PID/stat after the command's closing parenthesis.
	statUserTicks   = 11
	statSystemTicks = 12
	statPages       = 21

	tickTime = 10 * time.Millisecond // the kernel's USER_HZ is 100
)

// processUsage is what a process has used so far.
type processUsage struct {
	processor time.Duration
	memory    int64 // resident bytes
}

// usage reads the figures of a process from the proc file system of Linux.
func usage(pid int) (processUsage, error) {
	path := fmt.Sprintf("/proc/%d/stat", pid)
	content, err := os.ReadFile(path)
	if err != nil {
		return processUsage{}, errors.Wrap(err, "read the usage of a process")
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statPages {
		return processUsage{}, errors.Errorf("%s has %d fields", path, len(fields))
	}
	number := func(field int) int64 {
		value, _ := strconv.ParseInt(fields[field], 10, 64)
		return value
	}
	return processUsage{
		processor: time.Duration(number(statUserTicks)+number(statSystemTicks)) * tickTime,
		memory:    number(statPages) * int64(os.Getpagesize()),
	}, nil
}
