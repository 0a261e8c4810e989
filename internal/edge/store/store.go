// Package store is the adapter to the platform's table service, group list and host
// list. It calls them over connect-go and posts the responses to the kernel as events.
package store

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/port"
	"almondway.dev/almondway/internal/proto/platpb"
)

// Store calls the platform. Each call runs in its own goroutine until it is answered or
// times out, so that no method blocks.
type Store struct {
	client  platpb.PlatformServiceClient
	inbox   port.Inbox
	timeout time.Duration
}

var _ port.Platform = (*Store)(nil)

// New returns a Store that calls the platform at url. timeout bounds each call.
func New(url string, client *http.Client, inbox port.Inbox, timeout time.Duration) *Store {
	return &Store{
		client:  platpb.NewPlatformServiceClient(client, url),
		inbox:   inbox,
		timeout: timeout,
	}
}

// Read implements port.Platform. It posts StoreRead, or StoreFailed after any error.
func (store *Store) Read(action event.ReadStore) {
	go store.read(action)
}

// Write implements port.Platform. It posts StoreWritten, StoreConflict if an expected
// version does not match, or StoreFailed after any other error. After StoreFailed the
// transaction may still have been committed, since its response may have been lost.
func (store *Store) Write(action event.WriteStore) {
	go store.write(action)
}

// ListGroups implements port.Platform. It posts GroupsListed, or nothing after an error.
func (store *Store) ListGroups(event.ListGroups) {
	go store.listGroups()
}

// ListHosts implements port.Platform. It posts HostsListed, or nothing after an error.
func (store *Store) ListHosts(event.ListHosts) {
	go store.listHosts()
}

func (store *Store) read(action event.ReadStore) {
	ctx, cancel := context.WithTimeout(context.Background(), store.timeout)
	defer cancel()
	request := &platpb.ReadRowsRequest{Table: action.Table(), Prefix: action.Prefix()}
	response, err := store.client.ReadRows(ctx, connect.NewRequest(request))
	if err != nil {
		store.inbox.Post(event.NewStoreFailed(action.CallID()))
		return
	}
	store.inbox.Post(event.NewStoreRead(action.CallID(), decodeRows(response.Msg)))
}

func (store *Store) write(action event.WriteStore) {
	ctx, cancel := context.WithTimeout(context.Background(), store.timeout)
	defer cancel()
	_, err := store.client.WriteRows(ctx, connect.NewRequest(encodeWrites(action)))
	switch {
	case err == nil:
		store.inbox.Post(event.NewStoreWritten(action.CallID()))
	case connect.CodeOf(err) == connect.CodeAborted:
		store.inbox.Post(event.NewStoreConflict(action.CallID()))
	default:
		store.inbox.Post(event.NewStoreFailed(action.CallID()))
	}
}

func (store *Store) listGroups() {
	ctx, cancel := context.WithTimeout(context.Background(), store.timeout)
	defer cancel()
	response, err := store.client.ListGroups(ctx, connect.NewRequest(&platpb.ListGroupsRequest{}))
	if err == nil {
		store.inbox.Post(event.NewGroupsListed(decodeGroups(response.Msg)))
	}
}

func (store *Store) listHosts() {
	ctx, cancel := context.WithTimeout(context.Background(), store.timeout)
	defer cancel()
	response, err := store.client.ListHosts(ctx, connect.NewRequest(&platpb.ListHostsRequest{}))
	if err != nil {
		return
	}
	hosts := make([]model.Host, 0, len(response.Msg.GetHosts()))
	for _, host := range response.Msg.GetHosts() {
		hosts = append(hosts, model.NewHost(model.InstanceID(host.GetInstanceId()), host.GetLeaving()))
	}
	store.inbox.Post(event.NewHostsListed(hosts))
}
