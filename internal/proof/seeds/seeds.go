// Package seeds fixes the seed of the randomized tests, so that every run of
// the tests gives the same result.
package seeds

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

const (
	seed          = 20261203
	defaultChecks = 100
	defaultSteps  = 30
)

// Main runs the tests of a package that uses rapid, then exits the process.
// checks is the number of cases and steps the mean number of actions in each;
// 0 selects the default. Command-line flags override these values.
func Main(m *testing.M, checks, steps int) {
	if checks == 0 {
		checks = defaultChecks
	}
	if steps == 0 {
		steps = defaultSteps
	}
	setFlag("rapid.seed", strconv.Itoa(seed))
	setFlag("rapid.checks", strconv.Itoa(checks))
	setFlag("rapid.steps", strconv.Itoa(steps))
	setFlag("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		fmt.Fprintf(os.Stderr, "set flag %s: %v\n", name, err)
		os.Exit(1)
	}
}
