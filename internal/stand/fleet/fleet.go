// Package fleet runs a whole system on the loopback address: the stand-ins for the platform
// and the instances, and several proxies, each in its own process.
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/stand/procs"
	"almondway.dev/almondway/internal/stand/topol"
)

const readyTimeout = 20 * time.Second

// Spec configures a Fleet.
type Spec struct {
	// Dir is the directory for the topology file and the logs of the processes.
	Dir string
	// Programs is the directory that contains the built programs.
	Programs string
	// Topology describes the groups. The ports of its addresses must be free.
	Topology topol.Spec
	// Ports allocates the ports of the platform and the proxies.
	Ports *procs.PortAllocator
	// ProxyArgs are additional command-line arguments of each proxy.
	ProxyArgs []string
}

// Fleet is a system of separate processes: the platform, the instances and the proxies.
type Fleet struct {
	spec              Spec
	pool              *procs.Pool
	topologyFile      string
	platformAddress   string
	instanceProcesses map[string]*procs.Proc
	proxies           []*Proxy
	lastProxyNumber   int
}

// New writes the topology file and returns a Fleet. No process is started yet.
func New(spec Spec) (*Fleet, error) {
	fleet := &Fleet{
		spec:              spec,
		pool:              procs.NewPool(spec.Dir),
		topologyFile:      filepath.Join(spec.Dir, "topology.json"),
		platformAddress:   fmt.Sprintf("127.0.0.1:%d", spec.Ports.Port()),
		instanceProcesses: make(map[string]*procs.Proc),
	}
	return fleet, spec.Topology.Save(fleet.topologyFile)
}

// ProgramDir returns the directory that contains the executable of the current process.
func ProgramDir() (string, error) {
	path, err := os.Executable()
	return filepath.Dir(path), errors.Wrap(err, "find executable of this process")
}

// Stop terminates all processes.
func (fleet *Fleet) Stop() { fleet.pool.Stop() }

// Topology returns the topology that the Fleet was created with.
func (fleet *Fleet) Topology() topol.Spec { return fleet.spec.Topology }

// PlatformAddress returns the "ip:port" of the platform.
func (fleet *Fleet) PlatformAddress() string { return fleet.platformAddress }

// StartBackend starts the platform and all instances and waits until their ports accept connections.
func (fleet *Fleet) StartBackend(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	_, err := fleet.pool.Start("platform", fleet.programPath("standin"), "platform", "--topology", fleet.topologyFile, "--listen", fleet.platformAddress)
	if err != nil {
		return err
	}
	for _, group := range fleet.spec.Topology.Groups {
		for _, instance := range group.Instances {
			if err := fleet.StartInstance(instance.ID); err != nil {
				return err
			}
		}
	}
	for _, group := range fleet.spec.Topology.Groups {
		for _, instance := range group.Instances {
			if err := procs.Poll(ctx, func() error { return procs.CheckListening(ctx, instance.Address) }); err != nil {
				return err
			}
			if err := procs.Poll(ctx, func() error { return procs.CheckListening(ctx, instance.ControlAddress) }); err != nil {
				return err
			}
		}
	}
	return procs.Poll(ctx, func() error { return procs.CheckListening(ctx, fleet.platformAddress) })
}

// StartInstance starts an instance with additional command-line arguments. It does not wait until the instance accepts connections.
func (fleet *Fleet) StartInstance(id string, args ...string) error {
	args = append([]string{"instance", "--topology", fleet.topologyFile, "--id", id}, args...)
	proc, err := fleet.pool.Start(id, fleet.programPath("standin"), args...)
	if err != nil {
		return err
	}
	fleet.instanceProcesses[id] = proc
	return nil
}

// InstanceProcess returns the latest process of an instance, or nil if it was never started.
func (fleet *Fleet) InstanceProcess(id string) *procs.Proc { return fleet.instanceProcesses[id] }

// ReplaceInstance starts a killed instance again, with an empty log and no fence.
func (fleet *Fleet) ReplaceInstance(id string) error { return fleet.StartInstance(id, "--empty") }

// SetPlatformFaults replaces all injected faults of the platform.
func (fleet *Fleet) SetPlatformFaults(ctx context.Context, faults *ctrlpb.SetPlatformFaultsRequest) error {
	client := ctrlpb.NewPlatformControlServiceClient(http.DefaultClient, "http://"+fleet.platformAddress)
	_, err := client.SetPlatformFaults(ctx, connect.NewRequest(faults))
	return errors.Wrap(err, "set faults of the platform")
}

// MarkHost marks the host of an instance as leaving or staying in the host list of the platform.
func (fleet *Fleet) MarkHost(ctx context.Context, id string, leaving bool) error {
	client := ctrlpb.NewPlatformControlServiceClient(http.DefaultClient, "http://"+fleet.platformAddress)
	_, err := client.MarkHost(ctx, connect.NewRequest(&ctrlpb.MarkHostRequest{InstanceId: id, Leaving: leaving}))
	return errors.Wrapf(err, "mark host of instance %s", id)
}

// SetInstanceFaults replaces all injected faults of an instance.
func (fleet *Fleet) SetInstanceFaults(ctx context.Context, id string, faults *ctrlpb.SetInstanceFaultsRequest) error {
	client, err := fleet.controlClient(id)
	if err != nil {
		return err
	}
	_, err = client.SetInstanceFaults(ctx, connect.NewRequest(faults))
	return errors.Wrapf(err, "set faults of instance %s", id)
}

// InstanceState returns the state of an instance.
func (fleet *Fleet) InstanceState(ctx context.Context, id string) (*ctrlpb.GetInstanceStateResponse, error) {
	client, err := fleet.controlClient(id)
	if err != nil {
		return nil, err
	}
	response, err := client.GetInstanceState(ctx, connect.NewRequest(&ctrlpb.GetInstanceStateRequest{}))
	if err != nil {
		return nil, errors.Wrapf(err, "get state of instance %s", id)
	}
	return response.Msg, nil
}

// Primary returns the running instance that reports itself primary with the highest fence of the group.
func (fleet *Fleet) Primary(ctx context.Context, group string) (topol.InstanceSpec, error) {
	var best topol.InstanceSpec
	var term uint64
	for _, groupSpec := range fleet.spec.Topology.Groups {
		for _, instance := range groupSpec.Instances {
			if groupSpec.ID != group || !fleet.instanceProcesses[instance.ID].Alive() {
				continue
			}
			state, err := fleet.InstanceState(ctx, instance.ID)
			if err == nil && state.GetPrimary() && state.GetFence() > term {
				best, term = instance, state.GetFence()
			}
		}
	}
	if term == 0 {
		return best, errors.Errorf("group %s has no primary", group)
	}
	return best, nil
}

func (fleet *Fleet) controlClient(id string) (ctrlpb.InstanceControlServiceClient, error) {
	_, instance, err := fleet.spec.Topology.FindInstance(id)
	if err != nil {
		return nil, err
	}
	return ctrlpb.NewInstanceControlServiceClient(http.DefaultClient, "http://"+instance.ControlAddress), nil
}

func (fleet *Fleet) programPath(name string) string { return filepath.Join(fleet.spec.Programs, name) }
