package mesh

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

func encodeProxy(view model.ProxyView) *meshpb.Proxy {
	return &meshpb.Proxy{Id: string(view.ID()), Address: view.Address(), DataCenter: string(view.DataCenter()), Cores: view.Cores()}
}

func decodeProxy(encoded *meshpb.Proxy) model.ProxyView {
	view := model.NewProxyView(model.ProxyID(encoded.GetId()), encoded.GetAddress(), model.DataCenter(encoded.GetDataCenter()), 0, false, 0)
	return view.WithCores(encoded.GetCores())
}

func encodePosition(position model.ListPosition) *meshpb.ListPosition {
	return &meshpb.ListPosition{List: string(position.List()), Era: uint64(position.Era()), Version: position.Version()}
}

func decodePosition(encoded *meshpb.ListPosition) model.ListPosition {
	return model.NewListPosition(model.ListName(encoded.GetList()), model.StoreEra(encoded.GetEra()), encoded.GetVersion())
}

func encodeVersion(version model.MembersVersion) *meshpb.MembersVersion {
	return &meshpb.MembersVersion{Process: version.Process(), Version: version.Version()}
}

func decodeVersion(encoded *meshpb.MembersVersion) model.MembersVersion {
	return model.NewMembersVersion(encoded.GetProcess(), encoded.GetVersion())
}

func encodePoll(poll model.Poll, system string) *meshpb.PollRequest {
	request := &meshpb.PollRequest{
		Caller: &meshpb.Caller{
			Proxy:      encodeProxy(poll.From()),
			Process:    poll.Process(),
			ReceiverId: string(poll.To()),
			System:     system,
			Draining:   poll.Draining(),
		},
		HoldMs:           milliseconds(poll.Hold()),
		HeardMembersOnly: poll.HeardOnly(),
		FreshLists:       poll.FreshLists(),
		Members:          encodeVersion(poll.Members()),

		AcceptsMemberChanges: poll.TakesChanges(),
	}
	request.Loads, request.LoadsSequence = encodeLoads(poll.Loads()), poll.Loads().Sequence()
	for _, position := range poll.Lists() {
		request.Lists = append(request.Lists, encodePosition(position))
	}
	return request
}

func decodePoll(request *meshpb.PollRequest) model.Poll {
	spec := model.PollSpec{
		From:      decodeProxy(request.GetCaller().GetProxy()),
		Process:   request.GetCaller().GetProcess(),
		To:        model.ProxyID(request.GetCaller().GetReceiverId()),
		Draining:  request.GetCaller().GetDraining(),
		Hold:      fromMilliseconds(request.GetHoldMs()),
		HeardOnly: request.GetHeardMembersOnly(),
		Members:   decodeVersion(request.GetMembers()),

		FreshLists:   request.GetFreshLists(),
		TakesChanges: request.GetAcceptsMemberChanges(),
		Loads:        decodeLoads(request.GetLoadsSequence(), request.GetLoads()),
	}
	for _, position := range request.GetLists() {
		spec.Lists = append(spec.Lists, decodePosition(position))
	}
	return model.NewPoll(spec)
}

func encodeReply(reply model.PollReply) *meshpb.PollResponse {
	response := &meshpb.PollResponse{
		Process:        reply.Process(),
		Draining:       reply.Draining(),
		HeldMs:         milliseconds(reply.Held()),
		MembersVersion: encodeVersion(reply.Version()),
	}
	response.Loads, response.LoadsSequence = encodeLoads(reply.Loads()), reply.Loads().Sequence()
	for _, member := range reply.Members() {
		response.Members = append(response.Members, encodeProxy(member))
	}
	if reply.Partial() {
		response.MemberChanges = encodeChanges(reply.Changes())
	}
	for _, update := range reply.Lists() {
		encoded := &meshpb.ListUpdate{Position: encodePosition(update.Position()), Whole: update.Whole(), AgeMs: milliseconds(update.Age())}
		for _, row := range update.Rows() {
			encoded.Rows = append(encoded.Rows, &meshpb.ListRow{Key: row.Key(), Version: row.Version(), Value: row.Value(), Deleted: row.Deleted()})
		}
		response.Lists = append(response.Lists, encoded)
	}
	return response
}

func encodeChanges(changes model.MemberChanges) *meshpb.MemberChanges {
	encoded := &meshpb.MemberChanges{Since: encodeVersion(changes.Since())}
	for _, view := range changes.Changed() {
		encoded.Changed = append(encoded.Changed, encodeProxy(view))
	}
	for _, id := range changes.Removed() {
		encoded.Removed = append(encoded.Removed, string(id))
	}
	return encoded
}

func decodeChanges(encoded *meshpb.MemberChanges) model.MemberChanges {
	var changed []model.ProxyView
	for _, member := range encoded.GetChanged() {
		changed = append(changed, decodeProxy(member))
	}
	var removed []model.ProxyID
	for _, id := range encoded.GetRemoved() {
		removed = append(removed, model.ProxyID(id))
	}
	return model.NewMemberChanges(decodeVersion(encoded.GetSince()), changed, removed)
}

// decodeReply decodes a reply. Members that are sent are new to this proxy; a proxy has at least
// one member, itself.
func decodeReply(response *meshpb.PollResponse) model.PollReply {
	spec := model.PollReplySpec{
		Process:  response.GetProcess(),
		Draining: response.GetDraining(),
		Held:     fromMilliseconds(response.GetHeldMs()),
		Version:  decodeVersion(response.GetMembersVersion()),
		Changed:  len(response.GetMembers()) > 0,
		Loads:    decodeLoads(response.GetLoadsSequence(), response.GetLoads()),
	}
	for _, member := range response.GetMembers() {
		spec.Members = append(spec.Members, decodeProxy(member))
	}
	if changes := response.GetMemberChanges(); changes != nil {
		spec.Changed, spec.Partial, spec.Changes = true, true, decodeChanges(changes)
	}
	for _, update := range response.GetLists() {
		rows := make([]model.ListRow, 0, len(update.GetRows()))
		for _, row := range update.GetRows() {
			if row.GetDeleted() {
				rows = append(rows, model.NewDeletedListRow(row.GetKey(), row.GetVersion()))
				continue
			}
			rows = append(rows, model.NewListRow(row.GetKey(), row.GetVersion(), row.GetValue()))
		}
		// One millisecond more than was sent, which is rounded down.
		age := fromMilliseconds(update.GetAgeMs() + 1)
		spec.Lists = append(spec.Lists, model.NewListUpdate(decodePosition(update.GetPosition()), update.GetWhole(), rows, age))
	}
	return model.NewPollReply(spec)
}
