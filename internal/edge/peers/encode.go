package peers

import (
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/peerpb"
)

func encode(message event.PeerMessage) (*peerpb.DeliverRequest, error) {
	switch message := message.(type) {
	case event.Heartbeat:
		return &peerpb.DeliverRequest{Message: &peerpb.DeliverRequest_Heartbeat{Heartbeat: encodeHeartbeat(message)}}, nil
	case event.CatalogPush:
		push, err := encodePush(message)
		if err != nil {
			return nil, err
		}
		return &peerpb.DeliverRequest{Message: &peerpb.DeliverRequest_CatalogPush{CatalogPush: push}}, nil
	case event.CatalogAck:
		ack := &peerpb.CatalogAck{ProxyId: string(message.Proxy()), Revision: message.Revision()}
		return &peerpb.DeliverRequest{Message: &peerpb.DeliverRequest_CatalogAck{CatalogAck: ack}}, nil
	default:
		return nil, errors.Errorf("peer message %T has no encoding", message)
	}
}

func encodeHeartbeat(heartbeat event.Heartbeat) *peerpb.Heartbeat {
	encoded := &peerpb.Heartbeat{
		ProxyId:   string(heartbeat.Proxy()),
		Address:   heartbeat.Address(),
		Revision:  heartbeat.Revision(),
		Confirmed: heartbeat.Confirmed(),
		Draining:  heartbeat.Draining(),
	}
	for _, instance := range heartbeat.Leaving() {
		encoded.LeavingInstanceIds = append(encoded.LeavingInstanceIds, string(instance))
	}
	for _, term := range heartbeat.Terms() {
		encoded.Terms = append(encoded.Terms, &peerpb.TermView{
			GroupId:   string(term.Group()),
			Term:      uint64(term.Term()),
			PrimaryId: string(term.Primary()),
		})
	}
	for _, group := range heartbeat.Holding() {
		encoded.HoldingGroupIds = append(encoded.HoldingGroupIds, string(group))
	}
	for _, proxy := range heartbeat.KnownProxies() {
		encoded.KnownProxies = append(encoded.KnownProxies, &peerpb.Proxy{
			Id:         string(proxy.ID()),
			Address:    proxy.Address(),
			DataCenter: string(proxy.DataCenter()),
		})
	}
	return encoded
}

func encodePush(push event.CatalogPush) (*peerpb.CatalogPush, error) {
	encoded := &peerpb.CatalogPush{ProxyId: string(push.Proxy()), Revision: push.Revision()}
	for _, deployment := range push.Deployments() {
		body, err := model.EncodeDeployment(deployment)
		if err != nil {
			return nil, err
		}
		encoded.Deployments = append(encoded.Deployments, body)
	}
	return encoded, nil
}
