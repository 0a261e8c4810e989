package meas

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/fleet"
	"almondway.dev/almondway/internal/stand/load"
	"almondway.dev/almondway/internal/stand/procs"
)

const (
	proxyCount = 6
	warmUp     = time.Second
)

// run is one scenario of one deployment with one policy.
type run struct {
	options  Options
	profile  profile
	scenario scenario
	policy   string
	fleet    *fleet.Fleet
	proxied  *load.Proxied
	history  *load.WriteHistory
	result   *load.Result

	mu                  sync.Mutex
	failoverGaps        []time.Duration
	unfinishedFailovers int
	failedRejoins       int
	workAfterLeaving    int
	// longestPause is the longest time for which a primary was suspended.
	longestPause time.Duration
	killedTotals totals // counters of killed instances
}

// totals are counters summed over instances.
type totals struct {
	promotions   uint64
	primaryReads map[string]uint64
}

func (totals *totals) add(promotions uint64, primaryReads map[string]uint64) {
	if totals.primaryReads == nil {
		totals.primaryReads = make(map[string]uint64)
	}
	totals.promotions += promotions
	for kind, count := range primaryReads {
		totals.primaryReads[kind] += count
	}
}

// execute starts the system, runs the scenario and returns its report. The logs of the processes
// are kept if the run fails.
func (run *run) execute(ctx context.Context) (report, error) {
	dir, err := os.MkdirTemp("", "almondway-measure-")
	if err != nil {
		return report{}, errors.Wrap(err, "create measurement directory")
	}
	ports := procs.NewPortAllocator()
	run.history, run.result = load.NewWriteHistory(), load.NewResult()
	run.fleet, err = fleet.New(fleet.Spec{
		Dir:       dir,
		Programs:  run.options.Programs,
		Topology:  run.profile.topology(ports),
		Ports:     ports,
		ProxyArgs: run.proxyArgs(),
	})
	if err != nil {
		return report{}, err
	}
	defer run.fleet.Stop()
	summary, err := run.measure(ctx)
	if err != nil {
		return report{}, errors.Wrapf(err, "scenario %s of deployment %s (logs in %s)", run.scenario.name, run.profile.deployment, dir)
	}
	if run.options.KeepLogs {
		return summary, nil
	}
	return summary, errors.Wrap(os.RemoveAll(dir), "remove measurement directory")
}

func (run *run) proxyArgs() []string {
	spec := run.profile.topology(procs.NewPortAllocator())
	return append([]string{
		"--slots-per-instance", strconv.Itoa(spec.Slots),
		"--conns-per-instance", strconv.Itoa(spec.Connections),
		"--log-sample", "0",
	}, run.options.ProxyArgs...)
}

func (run *run) measure(ctx context.Context) (report, error) {
	if err := run.fleet.StartBackend(ctx); err != nil {
		return report{}, err
	}
	if err := run.writeKeys(ctx); err != nil {
		return report{}, err
	}
	target, err := run.startTarget(ctx)
	if err != nil {
		return report{}, err
	}
	startedAt := time.Now()
	if err := run.runLoad(ctx, target); err != nil {
		return report{}, err
	}
	return run.report(ctx, time.Since(startedAt))
}

// startTarget starts the target of the load: the proxies, or the baseline without proxies.
func (run *run) startTarget(ctx context.Context) (load.Target, error) {
	if run.policy == PolicyNaive {
		naive := load.NewNaive(run.profile.deployment, run.fleet.Topology())
		naive.Monitor(ctx)
		return naive, nil
	}
	centers := run.profile.site.DataCenters()
	for index := range proxyCount {
		if _, err := run.fleet.StartProxy(centers[index%len(centers)]); err != nil {
			return nil, err
		}
	}
	for _, proxy := range run.fleet.Proxies() {
		if err := run.fleet.AwaitProxy(ctx, proxy); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(run.options.Examples, run.profile.deploymentFile)
	if err := run.fleet.ApplyDeployment(ctx, file, run.profile.deployment); err != nil {
		return nil, err
	}
	run.proxied = load.NewProxied(run.profile.deployment, time.Duration(run.fleet.Topology().ClientDelay), run.options.Seed)
	run.updateAddresses()
	return run.proxied, nil
}

func (run *run) updateAddresses() {
	var addresses []string
	for _, proxy := range run.fleet.Proxies() {
		addresses = append(addresses, proxy.Address())
	}
	run.proxied.SetAddresses(addresses)
}

// runLoad runs the load and, after the warm-up, injects the faults of the scenario.
func (run *run) runLoad(ctx context.Context, target load.Target) error {
	kinds := run.profile.kinds
	if run.scenario.surge {
		kinds = run.profile.surgeKinds()
	}
	driver := load.New(load.Spec{
		Target:       target,
		Kinds:        kinds,
		Groups:       run.groupIDs(),
		KeysPerGroup: keysPerGroup,
		Callers:      run.profile.callers,
		Seed:         run.options.Seed,
		History:      run.history,
		Result:       run.result,
	})
	loadCtx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		driver.Run(loadCtx)
	}()
	sleep(ctx, warmUp)
	run.result.MeasureFrom(time.Now())
	err := run.scenario.injectFaults(run, ctx)
	stop()
	<-ended
	return err
}

func (run *run) groupIDs() []string {
	var groups []string
	for _, group := range run.fleet.Topology().Groups {
		groups = append(groups, group.ID)
	}
	return groups
}

func (run *run) report(ctx context.Context, elapsed time.Duration) (report, error) {
	summary := report{
		Deployment:          run.profile.deployment,
		Scenario:            run.scenario.name,
		Policy:              run.label(),
		Seconds:             elapsed.Seconds(),
		UnfinishedFailovers: run.unfinishedFailovers,
		FailedRejoins:       run.failedRejoins,
		WorkAfterLeaving:    run.workAfterLeaving,
		LongestPause:        toMilliseconds(run.longestPause),
		Seed:                run.options.Seed,
	}
	summary.addLoadResult(run.result)
	summary.addGaps(run.failoverGaps)
	sums := run.killedTotals
	for _, group := range run.fleet.Topology().Groups {
		for _, instance := range group.Instances {
			if !run.fleet.InstanceProcess(instance.ID).Alive() {
				continue
			}
			state, err := run.fleet.InstanceState(ctx, instance.ID)
			if err != nil {
				return report{}, err
			}
			sums.add(state.GetPromotions(), state.GetPrimaryReads())
		}
	}
	summary.addShares(run.result.ReadsByKind(), sums.primaryReads)
	summary.Promotions = int(sums.promotions)
	summary.FalsePromotions = max(0, int(sums.promotions)-run.expectedPromotions())
	values, err := run.readFinalValues(ctx)
	if err != nil {
		return report{}, err
	}
	summary.addAudit(run.history.Audit(values))
	return summary, nil
}

func (run *run) label() string {
	if run.policy == PolicyAlmondway && run.options.Label != "" {
		return run.options.Label
	}
	return run.policy
}

// expectedPromotions returns the number of promotions that losses and leaving primaries require.
func (run *run) expectedPromotions() int {
	return len(run.failoverGaps) + run.unfinishedFailovers + run.scenario.switchovers
}

// sleep waits for a duration or until the context is cancelled.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
