package insta

import (
	"context"
	"maps"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/proto/ctrlpb"
)

// SetInstanceFaults implements ctrlpb.InstanceControlServiceHandler.
func (instance *Instance) SetInstanceFaults(
	_ context.Context, request *connect.Request[ctrlpb.SetInstanceFaultsRequest],
) (*connect.Response[ctrlpb.SetInstanceFaultsResponse], error) {
	faults := request.Msg
	instance.groupGate.SetClosed(faults.GetCutFromGroup())
	instance.proxyGate.SetClosed(faults.GetCutFromProxies())
	instance.instanceGate.SetClosed(faults.GetFrozen())
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.leaving = faults.GetLeaving()
	if faults.GetLag() != nil {
		instance.lag = faults.GetLag().AsDuration()
	}
	return connect.NewResponse(&ctrlpb.SetInstanceFaultsResponse{}), nil
}

// GetInstanceState implements ctrlpb.InstanceControlServiceHandler.
func (instance *Instance) GetInstanceState(
	context.Context, *connect.Request[ctrlpb.GetInstanceStateRequest],
) (*connect.Response[ctrlpb.GetInstanceStateResponse], error) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	tail := instance.log.tail()
	return connect.NewResponse(&ctrlpb.GetInstanceStateResponse{
		InstanceId:   instance.self.ID,
		Fence:        uint64(instance.fence),
		Primary:      instance.primary,
		TailTerm:     uint64(tail.Term()),
		TailPosition: uint64(tail.Position()),
		Upstream:     instance.upstream,
		Leaving:      instance.leaving,
		Reads:        instance.counters.reads.Load(),
		Commits:      instance.counters.commits.Load(),
		Promotions:   instance.counters.promotions.Load(),
		Connections:  uint64(instance.sessions.countOpen()),
		PrimaryReads: maps.Clone(instance.primaryReads),
	}), nil
}
