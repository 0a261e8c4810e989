package peers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/peers"
	"almondway.dev/almondway/internal/proto/peerpb"
)

// inbox collects the events that the adapter posts.
type inbox chan event.Event

func (inbox inbox) Post(received event.Event) { inbox <- received }

// startServer serves a proxy's PeerService and returns its address and its inbox.
func startServer(t *testing.T) (string, inbox) {
	events := make(inbox, 16)
	mux := http.NewServeMux()
	mux.Handle(peers.New(http.DefaultClient, events, time.Second).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), events
}

func deployment() *model.Deployment {
	return model.NewDeployment(model.DeploymentSpec{
		Name:     "katalog-db",
		Revision: 7,
		Groups:   []model.GroupID{"katalog-1"},
		Kinds: []model.Kind{model.NewKind(model.KindSpec{
			Name:      "browse",
			Access:    model.AccessRead,
			Staleness: 3 * time.Second,
		})},
		Classes: []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{Name: "student", MaxConcurrent: 4})},
	})
}

func TestMessageRoundTrip(t *testing.T) {
	leaving := []model.InstanceID{"katalog-1-a"}
	terms := []model.TermView{model.NewTermView("katalog-1", model.NewTerm(3, 9), "katalog-1-b")}
	known := []model.ProxyView{model.NewProxyView("proxy-3", "127.0.0.1:8003", "trnje-hall", 0, false, 0)}
	heartbeat := event.NewHeartbeat("proxy-1", "127.0.0.1:8001", 12, true, true, leaving, terms)
	tests := []struct {
		name    string
		message event.PeerMessage
	}{
		{name: "heartbeat", message: heartbeat.WithHolding([]model.GroupID{"katalog-1"}).WithKnownProxies(known)},
		{name: "push", message: event.NewCatalogPush("proxy-1", 12, []*model.Deployment{deployment()})},
		{name: "acknowledgement", message: event.NewCatalogAck("proxy-1", 12)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, received := startServer(t)
			sender := peers.New(http.DefaultClient, make(inbox), 5*time.Second)
			sender.Send(event.NewSendPeerMessage(address, test.message))
			is.Equal(<-received, event.NewPeerMessageReceived("proxy-1", test.message))
		})
	}
}

func TestUnknownAndMalformedMessages(t *testing.T) {
	is := is.New(t)
	address, received := startServer(t)
	client := peerpb.NewPeerServiceClient(http.DefaultClient, "http://"+address)
	_, err := client.Deliver(context.Background(), connect.NewRequest(&peerpb.DeliverRequest{}))
	is.NoErr(err) // a message type that this version does not know
	push := &peerpb.CatalogPush{ProxyId: "proxy-1", Revision: 3, Deployments: [][]byte{[]byte("{")}}
	malformed := &peerpb.DeliverRequest{Message: &peerpb.DeliverRequest_CatalogPush{CatalogPush: push}}
	_, err = client.Deliver(context.Background(), connect.NewRequest(malformed))
	is.Equal(connect.CodeOf(err), connect.CodeInvalidArgument)
	is.Equal(len(received), 0)
}

// The number of messages in flight to a proxy that does not respond is bounded.
func TestInFlightLimit(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 100)
	unblock := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-unblock
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(unblock) })
	sender := peers.New(server.Client(), make(inbox), time.Minute)
	ack := event.NewSendPeerMessage(strings.TrimPrefix(server.URL, "http://"), event.NewCatalogAck("proxy-1", 1))
	const inFlightLimit = 8
	for range 3 * inFlightLimit {
		sender.Send(ack)
	}
	for range inFlightLimit {
		<-arrived
	}
	is.Equal(len(arrived), 0)
}

func TestSendAfterUnreachableProxy(t *testing.T) {
	is := is.New(t)
	address, received := startServer(t)
	sender := peers.New(http.DefaultClient, make(inbox), time.Second)
	sender.Send(event.NewSendPeerMessage("127.0.0.1:1", event.NewCatalogAck("proxy-1", 1)))
	sender.Send(event.NewSendPeerMessage(address, event.NewCatalogAck("proxy-1", 2)))
	is.Equal(<-received, event.NewPeerMessageReceived("proxy-1", event.NewCatalogAck("proxy-1", 2)))
}
