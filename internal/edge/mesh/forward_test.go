package mesh

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

// text is a statement or an answer.
type text string

// Size implements model.Payload.
func (text text) Size() int { return len(text) }

// textPayloads implements port.Payloads.
type textPayloads struct{}

// EncodeStatement implements port.Payloads.
func (textPayloads) EncodeStatement(statement model.Payload) ([]byte, error) {
	return []byte(statement.(text)), nil
}

// DecodeStatement implements port.Payloads.
func (textPayloads) DecodeStatement(encoded []byte) (model.Payload, error) {
	if bytes.Contains(encoded, []byte("rubbish")) {
		return nil, errors.New("no statement")
	}
	return text(encoded), nil
}

// EncodeAnswer implements port.Payloads.
func (textPayloads) EncodeAnswer(answer model.Payload) []byte { return []byte(answer.(text)) }

// DecodeAnswer implements port.Payloads.
func (textPayloads) DecodeAnswer(encoded []byte) model.Payload { return text(encoded) }

func startForwardMesh(t testing.TB) (*Mesh, eventQueue) {
	mesh, inbox := startMesh(t, "10.0.0.9:80")
	mesh.spec.Payloads = textPayloads{}
	return mesh, inbox
}

func forwardSpec() model.ForwardSpec {
	return model.ForwardSpec{
		From:       model.NewProxyView("caller", "10.0.0.1:1", "", 0, false, 0),
		Process:    7,
		To:         "receiver",
		Number:     3,
		Instance:   "i-1",
		Deployment: "orders",
		Kind:       "renew",
		RequestID:  "r-17",
		Key:        model.DigestKey("secret"),
		Statement:  text("READ a"),
		Step:       model.StepSingle,
		Confirm:    true,
		Write:      true,
		After:      model.NewMark(2, 31),
		Waited:     20 * time.Millisecond,
		Remaining:  800 * time.Millisecond,
	}
}

func commitSpec() model.ForwardSpec {
	spec := forwardSpec()
	spec.Step, spec.Op, spec.Kind, spec.Tx = model.StepCommit, model.OpCommit, "", model.NewForwardTx(9, 4)
	return spec
}

// Every field of a forwarded statement and of its answer arrives as it was sent.
func TestForwardAndReply(t *testing.T) {
	replies := []model.ForwardReplySpec{
		{Outcome: model.ForwardDone, Mark: model.NewMark(2, 32), Answer: text("row"), Tx: model.NewForwardTx(9, 5), Held: 8 * time.Millisecond},
		{Outcome: model.ForwardDone, Answer: text(""), Newest: model.NewGroupMark("", model.NewMark(2, 30), 40500*time.Microsecond)},
		{Outcome: model.ForwardFailed, Class: model.FailureNotSent},
		{Outcome: model.ForwardFailed, Class: model.FailureStatement, Answer: text("error"), Mark: model.NewMark(1, 1)},
		{Outcome: model.ForwardFailed, Class: model.FailureLost, Held: time.Millisecond},
		{Outcome: model.ForwardFailed, Class: model.FailureForwardNotRun},
		{Outcome: model.ForwardDenied, Code: codes.Overloaded, Reason: "full", RetryAfter: 70 * time.Millisecond},
	}
	is := is.New(t)
	caller, callerInbox := startForwardMesh(t)
	receiver, receiverInbox := startForwardMesh(t)
	for index, reply := range replies {
		spec := forwardSpec()
		if index%2 == 1 {
			spec = commitSpec()
		}
		caller.Forward(event.NewForward(3, receiver.spec.Address, model.NewForward(spec), 5*time.Second))
		received := receiverInbox.next(t).(event.ForwardReceived)
		is.Equal(received.Body(), model.NewForward(spec))
		receiver.AnswerForward(event.NewAnswerForward(received.ID(), model.NewForwardReply(reply)))
		answered := callerInbox.next(t).(event.ForwardAnswered)
		is.Equal(answered.ID(), model.ForwardID(3))
		is.True(answered.Reply().Newest().Age() >= reply.Newest.Age()) // never younger than it was
		reply.Newest = answered.Reply().Newest()
		is.Equal(answered.Reply(), model.NewForwardReply(reply))
	}
}

func TestEndForward(t *testing.T) {
	is := is.New(t)
	caller, _ := startForwardMesh(t)
	receiver, receiverInbox := startForwardMesh(t)
	from := model.NewProxyView("caller", "10.0.0.1:1", "", 0, false, 0)
	to := model.NewProxyView("receiver", receiver.spec.Address, "", 0, false, 0)
	caller.EndForward(event.NewEndForward(from, 7, to, 3, model.NewForwardTx(9, 4)))
	is.Equal(receiverInbox.next(t), event.NewEndForwardReceived("caller", 7, "receiver", 3, model.NewForwardTx(9, 4)))
}

