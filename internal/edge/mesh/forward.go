package mesh

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

const (
	// endForwardTimeout limits the call EndForward. The receiver ends idle transactions by itself.
	endForwardTimeout = 500 * time.Millisecond
	// minSilence is the time without an answer after which the connection of a call that ended
	// by its timeout is replaced. A shorter timeout says little about the connection.
	minSilence = 400 * time.Millisecond
)

// Forward implements port.Mesh.
func (mesh *Mesh) Forward(action event.Forward) { go mesh.forward(action) }

func (mesh *Mesh) forward(action event.Forward) {
	request, err := mesh.encodeForward(action.Body())
	if err != nil {
		mesh.spec.Inbox.Post(event.NewForwardFailed(action.ID(), true, err.Error()).WithRejected())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), action.Timeout())
	defer cancel()
	used := mesh.shortClient(action.Address())
	response, err := used.client.Forward(ctx, connect.NewRequest(request))
	if err != nil {
		notRun := ranNothing(err)
		if !notRun && (ctx.Err() == nil || action.Timeout() >= minSilence) {
			mesh.dropClient(action.Address(), used.http)
		}
		failed := event.NewForwardFailed(action.ID(), notRun, err.Error())
		if notRun && connect.CodeOf(err) == connect.CodeInvalidArgument {
			failed = failed.WithRejected()
		}
		mesh.spec.Inbox.Post(failed)
		return
	}
	reply, err := mesh.decodeForwardReply(response.Msg)
	if err != nil {
		mesh.spec.Log.WithError(err).WithField("address", action.Address()).Warn("answer to a forwarded statement is malformed")
		mesh.spec.Inbox.Post(event.NewForwardFailed(action.ID(), false, err.Error()))
		return
	}
	mesh.spec.Inbox.Post(event.NewForwardAnswered(action.ID(), reply))
}

// ranNothing reports whether an error shows that the receiver of a forwarded statement ran
// nothing: it could not be connected to, does not know the call, or has refused it. An error that
// this process produced, like that of an answer that is too large, does not show it.
func ranNothing(err error) bool {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented:
		return true
	case connect.CodeFailedPrecondition, connect.CodeInvalidArgument, connect.CodeResourceExhausted:
		return connect.IsWireError(err)
	default:
		return false
	}
}

// EndForward implements port.Mesh.
func (mesh *Mesh) EndForward(action event.EndForward) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endForwardTimeout)
		defer cancel()
		request := &meshpb.EndForwardRequest{
			Caller:      mesh.encodeCaller(action.From(), action.Process(), action.To().ID()),
			Number:      action.Number(),
			Transaction: encodeTx(action.Tx()),
		}
		if _, err := mesh.shortClient(action.To().Address()).client.EndForward(ctx, connect.NewRequest(request)); err != nil {
			mesh.spec.Log.WithError(err).WithField("proxy", action.To().ID()).Debug("end of a forwarded statement not delivered")
		}
	}()
}

// Forward implements meshpb.MeshServiceHandler.
func (server callServer) Forward(ctx context.Context, request *connect.Request[meshpb.ForwardRequest]) (*connect.Response[meshpb.ForwardResponse], error) {
	mesh := server.Mesh
	if err := mesh.checkCaller(request.Msg.GetCaller()); err != nil {
		return nil, err
	}
	body, err := mesh.decodeForward(request.Msg)
	if err != nil {
		mesh.spec.Log.WithError(err).WithField("proxy", request.Msg.GetCaller().GetProxy().GetId()).Warn("malformed forwarded statement refused")
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("%s: %s", codes.BadProtocol, err))
	}
	response, err := mesh.await(ctx, func(id uint64) {
		mesh.spec.Inbox.Post(event.NewForwardReceived(model.ForwardID(id), body))
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.(*meshpb.ForwardResponse)), nil
}

// EndForward implements meshpb.MeshServiceHandler.
func (server callServer) EndForward(_ context.Context, request *connect.Request[meshpb.EndForwardRequest]) (*connect.Response[meshpb.EndForwardResponse], error) {
	mesh, caller := server.Mesh, request.Msg.GetCaller()
	if err := mesh.checkCaller(caller); err != nil {
		return nil, err
	}
	mesh.spec.Inbox.Post(event.NewEndForwardReceived(model.ProxyID(caller.GetProxy().GetId()), caller.GetProcess(),
		model.ProxyID(caller.GetReceiverId()), request.Msg.GetNumber(), decodeTx(request.Msg.GetTransaction())))
	return connect.NewResponse(&meshpb.EndForwardResponse{}), nil
}

// AnswerForward implements port.Mesh.
func (mesh *Mesh) AnswerForward(action event.AnswerForward) {
	mesh.finish(uint64(action.ID()), answer{response: mesh.encodeForwardReply(action.Reply())})
}

// RefuseForward implements port.Mesh.
func (mesh *Mesh) RefuseForward(action event.RefuseForward) {
	mesh.finish(uint64(action.ID()), answer{code: action.Code()})
}
