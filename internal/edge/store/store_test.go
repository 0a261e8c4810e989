package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/store"
	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/stand/plat"
	"almondway.dev/almondway/internal/stand/topol"
)

// inbox collects the events that the adapter posts.
type inbox chan event.Event

func (inbox inbox) Post(received event.Event) { inbox <- received }

type fixture struct {
	server   *httptest.Server
	platform *plat.Platform
	store    *store.Store
	inbox    inbox
}

func newFixture(t *testing.T, timeout time.Duration) *fixture {
	platform := plat.New(topol.Spec{Groups: []topol.GroupSpec{
		{ID: "katalog-2", Instances: []topol.InstanceSpec{{ID: "katalog-2-a", Address: "127.0.0.1:7011", DataCenter: "trnje-hall"}}},
		{ID: "katalog-1", Instances: []topol.InstanceSpec{{ID: "katalog-1-a", Address: "127.0.0.1:7001", DataCenter: "trnje-hall"}}},
	}})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	events := make(inbox, 16)
	return &fixture{
		server:   server,
		platform: platform,
		store:    store.New(server.URL, server.Client(), events, timeout),
		inbox:    events,
	}
}

func (fixture *fixture) setFaults(t *testing.T, faults *ctrlpb.SetPlatformFaultsRequest) {
	t.Helper()
	_, err := fixture.platform.SetPlatformFaults(context.Background(), connect.NewRequest(faults))
	is.New(t).NoErr(err)
}

func write(callID model.PlatformCallID, expectedVersion uint64, value []byte) event.WriteStore {
	return event.NewWriteStore(callID, []model.RowWrite{model.NewRowWrite("catalog", "head", expectedVersion, value)})
}

func TestReadsAndWrites(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 5*time.Second)
	fixture.store.Write(write(1, 0, []byte("one")))
	is.Equal(<-fixture.inbox, event.NewStoreWritten(1))
	fixture.store.Write(write(2, 0, []byte("two")))
	is.Equal(<-fixture.inbox, event.NewStoreConflict(2))
	fixture.store.Write(write(3, 1, []byte{}))
	is.Equal(<-fixture.inbox, event.NewStoreWritten(3)) // an empty value does not delete the row
	fixture.store.Read(event.NewReadStore(4, "catalog", "he"))
	read, ok := (<-fixture.inbox).(event.StoreRead)
	is.True(ok)
	is.Equal(read.CallID(), model.PlatformCallID(4))
	is.Equal(read.Rows()[0].Key(), "head")
	is.Equal(read.Rows()[0].Version(), uint64(2))
	fixture.store.Write(write(5, 2, nil))
	is.Equal(<-fixture.inbox, event.NewStoreWritten(5))
	fixture.store.Read(event.NewReadStore(6, "catalog", ""))
	is.Equal(<-fixture.inbox, event.NewStoreRead(6, []model.Row{}))
}

func TestLists(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, 5*time.Second)
	fixture.store.ListGroups(event.NewListGroups())
	groups, ok := (<-fixture.inbox).(event.GroupsListed)
	is.True(ok)
	is.Equal(groups.Groups()[0].ID(), model.GroupID("katalog-1")) // sorted
	is.Equal(groups.Groups()[1].Instances(), []model.Instance{model.NewInstance("katalog-2-a", "127.0.0.1:7011", "trnje-hall")})
	fixture.store.ListHosts(event.NewListHosts())
	_, ok = (<-fixture.inbox).(event.HostsListed)
	is.True(ok)
}

func TestFailures(t *testing.T) {
	tests := []struct {
		name    string
		faults  *ctrlpb.SetPlatformFaultsRequest
		close   bool
		timeout time.Duration
		applied bool // whether the write takes effect
	}{
		{name: "platform outage", faults: &ctrlpb.SetPlatformFaultsRequest{Outage: true}, timeout: 5 * time.Second},
		{name: "response lost", faults: &ctrlpb.SetPlatformFaultsRequest{LoseAnswers: 1}, timeout: 5 * time.Second, applied: true},
		{name: "silence", faults: &ctrlpb.SetPlatformFaultsRequest{Silent: true}, timeout: 20 * time.Millisecond},
		{
			name:    "slowness",
			faults:  &ctrlpb.SetPlatformFaultsRequest{Slowness: durationpb.New(time.Hour)},
			timeout: 20 * time.Millisecond,
		},
		{name: "connection refused", close: true, timeout: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(t, test.timeout)
			if test.close {
				fixture.server.Close()
			} else {
				fixture.setFaults(t, test.faults)
			}
			fixture.store.Write(write(1, 0, []byte("one")))
			is.Equal(<-fixture.inbox, event.NewStoreFailed(1))
			if test.close {
				return
			}
			fixture.setFaults(t, &ctrlpb.SetPlatformFaultsRequest{})
			reader := store.New(fixture.server.URL, http.DefaultClient, fixture.inbox, 5*time.Second)
			reader.Read(event.NewReadStore(2, "catalog", "head"))
			read, ok := (<-fixture.inbox).(event.StoreRead)
			is.True(ok)
			is.Equal(len(read.Rows()) == 1, test.applied)
		})
	}
}
