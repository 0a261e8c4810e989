package mesh

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

func newSettle(address string) event.Settle {
	from := model.NewProxyView("caller", "10.0.0.1:1", "trnje-hall", 0, false, 0)
	to := model.NewProxyView("receiver", address, "trnje-hall", 0, false, 0)
	return event.NewSettle(3, from, to, asked, 5*time.Second)
}

// asked are the groups of a question, with an instance that has acknowledged a commit.
var asked = []model.GroupTerm{model.NewGroupTerm("katalog-1", 4, "i-1"), model.NewGroupTerm("katalog-2", 0)}

func TestSettleAndAnswer(t *testing.T) {
	terms := []model.GroupTerm{model.NewGroupTerm("katalog-1", 4, "i-1", "i-2").WithNeedsLog(true)}
	tests := []struct {
		name       string
		settlement model.Settlement
	}{
		{"holder", model.NewSettlement("receiver", []model.GroupID{"katalog-2"}, terms)},
		{"referral", model.NewReferral("other")},
		{"the holder is not known", model.NewReferral("")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			caller, callerInbox := startMesh(t, "10.0.0.9:80")
			receiver, receiverInbox := startMesh(t, "10.0.0.9:80")
			caller.Settle(newSettle(receiver.spec.Address))
			received := receiverInbox.next(t).(event.SettleReceived)
			is.Equal(received.To(), model.ProxyID("receiver"))
			is.Equal(received.Groups(), asked)
			receiver.AnswerSettle(event.NewAnswerSettle(received.ID(), test.settlement))
			answered := callerInbox.next(t).(event.SettleAnswered)
			is.Equal(answered.ID(), model.SettleID(3))
			is.Equal(answered.Settlement(), test.settlement)
		})
	}
}

func TestSettleFails(t *testing.T) {
	tests := []struct {
		name   string
		system string
		refuse bool
	}{
		{name: "another system", system: "10.0.0.8:80"},
		{name: "refused by the kernel", system: "10.0.0.9:80", refuse: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			caller, callerInbox := startMesh(t, "10.0.0.9:80")
			receiver, receiverInbox := startMesh(t, test.system)
			caller.Settle(newSettle(receiver.spec.Address))
			if test.refuse {
				received := receiverInbox.next(t).(event.SettleReceived)
				receiver.RefuseSettle(event.NewRefuseSettle(received.ID(), codes.WrongProxy))
			}
			failed := callerInbox.next(t).(event.SettleFailed)
			is.Equal(failed.ID(), model.SettleID(3))
			is.True(!failed.Unsupported())
			is.True(failed.Reason() != "")
		})
	}
}

// A proxy of a version without the call is told from one that fails.
func TestSettleIsUnsupported(t *testing.T) {
	is := is.New(t)
	caller, callerInbox := startMesh(t, "10.0.0.9:80")
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: http.NewServeMux(), Protocols: protocols, ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go server.Serve(listener)            //nolint:errcheck // ends with the test
	t.Cleanup(func() { server.Close() }) //nolint:errcheck // ends the test
	caller.Settle(newSettle(listener.Addr().String()))
	failed := callerInbox.next(t).(event.SettleFailed)
	is.True(failed.Unsupported())
}

// A call that names no proxy reaches no kernel.
func TestMalformedSettle(t *testing.T) {
	is := is.New(t)
	receiver, inbox := startMesh(t, "10.0.0.9:80")
	client := meshpb.NewMeshServiceClient(http.DefaultClient, "http://"+receiver.spec.Address)
	_, err := client.Settle(context.Background(), connect.NewRequest(&meshpb.SettleRequest{Groups: []*meshpb.GroupTerm{{}}}))
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	is.Equal(len(inbox), 0)
}
