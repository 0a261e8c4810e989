package slope

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/schema"
	"almondway.dev/almondway/internal/proto/admpb"
)

const (
	// changesPerWindow is the number of changes per window when the number of deployments varies.
	changesPerWindow = 10
	// deploymentsDuringChanges is the number of deployments when the number of changes varies.
	deploymentsDuringChanges = 50
	// proxiesDuringChanges is the number of proxies in the measurements of changes.
	proxiesDuringChanges = 3
)

func runGroups(ctx context.Context, runner *runner, size int) (float64, observation, error) {
	system, err := newSystem(ctx, almondwayPath(runner.options.Programs), runner.dir, size)
	if err != nil {
		return 0, observation{}, err
	}
	defer system.stop()
	if err := system.startProxies(1); err != nil {
		return 0, observation{}, err
	}
	observed, err := system.observe(settleTimeFor(size), windowTime, []string{"probes_sent_total"}, nil)
	return float64(size), observed, err
}

func runPeers(ctx context.Context, runner *runner, size int) (float64, observation, error) {
	system, err := newSystem(ctx, almondwayPath(runner.options.Programs), runner.dir, 1)
	if err != nil {
		return 0, observation{}, err
	}
	defer system.stop()
	if err := system.startProxies(size); err != nil {
		return 0, observation{}, err
	}
	counters := []string{"peer_messages_sent_total", "store_reads_total", "store_writes_total"}
	observed, err := system.observe(settleTimeFor(10*size), 2*windowTime, counters, nil)
	return float64(size), observed, err
}

func runDeployments(ctx context.Context, runner *runner, size int) (float64, observation, error) {
	system, err := runner.newDeployedSystem(ctx, 1, size)
	if err != nil {
		return 0, observation{}, err
	}
	defer system.stop()
	observed, err := system.observe(settleTime, windowTime, nil, nil)
	return float64(size), observed, err
}

func runChanges(ctx context.Context, runner *runner, size int) (float64, observation, error) {
	return runner.measureChanges(ctx, deploymentsDuringChanges, size, float64(size))
}

func runChangesByDeployments(ctx context.Context, runner *runner, size int) (float64, observation, error) {
	return runner.measureChanges(ctx, size, changesPerWindow, float64(size))
}

// measureChanges measures the first proxy while another proxy receives changes and propagates
// them to it.
func (runner *runner) measureChanges(ctx context.Context, deployments, changes int, actualSize float64) (float64, observation, error) {
	system, err := runner.newDeployedSystem(ctx, proxiesDuringChanges, deployments)
	if err != nil {
		return 0, observation{}, err
	}
	defer system.stop()
	receiver := system.proxies[len(system.proxies)-1]
	var applyErr error
	work := func(until time.Time) {
		pause := time.Until(until) / time.Duration(changes+1)
		for number := 0; number < changes && applyErr == nil; number++ {
			startedAt := time.Now()
			applyErr = applyDeployment(ctx, receiver, 0, 2+number)
			time.Sleep(max(0, pause-time.Since(startedAt)))
		}
	}
	observed, err := system.observe(settleTime, windowTime, nil, work)
	if applyErr != nil {
		err = applyErr
	}
	return actualSize, observed, err
}

// newDeployedSystem starts proxies with additional arguments and applies deployments.
func (runner *runner) newDeployedSystem(ctx context.Context, proxies, deployments int, args ...string) (*system, error) {
	system, err := newSystem(ctx, almondwayPath(runner.options.Programs), runner.dir, 1)
	if err != nil {
		return nil, err
	}
	if err := system.startProxies(proxies, args...); err != nil {
		system.stop()
		return nil, err
	}
	for number := range deployments {
		if err := applyDeployment(ctx, system.proxies[0], number, 1); err != nil {
			system.stop()
			return nil, err
		}
	}
	return system, nil
}

// applyDeployment creates a deployment of typical size, or changes its weight if it exists.
func applyDeployment(ctx context.Context, proxy *proxy, number, weight int) error {
	spec := model.DeploymentSpec{
		Name:    fmt.Sprintf("deployment-%d", number),
		Groups:  []model.GroupID{model.GroupID(groupName(0))},
		Weight:  weight,
		Classes: []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{Name: "caller"}), model.NewCallerClass(model.CallerClassSpec{Name: "editor", ReadYourWrites: true})},
		Kinds: []model.Kind{
			model.NewKind(model.KindSpec{Name: "stale", Access: model.AccessRead, Staleness: staleness}),
			model.NewKind(model.KindSpec{Name: "fresh", Access: model.AccessRead}),
			model.NewKind(model.KindSpec{Name: "write", Access: model.AccessWrite, Idempotent: true}),
			model.NewKind(model.KindSpec{Name: "enrol", Access: model.AccessWrite}),
		},
	}
	client := proxy.adminClient()
	expected := uint64(0)
	current, err := client.GetDeployment(ctx, connect.NewRequest(&admpb.GetDeploymentRequest{Name: spec.Name}))
	if err == nil {
		expected = current.Msg.GetDeployment().GetRevision()
	}
	_, err = client.ApplyDeployment(ctx, connect.NewRequest(&admpb.ApplyDeploymentRequest{
		Deployment:       schema.FromDeployment(model.NewDeployment(spec)),
		ExpectedRevision: expected,
		ChangeId:         uuid.NewString(),
		Operator:         "slopes",
	}))
	return errors.Wrapf(err, "apply %s", spec.Name)
}