// A call that fails counts as not run only where that is certain. Otherwise a write would be run
// twice.
func TestForwardFails(t *testing.T) {
	oldBuild := http.NewServeMux()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: oldBuild, Protocols: protocols, ReadHeaderTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)            //nolint:errcheck // ends with the test
	t.Cleanup(func() { server.Close() }) //nolint:errcheck // ends the test
	tests := []struct {
		name       string
		address    func(receiver *Mesh) string
		system     string
		act        func(receiver *Mesh, received event.ForwardReceived)
		wantNotRun bool
	}{
		{name: "nobody listens", address: func(*Mesh) string { return freeAddress(t) }, wantNotRun: true},
		{name: "an old build", address: func(*Mesh) string { return listener.Addr().String() }, wantNotRun: true},
		{name: "of another system", system: "10.0.0.8:80", wantNotRun: true},
		{name: "refused by the kernel", act: func(receiver *Mesh, received event.ForwardReceived) {
			receiver.RefuseForward(event.NewRefuseForward(received.ID(), codes.WrongProxy))
		}, wantNotRun: true},
		{name: "no answer", act: func(*Mesh, event.ForwardReceived) {}},
		{name: "the receiver ends", act: func(receiver *Mesh, _ event.ForwardReceived) { receiver.Shutdown() }},
		{name: "the answer is too large", act: func(receiver *Mesh, received event.ForwardReceived) {
			reply := model.NewForwardReply(model.ForwardReplySpec{Answer: text(make([]byte, maxMessageBytes+1))})
			receiver.AnswerForward(event.NewAnswerForward(received.ID(), reply))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			caller, callerInbox := startForwardMesh(t)
			receiver, receiverInbox := startForwardMesh(t)
			if test.system != "" {
				receiver.spec.System = test.system
			}
			address := receiver.spec.Address
			if test.address != nil {
				address = test.address(receiver)
			}
			caller.Forward(event.NewForward(3, address, model.NewForward(forwardSpec()), pollTimeout))
			if test.act != nil {
				test.act(receiver, receiverInbox.next(t).(event.ForwardReceived))
			}
			failed := callerInbox.next(t).(event.ForwardFailed)
			is.Equal(failed.ID(), model.ForwardID(3))
			is.Equal(failed.NotRun(), test.wantNotRun)
			is.True(failed.Reason() != "")
		})
	}
}

// A message that is malformed, too large or of a later version gets an error that states that
// nothing ran. Nothing reaches the kernel.
func TestMalformedForward(t *testing.T) {
	receiver, inbox := startForwardMesh(t)
	valid, err := receiver.encodeForward(model.NewForward(forwardSpec()))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		change func(request *meshpb.ForwardRequest)
	}{
		{"no caller", func(request *meshpb.ForwardRequest) { request.Caller = nil }},
		{"no number", func(request *meshpb.ForwardRequest) { request.Number = 0 }},
		{"no instance", func(request *meshpb.ForwardRequest) { request.Instance = "" }},
		{"no time", func(request *meshpb.ForwardRequest) { request.RemainingMs = 0 }},
		{"no statement", func(request *meshpb.ForwardRequest) { request.Statement = nil }},
		{"bad statement", func(request *meshpb.ForwardRequest) { request.Statement = []byte("rubbish") }},
		{"short key digest", func(request *meshpb.ForwardRequest) { request.KeyDigest = []byte("short") }},
		{"unknown step", func(request *meshpb.ForwardRequest) { request.Step = 99 }},
		{"commit without a transaction", func(request *meshpb.ForwardRequest) { request.Step = meshpb.ForwardStep_FORWARD_STEP_COMMIT }},
		{"first statement in a transaction", func(request *meshpb.ForwardRequest) {
			request.Transaction = &meshpb.OpenTransaction{Process: 1, Number: 1}
		}},
		{"too large", func(request *meshpb.ForwardRequest) { request.Statement = make([]byte, maxMessageBytes+1) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request := &meshpb.ForwardRequest{
				Caller: valid.Caller, Number: valid.Number, Instance: valid.Instance, Deployment: valid.Deployment, Kind: valid.Kind,
				KeyDigest: valid.KeyDigest, Statement: valid.Statement, Step: valid.Step, RemainingMs: valid.RemainingMs,
			}
			test.change(request)
			_, err := receiver.shortClient(receiver.spec.Address).client.Forward(context.Background(), connect.NewRequest(request))
			is.True(err != nil)
			is.True(ranNothing(err))
			is.Equal(len(inbox), 0)
		})
	}
}

// BenchmarkForward measures a forwarded statement from the call to its answer, with both ends in
// this process.
func BenchmarkForward(b *testing.B) {
	receiver, inbox := startForwardMesh(b)
	caller, callerInbox := startForwardMesh(b)
	reply := model.NewForwardReply(model.ForwardReplySpec{Mark: model.NewMark(2, 32), Answer: text("a row of a table, with some columns")})
	body := model.NewForward(forwardSpec())
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		caller.Forward(event.NewForward(3, receiver.spec.Address, body, time.Second))
		received := inbox.next(b).(event.ForwardReceived)
		receiver.AnswerForward(event.NewAnswerForward(received.ID(), reply))
		if _, ok := callerInbox.next(b).(event.ForwardAnswered); !ok {
			b.Fatal("no answer")
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
