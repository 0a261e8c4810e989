package schema

import (
	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/admpb"
)

// FromGroups returns the messages for group views. The lag of an instance is its
// distance, in log positions, from the highest tail in its group.
func FromGroups(groups []model.GroupView) []*admpb.Group {
	messages := make([]*admpb.Group, 0, len(groups))
	for _, group := range groups {
		messages = append(messages, fromGroup(group))
	}
	return messages
}

// FromProxies returns the messages for proxy views, in the same order.
func FromProxies(proxies []model.ProxyView) []*admpb.Proxy {
	messages := make([]*admpb.Proxy, 0, len(proxies))
	for _, proxy := range proxies {
		messages = append(messages, &admpb.Proxy{
			Id:         string(proxy.ID()),
			Address:    proxy.Address(),
			DataCenter: string(proxy.DataCenter()),
			Revision:   proxy.Revision(),
			Draining:   proxy.Draining(),
			Age:        durationpb.New(proxy.Age()),
		})
	}
	return messages
}

func fromGroup(group model.GroupView) *admpb.Group {
	message := &admpb.Group{
		Id:         string(group.ID()),
		Term:       uint64(group.Term()),
		Promotions: group.Term().Count(),
		Primary:    string(group.Primary()),
	}
	highest := highestPosition(group)
	for _, instance := range group.Instances() {
		message.Instances = append(message.Instances, fromInstance(instance, highest))
	}
	return message
}

func fromInstance(view model.InstanceView, highest model.Position) *admpb.Instance {
	status := view.Status()
	return &admpb.Instance{
		Id:         string(view.Instance().ID()),
		Address:    view.Instance().Address(),
		DataCenter: string(view.Instance().DataCenter()),
		Role:       status.Role().String(),
		Fence:      uint64(status.Fence()),
		Tail: &admpb.Mark{
			Term:     uint64(status.Tail().Term()),
			Position: uint64(status.Tail().Position()),
		},
		Lag:       uint64(highest - status.Tail().Position()),
		Age:       durationpb.New(view.Age()),
		Reachable: view.Reachable(),
		Leaving:   view.Leaving(),
	}
}

func highestPosition(group model.GroupView) model.Position {
	var highest model.Position
	for _, instance := range group.Instances() {
		highest = max(highest, instance.Status().Tail().Position())
	}
	return highest
}
