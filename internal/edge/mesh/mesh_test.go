package mesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

const pollTimeout = 300 * time.Millisecond

// eventQueue is an inbox that a test reads.
type eventQueue chan event.Event

// Post implements port.Inbox.
func (eventQueue eventQueue) Post(received event.Event) { eventQueue <- received }

func (eventQueue eventQueue) next(t testing.TB) event.Event {
	t.Helper()
	select {
	case received := <-eventQueue:
		return received
	case <-time.After(5 * time.Second):
		t.Fatal("no event")
		return nil
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // frees the port for the test
	return listener.Addr().String()
}

// newMesh returns a Mesh that serves nothing yet.
func newMesh(t testing.TB, system string) (*Mesh, eventQueue) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	inbox := make(eventQueue, 10)
	mesh := New(Spec{Address: freeAddress(t), System: system, Inbox: inbox, Log: log})
	t.Cleanup(mesh.Shutdown)
	return mesh, inbox
}

func startMesh(t testing.TB, system string) (*Mesh, eventQueue) {
	t.Helper()
	mesh, inbox := newMesh(t, system)
	if err := mesh.Start(); err != nil {
		t.Fatal(err)
	}
	return mesh, inbox
}

func newPoll() model.Poll {
	return model.NewPoll(model.PollSpec{
		From:      model.NewProxyView("caller", "10.0.0.1:1", "trnje-hall", 0, false, 0).WithCores(0.4),
		Process:   7,
		To:        "receiver",
		Hold:      time.Second,
		HeardOnly: true,

		FreshLists: true,
		Members:    model.NewMembersVersion(8, 9),
		Lists:      []model.ListPosition{model.NewListPosition(model.ListInstances, 2, 31)},
		Loads:      newLoads(),
	})
}

func newLoads() model.LoadReport {
	return model.NewLoadReport(5, []model.InstanceLoad{model.NewInstanceLoad(model.InstanceLoadSpec{
		Instance: "i-1", DataCenter: "trnje-hall", Born: 1_700_000_000_000, Busy: 2.125, Offered: 1.5, Refused: 3, Span: time.Second, Age: 250 * time.Millisecond,
	})})
}

func TestPollAndReply(t *testing.T) {
	is := is.New(t)
	caller, callerInbox := startMesh(t, "10.0.0.9:80")
	receiver, receiverInbox := startMesh(t, "10.0.0.9:80")
	caller.Poll(event.NewSendPoll(3, receiver.spec.Address, newPoll(), 5*time.Second))
	received := receiverInbox.next(t).(event.PollReceived)
	is.Equal(received.Poll(), newPoll())
	reply := model.NewPollReply(model.PollReplySpec{
		Process: 8,
		Held:    20 * time.Millisecond,
		Version: model.NewMembersVersion(8, 10),
		Changed: true,
		Members: []model.ProxyView{model.NewProxyView("receiver", "10.0.0.2:1", "trnje-hall", 0, false, 0).WithCores(0.8)},
		Loads:   newLoads(),
		Lists: []model.ListUpdate{model.NewListUpdate(model.NewListPosition(model.ListInstances, 2, 33), true,
			[]model.ListRow{model.NewListRow("i-1", 32, []byte("entry")), model.NewDeletedListRow("i-2", 33)}, 40*time.Millisecond)},
	})
	receiver.AnswerPoll(event.NewAnswerPoll(received.ID(), reply))
	answered := callerInbox.next(t).(event.PollAnswered)
	is.Equal(answered.ID(), model.PollID(3))
	update := answered.Reply().Lists()[0]
	is.Equal(answered.Reply().Members(), reply.Members())
	is.Equal(answered.Reply().Version(), reply.Version())
	is.Equal(answered.Reply().Held(), reply.Held())
	is.Equal(answered.Reply().Loads(), reply.Loads())
	is.Equal(update.Rows(), reply.Lists()[0].Rows())
	is.Equal(update.Position(), reply.Lists()[0].Position())
	is.True(update.Age() >= 40*time.Millisecond) // never younger than it was
}

