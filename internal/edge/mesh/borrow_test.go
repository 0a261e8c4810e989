package mesh

import (
	"context"
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

func newBorrow(lender string, address string) event.Borrow {
	from := model.NewProxyView("caller", "10.0.0.1:1", "trnje-hall", 0, false, 0)
	to := model.NewProxyView(model.ProxyID(lender), address, "trnje-hall", 0, false, 0)
	return event.NewBorrow(3, from, to, []model.TokenDemand{model.NewTokenDemand("faculty", 5)}, 5*time.Second)
}

func TestBorrowAndAnswer(t *testing.T) {
	is := is.New(t)
	caller, callerInbox := startMesh(t, "10.0.0.9:80")
	receiver, receiverInbox := startMesh(t, "10.0.0.9:80")
	caller.Borrow(newBorrow("receiver", receiver.spec.Address))
	received := receiverInbox.next(t).(event.BorrowReceived)
	is.Equal(received.To(), model.ProxyID("receiver"))
	is.Equal(received.Demands(), []model.TokenDemand{model.NewTokenDemand("faculty", 5)})
	loans := []model.Loan{model.NewLoan("faculty", 4, 500*time.Millisecond, 100*time.Millisecond)}
	marks := []model.GroupMark{model.NewGroupMark("katalog-1", model.NewMark(3, 17), 1500*time.Microsecond)}
	receiver.AnswerBorrow(event.NewAnswerBorrow(received.ID(), loans).WithMarks(marks))
	answered := callerInbox.next(t).(event.BorrowAnswered)
	is.Equal(answered.ID(), model.BorrowID(3))
	is.Equal(answered.Loans(), loans)
	is.Equal(answered.Marks()[0].Mark(), model.NewMark(3, 17))
	is.True(answered.Marks()[0].Age() >= 1500*time.Microsecond) // never younger than it was
}

func TestBorrowFails(t *testing.T) {
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
			caller.Borrow(newBorrow("receiver", receiver.spec.Address))
			if test.refuse {
				received := receiverInbox.next(t).(event.BorrowReceived)
				receiver.RefuseBorrow(event.NewRefuseBorrow(received.ID(), codes.WrongProxy))
			}
			failed := callerInbox.next(t).(event.BorrowFailed)
			is.Equal(failed.ID(), model.BorrowID(3))
			is.True(failed.Reason() != "")
		})
	}
}

// A call that names no proxy reaches no kernel, and the server goes on.
func TestMalformedBorrow(t *testing.T) {
	is := is.New(t)
	receiver, inbox := startMesh(t, "10.0.0.9:80")
	client := meshpb.NewMeshServiceClient(http.DefaultClient, "http://"+receiver.spec.Address)
	_, err := client.Borrow(context.Background(), connect.NewRequest(&meshpb.BorrowRequest{Demands: []*meshpb.TokenDemand{nil}}))
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	is.Equal(len(inbox), 0)
}
