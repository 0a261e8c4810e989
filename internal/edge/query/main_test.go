package query

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidDefaults fix the random histories, so that a run has the same verdict
// every time; the flags of rapid go before them.
var rapidDefaults = map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	for name, value := range rapidDefaults {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
