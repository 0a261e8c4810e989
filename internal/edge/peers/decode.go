package peers

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/peerpb"
)

// decode returns nil without an error for a message type that this version does not
// know, since a newer proxy may send one.
func decode(request *peerpb.DeliverRequest) (*event.PeerMessageReceived, error) {
	switch message := request.GetMessage().(type) {
	case *peerpb.DeliverRequest_Heartbeat:
		heartbeat := decodeHeartbeat(message.Heartbeat)
		return newReceived(heartbeat.Proxy(), heartbeat), nil
	case *peerpb.DeliverRequest_CatalogPush:
		push, err := decodePush(message.CatalogPush)
		if err != nil {
			return nil, err
		}
		return newReceived(push.Proxy(), push), nil
	case *peerpb.DeliverRequest_CatalogAck:
		ack := event.NewCatalogAck(model.ProxyID(message.CatalogAck.GetProxyId()), message.CatalogAck.GetRevision())
		return newReceived(ack.Proxy(), ack), nil
	default:
		return nil, nil
	}
}

func newReceived(from model.ProxyID, message event.PeerMessage) *event.PeerMessageReceived {
	received := event.NewPeerMessageReceived(from, message)
	return &received
}

func decodeHeartbeat(encoded *peerpb.Heartbeat) event.Heartbeat {
	leaving := make([]model.InstanceID, 0, len(encoded.GetLeavingInstanceIds()))
	for _, instance := range encoded.GetLeavingInstanceIds() {
		leaving = append(leaving, model.InstanceID(instance))
	}
	terms := make([]model.TermView, 0, len(encoded.GetTerms()))
	for _, term := range encoded.GetTerms() {
		terms = append(terms, model.NewTermView(
			model.GroupID(term.GetGroupId()),
			model.Term(term.GetTerm()),
			model.InstanceID(term.GetPrimaryId()),
		))
	}
	heartbeat := event.NewHeartbeat(
		model.ProxyID(encoded.GetProxyId()),
		encoded.GetAddress(),
		encoded.GetRevision(),
		encoded.GetConfirmed(),
		encoded.GetDraining(),
		leaving,
		terms,
	)
	return heartbeat.WithHolding(decodeHolding(encoded)).WithKnownProxies(decodeKnown(encoded))
}

func decodeHolding(encoded *peerpb.Heartbeat) []model.GroupID {
	holding := make([]model.GroupID, 0, len(encoded.GetHoldingGroupIds()))
	for _, group := range encoded.GetHoldingGroupIds() {
		holding = append(holding, model.GroupID(group))
	}
	return holding
}

func decodeKnown(encoded *peerpb.Heartbeat) []model.ProxyView {
	known := make([]model.ProxyView, 0, len(encoded.GetKnownProxies()))
	for _, proxy := range encoded.GetKnownProxies() {
		id := model.ProxyID(proxy.GetId())
		known = append(known, model.NewProxyView(id, proxy.GetAddress(), model.DataCenter(proxy.GetDataCenter()), 0, false, 0))
	}
	return known
}

func decodePush(encoded *peerpb.CatalogPush) (event.CatalogPush, error) {
	deployments := make([]*model.Deployment, 0, len(encoded.GetDeployments()))
	for _, body := range encoded.GetDeployments() {
		deployment, err := model.DecodeDeployment(body)
		if err != nil {
			return event.CatalogPush{}, err
		}
		deployments = append(deployments, deployment)
	}
	return event.NewCatalogPush(model.ProxyID(encoded.GetProxyId()), encoded.GetRevision(), deployments), nil
}