// Calls that must not be answered, and what the caller learns.
func TestPollIsRefused(t *testing.T) {
	tests := []struct {
		name     string
		system   string
		refused  bool // by the kernel of the receiver
		wantGone bool
	}{
		{name: "of another system", system: "10.0.0.8:80", wantGone: true},
		{name: "for another proxy", system: "10.0.0.9:80", refused: true, wantGone: true},
		{name: "without an answer", system: "10.0.0.9:80"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			caller, callerInbox := startMesh(t, test.system)
			receiver, receiverInbox := startMesh(t, "10.0.0.9:80")
			caller.Poll(event.NewSendPoll(3, receiver.spec.Address, newPoll(), pollTimeout))
			if test.refused {
				received := receiverInbox.next(t).(event.PollReceived)
				receiver.RefusePoll(event.NewRefusePoll(received.ID(), codes.WrongProxy))
			}
			failed := callerInbox.next(t).(event.PollFailed)
			is.Equal(failed.Gone(), test.wantGone)
			is.True(failed.Reason() != "")
		})
	}
}

func TestPollOfAbsentProxy(t *testing.T) {
	is := is.New(t)
	caller, inbox := startMesh(t, "10.0.0.9:80")
	caller.Poll(event.NewSendPoll(3, freeAddress(t), newPoll(), pollTimeout))
	is.True(inbox.next(t).(event.PollFailed).Gone())
}

// A connection that has gone silent is not used again: the next poll connects anew.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	caller, inbox := startMesh(t, "10.0.0.9:80")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close() //nolint:errcheck // ends the test
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	for range 2 {
		caller.Poll(event.NewSendPoll(3, listener.Addr().String(), newPoll(), pollTimeout))
		is.True(!inbox.next(t).(event.PollFailed).Gone())
	}
	is.Equal(len(accepted), 2)
}

// Bytes that are no call, and calls that are too large or name no caller, get an error. Nothing
// reaches the kernel.
func TestRubbishIsRefused(t *testing.T) {
	is := is.New(t)
	receiver, inbox := startMesh(t, "10.0.0.9:80")
	url := "http://" + receiver.spec.Address + meshpb.MeshServicePollProcedure
	for _, body := range [][]byte{nil, []byte("rubbish"), bytes.Repeat([]byte{0xff}, 1000), make([]byte, maxMessageBytes+1)} {
		response, err := http.Post(url, "application/proto", bytes.NewReader(body))
		if err != nil {
			continue // the connection was closed before the whole body was sent
		}
		_ = response.Body.Close()
		is.True(response.StatusCode != http.StatusOK)
	}
	client := meshpb.NewMeshServiceClient(http.DefaultClient, "http://"+receiver.spec.Address)
	_, err := client.Poll(context.Background(), connect.NewRequest(&meshpb.PollRequest{}))
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	is.Equal(len(inbox), 0)
}

// Calls of other proxies that wait are bounded.
func TestWaitingCallsAreBounded(t *testing.T) {
	is := is.New(t)
	receiver, _ := startMesh(t, "10.0.0.9:80")
	for range maxCallsInFlight {
		_, ok := receiver.addCall(make(chan answer, 1))
		is.True(ok)
	}
	_, ok := receiver.addCall(make(chan answer, 1))
	is.True(!ok)
	receiver.removeCall(1)
	_, ok = receiver.addCall(make(chan answer, 1))
	is.True(ok)
}

// Only large answers are compressed, since a compression costs more than it saves with the small
// ones that most polls get.
func TestOnlyLargeAnswersAreCompressed(t *testing.T) {
	tests := []struct {
		name string
		rows int
		want string
	}{
		{"nothing new", 0, ""},
		{"some rows", 20, ""},
		{"a whole list", 200, "gzip"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			receiver, inbox := startMesh(t, "10.0.0.9:80")
			var rows []model.ListRow
			for range test.rows {
				rows = append(rows, model.NewListRow("i-1", 32, bytes.Repeat([]byte("entry"), 20)))
			}
			go func() {
				received := inbox.next(t).(event.PollReceived)
				update := model.NewListUpdate(model.NewListPosition(model.ListInstances, 2, 33), true, rows, 0)
				receiver.AnswerPoll(event.NewAnswerPoll(received.ID(), model.NewPollReply(model.PollReplySpec{Process: 8, Lists: []model.ListUpdate{update}})))
			}()
			client := meshpb.NewMeshServiceClient(http.DefaultClient, "http://"+receiver.spec.Address)
			response, err := client.Poll(context.Background(), connect.NewRequest(encodePoll(newPoll(), "10.0.0.9:80")))
			is.NoErr(err)
			is.Equal(len(response.Msg.GetLists()[0].GetRows()), test.rows)
			is.Equal(response.Header().Get("Content-Encoding"), test.want)
		})
	}
}

// Changes of the members arrive as they were sent, and only a caller that says so gets them: one
// of an earlier version takes an answer without members for one without changes.
func TestMemberChanges(t *testing.T) {
	is := is.New(t)
	view := model.NewProxyView("added", "10.0.0.2:1", "trnje-hall", 0, false, 0).WithCores(0.8)
	changes := model.NewMemberChanges(model.NewMembersVersion(8, 9), []model.ProxyView{view}, []model.ProxyID{"gone"})
	reply := model.NewPollReply(model.PollReplySpec{Process: 8, Version: model.NewMembersVersion(8, 10), Changed: true, Partial: true, Changes: changes})
	is.Equal(decodeReply(encodeReply(reply)).Changes(), changes)
	is.True(decodeReply(encodeReply(reply)).Changed())
	is.True(decodeReply(encodeReply(reply)).Partial())
	is.True(!decodePoll(encodePoll(newPoll(), "")).TakesChanges())
	is.True(decodePoll(encodePoll(model.NewPoll(model.PollSpec{TakesChanges: true}), "")).TakesChanges())
}

// Guards against a message that cannot be delivered since a row of another writer is odd.
func TestOddRowsTravel(t *testing.T) {
	is := is.New(t)
	mesh, inbox := startMesh(t, "system")
	caller, replies := startMesh(t, "system")
	rows := []model.ListRow{
		model.NewListRow("", 1, nil),
		model.NewListRow(strings.Repeat("k", 200), math.MaxUint64, []byte("\xff\x00\xfe")),
		model.NewListRow("deep", 3, bytes.Repeat([]byte("["), 60_000)),
		model.NewDeletedListRow("line\r\nend", 4),
	}
	for index := range 3000 {
		rows = append(rows, model.NewListRow(fmt.Sprint("odd-", index), 5, bytes.Repeat([]byte{0xff}, 4096)))
	}
	caller.Poll(event.NewSendPoll(1, mesh.spec.Address, newPoll(), 10*time.Second))
	poll := inbox.next(t).(event.PollReceived)
	update := model.NewListUpdate(model.NewListPosition(model.ListInstances, 2, math.MaxUint64), true, rows, 0)
	mesh.AnswerPoll(event.NewAnswerPoll(poll.ID(), model.NewPollReply(model.PollReplySpec{Process: 1, Lists: []model.ListUpdate{update}})))
	answered, ok := replies.next(t).(event.PollAnswered)
	is.True(ok)
	received := answered.Reply().Lists()[0].Rows()
	is.Equal(len(received), len(rows))
	for index, row := range rows {
		got := received[index]
		is.True(got.Key() == row.Key() && got.Version() == row.Version() && got.Deleted() == row.Deleted() && bytes.Equal(got.Value(), row.Value()))
	}
}
