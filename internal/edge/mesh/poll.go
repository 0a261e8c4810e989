package mesh

import (
	"context"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

// Poll implements port.Mesh.
func (mesh *Mesh) Poll(action event.SendPoll) { go mesh.poll(action) }

func (mesh *Mesh) poll(action event.SendPoll) {
	ctx, cancel := context.WithTimeout(context.Background(), action.Timeout())
	defer cancel()
	used := mesh.client(action.Address())
	client := meshpb.NewMeshServiceClient(used, "http://"+action.Address(), connect.WithReadMaxBytes(maxMessageBytes))
	response, err := client.Poll(ctx, connect.NewRequest(encodePoll(action.Poll(), mesh.spec.System)))
	if err != nil {
		mesh.dropClient(action.Address(), used)
		mesh.spec.Inbox.Post(event.NewPollFailed(action.ID(), isGone(err), err.Error()))
		return
	}
	mesh.spec.Inbox.Post(event.NewPollAnswered(action.ID(), decodeReply(response.Msg)))
}

// isGone reports whether an error shows that the proxy that was called does not run at the
// address.
func isGone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || connect.CodeOf(err) == connect.CodeFailedPrecondition
}

// callServer serves MeshService.
type callServer struct{ *Mesh }

// Poll implements meshpb.MeshServiceHandler.
func (server callServer) Poll(ctx context.Context, request *connect.Request[meshpb.PollRequest]) (*connect.Response[meshpb.PollResponse], error) {
	mesh := server.Mesh
	if err := mesh.checkCaller(request.Msg.GetCaller()); err != nil {
		return nil, err
	}
	response, err := mesh.await(ctx, func(id uint64) {
		mesh.spec.Inbox.Post(event.NewPollReceived(model.PollID(id), decodePoll(request.Msg)))
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.(*meshpb.PollResponse)), nil
}

// checkCaller returns an error if a call does not come from a proxy of this system.
func (mesh *Mesh) checkCaller(caller *meshpb.Caller) error {
	switch {
	case caller.GetProxy().GetId() == "" || caller.GetProxy().GetAddress() == "":
		return mesh.refuse("the call names no proxy")
	case caller.GetSystem() != mesh.spec.System:
		return mesh.refuse("the call is of the system " + caller.GetSystem() + ", not of " + mesh.spec.System)
	}
	return nil
}

func (mesh *Mesh) refuse(reason string) error {
	mesh.spec.Log.WithField("reason", reason).Warn("call of a proxy refused")
	return connect.NewError(connect.CodeFailedPrecondition, errors.Errorf("%s: %s", codes.WrongProxy, reason))
}

// AnswerPoll implements port.Mesh.
func (mesh *Mesh) AnswerPoll(action event.AnswerPoll) {
	mesh.finish(uint64(action.ID()), answer{response: encodeReply(action.Reply())})
}

// RefusePoll implements port.Mesh.
func (mesh *Mesh) RefusePoll(action event.RefusePoll) {
	mesh.finish(uint64(action.ID()), answer{code: action.Code()})
}

func milliseconds(duration time.Duration) uint32 {
	return uint32(max(0, duration/time.Millisecond))
}

func fromMilliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }
