// Package peers is the adapter for messages between proxies. It sends them over
// connect-go and serves the endpoint that receives them.
package peers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/proto/peerpb"
)

// maxInFlight limits the unanswered messages per address. Further messages are dropped,
// so that a proxy that does not respond occupies few goroutines and connections.
const maxInFlight = 8

// compressMinBytes is the size from which a response is compressed. A compressor
// occupies about a megabyte of memory, too much for the many small responses.
const compressMinBytes = 4096

// Peers sends messages to other proxies and posts received messages to the inbox. It is
// safe for concurrent use.
type Peers struct {
	client  *http.Client
	inbox   port.Inbox
	timeout time.Duration

	mutex    sync.Mutex
	inFlight map[string]int
}

var (
	_ port.Peers                = (*Peers)(nil)
	_ peerpb.PeerServiceHandler = (*Peers)(nil)
)

// New returns a Peers that sends with client. timeout bounds each delivery.
func New(client *http.Client, inbox port.Inbox, timeout time.Duration) *Peers {
	return &Peers{
		client:   client,
		inbox:    inbox,
		timeout:  timeout,
		inFlight: make(map[string]int),
	}
}

// Handler returns the path and the handler of the PeerService.
func (peers *Peers) Handler() (string, http.Handler) {
	return peerpb.NewPeerServiceHandler(peers, connect.WithCompressMinBytes(compressMinBytes))
}

// Send implements port.Peers. It does not block. A message that cannot be delivered is
// dropped without a retry.
func (peers *Peers) Send(action event.SendPeerMessage) {
	if !peers.beginSend(action.Address()) {
		return
	}
	go peers.send(action)
}

// Deliver implements peerpb.PeerServiceHandler.
func (peers *Peers) Deliver(_ context.Context, request *connect.Request[peerpb.DeliverRequest]) (*connect.Response[peerpb.DeliverResponse], error) {
	received, err := decode(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if received != nil {
		peers.inbox.Post(*received)
	}
	return connect.NewResponse(&peerpb.DeliverResponse{}), nil
}

func (peers *Peers) send(action event.SendPeerMessage) {
	defer peers.endSend(action.Address())
	request, err := encode(action.Message())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peers.timeout)
	defer cancel()
	client := peerpb.NewPeerServiceClient(peers.client, "http://"+action.Address())
	_, _ = client.Deliver(ctx, connect.NewRequest(request))
}

// beginSend counts a message to address as in flight. It returns false if the limit is
// reached.
func (peers *Peers) beginSend(address string) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if peers.inFlight[address] >= maxInFlight {
		return false
	}
	peers.inFlight[address]++
	return true
}

func (peers *Peers) endSend(address string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.inFlight[address]--
	if peers.inFlight[address] == 0 {
		delete(peers.inFlight, address)
	}
}
