// Package plat is the stand-in for the platform: a transactional table service,
// an object store, and the lists of groups and hosts.
package plat

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/proto/platpb"
	"almondway.dev/almondway/internal/stand/topol"
)

type row struct {
	version uint64
	value   []byte
}

// Platform implements the platform service and its fault control in memory.
type Platform struct {
	mu      sync.Mutex
	spec    topol.Spec
	rows    map[string]row // keyed by the table, a zero byte and the row key
	objects map[string][]byte
	hosts   hostList
	faults  faults
}

// New returns a Platform for a topology.
func New(spec topol.Spec) *Platform {
	return &Platform{
		spec:    spec,
		rows:    make(map[string]row),
		objects: make(map[string][]byte),
		hosts:   newHostList(time.Duration(spec.HostListLag)),
	}
}

// Handler returns the HTTP handler of the platform service and its fault control.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platpb.NewPlatformServiceHandler(platform, connect.WithInterceptors(faultInterceptor{platform: platform})))
	mux.Handle(ctrlpb.NewPlatformControlServiceHandler(platform))
	return mux
}

// ReadRows implements platpb.PlatformServiceHandler.
func (platform *Platform) ReadRows(
	_ context.Context, request *connect.Request[platpb.ReadRowsRequest],
) (*connect.Response[platpb.ReadRowsResponse], error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	tablePrefix := request.Msg.GetTable() + "\x00"
	response := &platpb.ReadRowsResponse{}
	for key, row := range platform.rows {
		if strings.HasPrefix(key, tablePrefix+request.Msg.GetPrefix()) {
			response.Rows = append(response.Rows, &platpb.Row{Key: strings.TrimPrefix(key, tablePrefix), Version: row.version, Value: row.value})
		}
	}
	slices.SortFunc(response.Rows, func(a, b *platpb.Row) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return connect.NewResponse(response), nil
}

// WriteRows implements platpb.PlatformServiceHandler.
func (platform *Platform) WriteRows(
	_ context.Context, request *connect.Request[platpb.WriteRowsRequest],
) (*connect.Response[platpb.WriteRowsResponse], error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	for _, write := range request.Msg.GetWrites() {
		if version := platform.rows[rowKey(write)].version; version != write.GetExpectedVersion() {
			return nil, connect.NewError(connect.CodeAborted, errors.Errorf(
				"row %q of table %q has version %d, not %d", write.GetKey(), write.GetTable(), version, write.GetExpectedVersion()))
		}
	}
	for _, write := range request.Msg.GetWrites() {
		if write.GetDelete() {
			delete(platform.rows, rowKey(write))
		} else {
			platform.rows[rowKey(write)] = row{version: write.GetExpectedVersion() + 1, value: write.GetValue()}
		}
	}
	return connect.NewResponse(&platpb.WriteRowsResponse{}), nil
}

func rowKey(write *platpb.RowWrite) string { return write.GetTable() + "\x00" + write.GetKey() }

// GetObject implements platpb.PlatformServiceHandler.
func (platform *Platform) GetObject(
	_ context.Context, request *connect.Request[platpb.GetObjectRequest],
) (*connect.Response[platpb.GetObjectResponse], error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	value, ok := platform.objects[request.Msg.GetKey()]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("object %q not found", request.Msg.GetKey()))
	}
	return connect.NewResponse(&platpb.GetObjectResponse{Value: value}), nil
}

// PutObject implements platpb.PlatformServiceHandler.
func (platform *Platform) PutObject(
	_ context.Context, request *connect.Request[platpb.PutObjectRequest],
) (*connect.Response[platpb.PutObjectResponse], error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.objects[request.Msg.GetKey()] = request.Msg.GetValue()
	return connect.NewResponse(&platpb.PutObjectResponse{}), nil
}

// ListGroups implements platpb.PlatformServiceHandler.
func (platform *Platform) ListGroups(
	context.Context, *connect.Request[platpb.ListGroupsRequest],
) (*connect.Response[platpb.ListGroupsResponse], error) {
	response := &platpb.ListGroupsResponse{}
	for _, group := range platform.spec.Groups {
		listed := &platpb.Group{Id: group.ID}
		for _, instance := range group.Instances {
			listed.Instances = append(listed.Instances, &platpb.Instance{
				Id:         instance.ID,
				Address:    instance.Address,
				DataCenter: instance.DataCenter,
			})
		}
		response.Groups = append(response.Groups, listed)
	}
	return connect.NewResponse(response), nil
}

// ListHosts implements platpb.PlatformServiceHandler.
func (platform *Platform) ListHosts(
	context.Context, *connect.Request[platpb.ListHostsRequest],
) (*connect.Response[platpb.ListHostsResponse], error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	response := &platpb.ListHostsResponse{}
	for _, group := range platform.spec.Groups {
		for _, instance := range group.Instances {
			leaving := platform.hosts.isLeaving(instance.ID, time.Now())
			response.Hosts = append(response.Hosts, &platpb.Host{InstanceId: instance.ID, Leaving: leaving})
		}
	}
	return connect.NewResponse(response), nil
}
