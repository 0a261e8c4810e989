package elect

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

// TestPrimaryProbeInterval guards against a promoter whose probes grow with the number of groups
// without a bound, and against a slower detection on deployments of few groups.
func TestPrimaryProbeInterval(t *testing.T) {
	tests := []struct {
		groups int
		want   time.Duration
	}{{0, 250 * time.Millisecond}, {8, 250 * time.Millisecond}, {32, 250 * time.Millisecond}, {64, 500 * time.Millisecond}, {112, 800 * time.Millisecond}}
	for _, test := range tests {
		is := is.New(t)
		elect := &Elect{monitors: make(map[model.GroupID]*monitor)}
		for index := range test.groups {
			elect.monitors[model.GroupID(strconv.Itoa(index))] = nil
		}
		is.Equal(elect.primaryProbeInterval(), test.want)
		is.True(elect.primaryProbeInterval() < maxPrimaryStatusAge)
	}
}
