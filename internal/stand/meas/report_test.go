package meas

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAddShares(t *testing.T) {
	is := is.New(t)
	var summary report
	summary.addShares(
		map[string]int{"browse": 90, "seat_count": 10, "course_page": 0},
		map[string]uint64{"browse": 9, "seat_count": 12, "": 5},
	)
	is.Equal(summary.ReplicaReadShareByKind, map[string]float64{"browse": 0.9, "seat_count": 0, "course_page": 0})
	is.Equal(summary.ReplicaReadShare, 0.81)
}

func TestAddGaps(t *testing.T) {
	is := is.New(t)
	var summary report
	summary.addGaps(nil)
	is.Equal(summary.FailoverGapMax, 0.0)
	var gaps []time.Duration
	for number := 20; number > 0; number-- {
		gaps = append(gaps, time.Duration(number)*time.Millisecond)
	}
	summary.addGaps(gaps)
	is.Equal(summary.Failovers, 20)
	is.Equal(summary.FailoverGapP50, 10.0)
	is.Equal(summary.FailoverGapP99, 20.0)
	is.Equal(summary.FailoverGapMax, 20.0)
}

func TestSelected(t *testing.T) {
	cases := []struct {
		options  Options
		scenario scenario
		policy   string
		selected bool
	}{
		{Options{}, scenario{name: "kill"}, PolicyAlmondway, true},
		{Options{}, scenario{name: "kill"}, PolicyNaive, false},
		{Options{}, scenario{name: "kill", naive: true}, PolicyNaive, true},
		{Options{Scenario: "cut"}, scenario{name: "kill"}, PolicyAlmondway, false},
		{Options{Policy: PolicyNaive}, scenario{name: "kill", naive: true}, PolicyAlmondway, false},
	}
	for _, c := range cases {
		is := is.New(t)
		run := &run{options: c.options, profile: profiles[0], scenario: c.scenario, policy: c.policy}
		is.Equal(run.selected(), c.selected)
	}
}
