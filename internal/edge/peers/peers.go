// Package peers is the adapter to the other proxies. It sends messages over
// connect-go and serves those that come in.
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

// maxInFlight is how many messages to one address may wait for their answer.
// Further ones are dropped, so that a proxy that hangs costs little.
const maxInFlight = 8

// compressMinBytes is the size from which an answer is compressed. A compressor
// holds about a megabyte, which the many small answers are not worth.
const compressMinBytes = 4096

// Peers sends messages to other proxies and posts those that they send.
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

// New returns Peers that send with client. timeout bounds each message.
func New(client *http.Client, inbox port.Inbox, timeout time.Duration) *Peers {
	return &Peers{
		client:   client,
		inbox:    inbox,
		timeout:  timeout,
		inFlight: make(map[string]int),
	}
}

// Handler returns the path and the handler that take messages of other proxies.
func (peers *Peers) Handler() (string, http.Handler) {
	return peerpb.NewPeerServiceHandler(peers, connect.WithCompressMinBytes(compressMinBytes))
}

// Send implements port.Peers. A message that cannot be delivered is lost.
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
