package plat_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/proto/platpb"
	"almondway.dev/almondway/internal/stand/plat"
	"almondway.dev/almondway/internal/stand/topol"
)

type fixture struct {
	platform platpb.PlatformServiceClient
	control  ctrlpb.PlatformControlServiceClient
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	spec := topol.Zagreb().Spec(topol.NewPortSequence(7001))
	server := httptest.NewServer(plat.New(spec).Handler())
	t.Cleanup(server.Close)
	return fixture{
		platform: platpb.NewPlatformServiceClient(server.Client(), server.URL),
		control:  ctrlpb.NewPlatformControlServiceClient(server.Client(), server.URL),
	}
}

func (fixture fixture) writeRows(writes ...*platpb.RowWrite) error {
	_, err := fixture.platform.WriteRows(context.Background(), connect.NewRequest(&platpb.WriteRowsRequest{Writes: writes}))
	return err
}

func (fixture fixture) readValues(t *testing.T, prefix string) []string {
	t.Helper()
	response, err := fixture.platform.ReadRows(context.Background(), connect.NewRequest(&platpb.ReadRowsRequest{Table: "t", Prefix: prefix}))
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, row := range response.Msg.GetRows() {
		values = append(values, row.GetKey()+"="+string(row.GetValue()))
	}
	return values
}

func putRow(key string, version uint64, value string) *platpb.RowWrite {
	return &platpb.RowWrite{Table: "t", Key: key, ExpectedVersion: version, Value: []byte(value)}
}

func TestWritesAreOneTransaction(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t)
	is.NoErr(fixture.writeRows(putRow("a", 0, "1"), putRow("b", 0, "1")))
	is.Equal(connect.CodeOf(fixture.writeRows(putRow("a", 1, "2"), putRow("b", 0, "2"))), connect.CodeAborted)
	is.Equal(fixture.readValues(t, ""), []string{"a=1", "b=1"})
	is.NoErr(fixture.writeRows(putRow("a", 1, "2"), &platpb.RowWrite{Table: "t", Key: "b", ExpectedVersion: 1, Delete: true}))
	is.Equal(fixture.readValues(t, ""), []string{"a=2"})
}

func TestWriteWithLostAnswerTakesEffect(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t)
	_, err := fixture.control.SetPlatformFaults(context.Background(), connect.NewRequest(&ctrlpb.SetPlatformFaultsRequest{LoseAnswers: 1}))
	is.NoErr(err)
	is.Equal(connect.CodeOf(fixture.writeRows(putRow("a", 0, "1"))), connect.CodeUnavailable)
	is.Equal(fixture.readValues(t, "a"), []string{"a=1"})
	is.NoErr(fixture.writeRows(putRow("b", 0, "1")))
}

func TestWriteDuringOutageHasNoEffect(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t)
	_, err := fixture.control.SetPlatformFaults(context.Background(), connect.NewRequest(&ctrlpb.SetPlatformFaultsRequest{Outage: true}))
	is.NoErr(err)
	is.Equal(connect.CodeOf(fixture.writeRows(putRow("a", 0, "1"))), connect.CodeUnavailable)
	_, err = fixture.control.SetPlatformFaults(context.Background(), connect.NewRequest(&ctrlpb.SetPlatformFaultsRequest{}))
	is.NoErr(err)
	is.Equal(len(fixture.readValues(t, "")), 0)
}

func TestHostListLags(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t)
	leaving := func(lag time.Duration) bool {
		_, err := fixture.control.SetPlatformFaults(context.Background(),
			connect.NewRequest(&ctrlpb.SetPlatformFaultsRequest{HostListLag: durationpb.New(lag)}))
		is.NoErr(err)
		response, err := fixture.platform.ListHosts(context.Background(), connect.NewRequest(&platpb.ListHostsRequest{}))
		is.NoErr(err)
		is.Equal(len(response.Msg.GetHosts()), 9)
		return response.Msg.GetHosts()[0].GetLeaving()
	}
	_, err := fixture.control.MarkHost(context.Background(), connect.NewRequest(&ctrlpb.MarkHostRequest{InstanceId: "katalog-1-a", Leaving: true}))
	is.NoErr(err)
	is.Equal(leaving(time.Hour), false)
	is.Equal(leaving(0), true)
}
