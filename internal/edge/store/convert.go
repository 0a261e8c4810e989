package store

import (
	"slices"
	"strings"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/platpb"
)

func decodeRows(response *platpb.ReadRowsResponse) []model.Row {
	rows := make([]model.Row, 0, len(response.GetRows()))
	for _, row := range response.GetRows() {
		rows = append(rows, model.NewRow(row.GetKey(), row.GetVersion(), row.GetValue()))
	}
	return rows
}

func encodeWrites(action event.WriteStore) *platpb.WriteRowsRequest {
	request := &platpb.WriteRowsRequest{}
	for _, write := range action.Writes() {
		request.Writes = append(request.Writes, &platpb.RowWrite{
			Table:           write.Table(),
			Key:             write.Key(),
			ExpectedVersion: write.ExpectedVersion(),
			Value:           write.Value(),
			Delete:          write.Value() == nil,
		})
	}
	return request
}

func decodeGroups(response *platpb.ListGroupsResponse) []model.Group {
	groups := make([]model.Group, 0, len(response.GetGroups()))
	for _, group := range response.GetGroups() {
		instances := make([]model.Instance, 0, len(group.GetInstances()))
		for _, instance := range group.GetInstances() {
			instances = append(instances, model.NewInstance(
				model.InstanceID(instance.GetId()),
				instance.GetAddress(),
				model.DataCenter(instance.GetDataCenter()),
			))
		}
		groups = append(groups, model.NewGroup(model.GroupID(group.GetId()), instances))
	}
	slices.SortFunc(groups, func(left, right model.Group) int {
		return strings.Compare(string(left.ID()), string(right.ID()))
	})
	return groups
}
