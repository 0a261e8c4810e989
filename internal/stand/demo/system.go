package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/fleet"
	"almondway.dev/almondway/internal/stand/procs"
	"almondway.dev/almondway/internal/stand/topol"
)

func (demo *demo) startBackend(ctx context.Context) (string, error) {
	groups := demo.fleet.Topology().Groups
	return fmt.Sprintf("%d groups of %d instances", len(groups), len(groups[0].Instances)), demo.fleet.StartBackend(ctx)
}

func (demo *demo) startProxies(ctx context.Context) (string, error) {
	for index := range proxyCount {
		if _, err := demo.fleet.StartProxy(topol.Zagreb().DataCenters()[index]); err != nil {
			return "", err
		}
	}
	for _, proxy := range demo.fleet.Proxies() {
		if err := demo.fleet.AwaitProxy(ctx, proxy); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d proxies are ready", proxyCount), nil
}

func (demo *demo) applyDeployments(ctx context.Context) (string, error) {
	for _, name := range []string{gradskiDeployment, morningTableDeployment} {
		file := filepath.Join(demo.options.Examples, name+".yaml")
		if err := demo.fleet.ApplyDeployment(ctx, file, name); err != nil {
			return "", err
		}
	}
	return "gradski and morning-table are in force", nil
}

func (demo *demo) killPrimary(ctx context.Context) (string, error) {
	primary, err := demo.fleet.Primary(ctx, catalogueGroup)
	if err != nil {
		return "", err
	}
	demo.fleet.InstanceProcess(primary.ID).Kill()
	demo.killedID = primary.ID
	demo.killedAt = time.Now()
	return primary.ID + " was the primary of " + catalogueGroup, nil
}

func (demo *demo) replaceInstance(ctx context.Context) (string, error) {
	if err := demo.fleet.ReplaceInstance(demo.killedID); err != nil {
		return "", err
	}
	err := procs.Poll(ctx, func() error {
		primary, err := demo.fleet.Primary(ctx, catalogueGroup)
		if err != nil {
			return err
		}
		primaryState, err := demo.fleet.InstanceState(ctx, primary.ID)
		if err != nil {
			return err
		}
		state, err := demo.fleet.InstanceState(ctx, demo.killedID)
		if err != nil {
			return err
		}
		if state.GetTailPosition() < primaryState.GetTailPosition() || state.GetTailTerm() != primaryState.GetTailTerm() {
			return errors.Errorf("log of instance %s ends at position %d, behind the primary", demo.killedID, state.GetTailPosition())
		}
		return nil
	})
	return demo.killedID + " restarted as a replica and has the complete log", err
}

func (demo *demo) drainProxy(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	drained := demo.proxy(0)
	name, err := demo.fullName(ctx, drained)
	if err != nil {
		return "", err
	}
	if _, err := demo.fleet.RunAlmondway(ctx, drained, "drain", "proxy", name); err != nil {
		return "", err
	}
	if err := drained.Process().Wait(ctx); err != nil {
		return "", err
	}
	if code := drained.Process().ExitCode(); code != 0 {
		return "", errors.Errorf("proxy %s exited with code %d", drained.ID(), code)
	}
	demo.fleet.RemoveProxy(drained)
	if _, err := demo.addSeats(ctx, demo.proxy(0), 1); err != nil {
		return "", err
	}
	return drained.ID() + " exited; writes continue through " + demo.proxy(0).ID(), nil
}

// fullName returns the proxy name including the suffix that identifies this start of the process.
func (demo *demo) fullName(ctx context.Context, proxy *fleet.Proxy) (string, error) {
	output, err := demo.fleet.RunAlmondway(ctx, proxy, "status", "--output", "json")
	if err != nil {
		return "", err
	}
	var status struct {
		Proxy string `json:"proxy"`
	}
	err = json.Unmarshal([]byte(output), &status)
	return status.Proxy, errors.Wrapf(err, "parse status of %s", proxy.ID())
}

func (demo *demo) proxy(index int) *fleet.Proxy { return demo.fleet.Proxies()[index] }
