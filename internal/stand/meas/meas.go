package meas

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// The policies that are measured.
const (
	// PolicyAlmondway is that of the proxies.
	PolicyAlmondway = "almondway"
	// PolicyNaive is the baseline without a proxy.
	PolicyNaive = "naive"
)

// Options are the choices of a measurement.
type Options struct {
	// Programs is the directory of the built programs.
	Programs string
	// Examples is the directory of the deployment files.
	Examples string
	// Scenario and Deployment select one; empty selects all.
	Scenario   string
	Deployment string
	// Policy selects one policy; empty selects all.
	Policy string
	// Label stands in the report in place of PolicyAlmondway, or is empty.
	Label string
	// ProxyArgs are further arguments of each proxy.
	ProxyArgs []string
	Seed      uint64
	// KeepLogs keeps the output of the processes.
	KeepLogs bool
	// Output takes one JSON line for each deployment, scenario and policy.
	Output io.Writer
}

// Measure runs the selected scenarios one after the other.
func Measure(ctx context.Context, options Options) error {
	selected := 0
	for _, profile := range profiles {
		for _, scenario := range scenarios {
			for _, policy := range []string{PolicyAlmondway, PolicyNaive} {
				run := &run{options: options, profile: profile, scenario: scenario, policy: policy}
				if !run.selected() {
					continue
				}
				selected++
				report, err := run.execute(ctx)
				if err != nil {
					return err
				}
				if err := report.print(options.Output); err != nil {
					return err
				}
			}
		}
	}
	if selected == 0 {
		return errors.Errorf("no scenario %q of deployment %q with policy %q", options.Scenario, options.Deployment, options.Policy)
	}
	return nil
}

func (run *run) selected() bool {
	matches := func(choice, value string) bool { return choice == "" || choice == value }
	return matches(run.options.Scenario, run.scenario.name) &&
		matches(run.options.Deployment, run.profile.deployment) &&
		matches(run.options.Policy, run.policy) &&
		(run.policy != PolicyNaive || run.scenario.naive)
}
