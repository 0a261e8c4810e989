package mesh

import (
	"context"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

// Settle implements port.Mesh.
func (mesh *Mesh) Settle(action event.Settle) { go mesh.settle(action) }

func (mesh *Mesh) settle(action event.Settle) {
	ctx, cancel := context.WithTimeout(context.Background(), action.Timeout())
	defer cancel()
	address := action.Holder().Address()
	used := mesh.shortClient(address)
	request := &meshpb.SettleRequest{Caller: &meshpb.Caller{
		Proxy:      encodeProxy(action.From()),
		ReceiverId: string(action.Holder().ID()),
		System:     mesh.spec.System,
	}}
	request.Groups = encodeGroupTerms(action.Groups())
	response, err := used.client.Settle(ctx, connect.NewRequest(request))
	if err != nil {
		unsupported := connect.CodeOf(err) == connect.CodeUnimplemented
		if !unsupported {
			mesh.dropClient(address, used.http)
		}
		mesh.spec.Inbox.Post(event.NewSettleFailed(action.ID(), unsupported, err.Error()))
		return
	}
	mesh.spec.Inbox.Post(event.NewSettleAnswered(action.ID(), decodeSettlement(response.Msg)))
}

func decodeSettlement(response *meshpb.SettleResponse) model.Settlement {
	holder := model.ProxyID(response.GetHolder())
	if !response.GetHeld() {
		return model.NewReferral(holder)
	}
	var unsettled []model.GroupID
	for _, group := range response.GetUnsettled() {
		unsettled = append(unsettled, model.GroupID(group))
	}
	return model.NewSettlement(holder, unsettled, decodeGroupTerms(response.GetTerms()))
}

// Settle implements meshpb.MeshServiceHandler.
func (server callServer) Settle(ctx context.Context, request *connect.Request[meshpb.SettleRequest]) (*connect.Response[meshpb.SettleResponse], error) {
	mesh := server.Mesh
	if err := mesh.checkCaller(request.Msg.GetCaller()); err != nil {
		return nil, err
	}
	groups := decodeGroupTerms(request.Msg.GetGroups())
	response, err := mesh.await(ctx, func(id uint64) {
		mesh.spec.Inbox.Post(event.NewSettleReceived(model.SettleID(id), model.ProxyID(request.Msg.GetCaller().GetReceiverId()), groups))
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.(*meshpb.SettleResponse)), nil
}

// AnswerSettle implements port.Mesh.
func (mesh *Mesh) AnswerSettle(action event.AnswerSettle) {
	settlement := action.Settlement()
	response := &meshpb.SettleResponse{Held: settlement.Held(), Holder: string(settlement.Holder())}
	for _, group := range settlement.Unsettled() {
		response.Unsettled = append(response.Unsettled, string(group))
	}
	response.Terms = encodeGroupTerms(settlement.Terms())
	mesh.finish(uint64(action.ID()), answer{response: response})
}

// RefuseSettle implements port.Mesh.
func (mesh *Mesh) RefuseSettle(action event.RefuseSettle) {
	mesh.finish(uint64(action.ID()), answer{code: action.Code()})
}

func encodeGroupTerms(terms []model.GroupTerm) []*meshpb.GroupTerm {
	encoded := make([]*meshpb.GroupTerm, 0, len(terms))
	for _, known := range terms {
		message := &meshpb.GroupTerm{Group: string(known.Group()), Term: uint64(known.Term()), NeedsLog: known.NeedsLog()}
		for _, id := range known.Followers() {
			message.Followers = append(message.Followers, string(id))
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func decodeGroupTerms(encoded []*meshpb.GroupTerm) []model.GroupTerm {
	var terms []model.GroupTerm
	for _, message := range encoded {
		var followers []model.InstanceID
		for _, id := range message.GetFollowers() {
			followers = append(followers, model.InstanceID(id))
		}
		terms = append(terms, model.NewGroupTerm(model.GroupID(message.GetGroup()), model.Term(message.GetTerm()), followers...).WithNeedsLog(message.GetNeedsLog()))
	}
	return terms
}
