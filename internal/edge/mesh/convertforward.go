package mesh

import (
	"math"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

// forwardSteps are the steps that can be forwarded.
var forwardSteps = []struct {
	step    model.Step
	encoded meshpb.ForwardStep
}{
	{model.StepSingle, meshpb.ForwardStep_FORWARD_STEP_SINGLE},
	{model.StepFirst, meshpb.ForwardStep_FORWARD_STEP_FIRST},
	{model.StepNext, meshpb.ForwardStep_FORWARD_STEP_NEXT},
	{model.StepCommit, meshpb.ForwardStep_FORWARD_STEP_COMMIT},
}

// failureClasses are the classes of failures in messages. A class that is not listed is sent as
// that of a lost answer, which promises least.
var failureClasses = []struct {
	class   model.FailureClass
	encoded meshpb.FailureClass
}{
	{model.FailureNotSent, meshpb.FailureClass_FAILURE_CLASS_NOT_SENT},
	{model.FailureStatement, meshpb.FailureClass_FAILURE_CLASS_STATEMENT},
	{model.FailureFenced, meshpb.FailureClass_FAILURE_CLASS_FENCED},
	{model.FailureLagging, meshpb.FailureClass_FAILURE_CLASS_LAGGING},
	{model.FailureBusy, meshpb.FailureClass_FAILURE_CLASS_BUSY},
	{model.FailureLeaving, meshpb.FailureClass_FAILURE_CLASS_LEAVING},
	{model.FailureLost, meshpb.FailureClass_FAILURE_CLASS_LOST},
	{model.FailureForwardNotRun, meshpb.FailureClass_FAILURE_CLASS_TRANSACTION_GONE},
}

func encodeFailure(class model.FailureClass) meshpb.FailureClass {
	for _, known := range failureClasses {
		if known.class == class {
			return known.encoded
		}
	}
	return meshpb.FailureClass_FAILURE_CLASS_LOST
}

func decodeFailure(encoded meshpb.FailureClass) model.FailureClass {
	for _, known := range failureClasses {
		if known.encoded == encoded {
			return known.class
		}
	}
	return model.FailureForwardLost
}

func (mesh *Mesh) encodeCaller(from model.ProxyView, process uint64, receiver model.ProxyID) *meshpb.Caller {
	return &meshpb.Caller{
		Proxy:      &meshpb.Proxy{Id: string(from.ID()), Address: from.Address()},
		Process:    process,
		ReceiverId: string(receiver),
		System:     mesh.spec.System,
	}
}

// encodeForward encodes a statement that is passed on. It returns an error if the statement
// cannot be encoded.
func (mesh *Mesh) encodeForward(body *model.Forward) (*meshpb.ForwardRequest, error) {
	if !utf8.ValidString(body.RequestID()) {
		return nil, errors.Errorf("request id %q is not valid UTF-8", body.RequestID())
	}
	request := &meshpb.ForwardRequest{
		Caller:         mesh.encodeCaller(body.From(), body.Process(), body.To()),
		Number:         body.Number(),
		Instance:       string(body.Instance()),
		Deployment:     body.Deployment(),
		Kind:           body.Kind(),
		RequestId:      body.RequestID(),
		ConfirmPrimary: body.Confirm(),
		Write:          body.Write(),
		After:          encodeMark(body.After()),
		WaitedMs:       milliseconds(body.Waited()),
		RemainingMs:    milliseconds(body.Remaining()),
		Transaction:    encodeTx(body.Tx()),
	}
	for _, known := range forwardSteps {
		if known.step == body.Step() {
			request.Step = known.encoded
		}
	}
	request.Team = string(body.Team())
	if key := body.Key(); key != (model.KeyDigest{}) {
		request.KeyDigest = key[:]
	}
	if body.Statement() == nil {
		return request, nil
	}
	encoded, err := mesh.spec.Payloads.EncodeStatement(body.Statement())
	request.Statement = encoded
	return request, errors.Wrapf(err, "encode statement for proxy %s", body.To())
}

// decodeForward decodes a statement that another proxy has passed on. It returns an error if the
// message cannot be understood.
func (mesh *Mesh) decodeForward(request *meshpb.ForwardRequest) (*model.Forward, error) {
	spec := model.ForwardSpec{
		From:       decodeProxy(request.GetCaller().GetProxy()),
		Process:    request.GetCaller().GetProcess(),
		To:         model.ProxyID(request.GetCaller().GetReceiverId()),
		Number:     request.GetNumber(),
		Instance:   model.InstanceID(request.GetInstance()),
		Deployment: request.GetDeployment(),
		Kind:       request.GetKind(),
		RequestID:  request.GetRequestId(),
		Confirm:    request.GetConfirmPrimary(),
		Write:      request.GetWrite(),
		After:      decodeMark(request.GetAfter()),
		Waited:     fromMilliseconds(request.GetWaitedMs()),
		Remaining:  fromMilliseconds(request.GetRemainingMs()),
		Tx:         decodeTx(request.GetTransaction()),
	}
	known := false
	for _, listed := range forwardSteps {
		if listed.encoded == request.GetStep() {
			spec.Step, known = listed.step, true
		}
	}
	inTx := spec.Step == model.StepNext || spec.Step == model.StepCommit
	switch {
	case !known:
		return nil, errors.Errorf("forwarded statement %d: unknown step %d", spec.Number, request.GetStep())
	case inTx != (spec.Tx != model.ForwardTx{}):
		return nil, errors.Errorf("forwarded statement %d: step %s does not fit to its transaction", spec.Number, request.GetStep())
	case len(request.GetKeyDigest()) != 0 && len(request.GetKeyDigest()) != len(spec.Key):
		return nil, errors.Errorf("forwarded statement %d: key digest of %d bytes", spec.Number, len(request.GetKeyDigest()))
	case spec.Number == 0 || spec.Instance == "" || spec.Remaining == 0 || len(request.GetStatement()) == 0:
		return nil, errors.Errorf("forwarded statement %d: number, instance, time or statement is missing", spec.Number)
	}
	copy(spec.Key[:], request.GetKeyDigest())
	spec.Team = model.TeamName(request.GetTeam())
	if spec.Step == model.StepCommit {
		spec.Op = model.OpCommit
	}
	statement, err := mesh.spec.Payloads.DecodeStatement(request.GetStatement())
	if err != nil {
		return nil, errors.Wrapf(err, "forwarded statement %d", spec.Number)
	}
	spec.Statement = statement
	return model.NewForward(spec), nil
}

func (mesh *Mesh) encodeForwardReply(reply *model.ForwardReply) *meshpb.ForwardResponse {
	response := &meshpb.ForwardResponse{
		Mark:        encodeMark(reply.Mark()),
		Transaction: encodeTx(reply.Tx()),
		HeldUs:      uint32(min(max(0, reply.Held()/time.Microsecond), math.MaxUint32)),
	}
	if newest := reply.Newest(); !newest.Mark().IsZero() {
		response.NewestMark = encodeGroupMark(newest)
		response.NewestMark.Group = ""
	}
	switch reply.Outcome() {
	case model.ForwardDenied:
		response.Denial = &meshpb.Denial{Code: uint32(reply.Code()), Reason: reply.Reason(), RetryAfterMs: milliseconds(reply.RetryAfter())}
	case model.ForwardFailed:
		response.Failure = encodeFailure(reply.Class())
	case model.ForwardDone:
	}
	if reply.Answer() != nil {
		response.HasAnswer = true
		response.Answer = mesh.spec.Payloads.EncodeAnswer(reply.Answer())
	}
	return response
}

// decodeForwardReply decodes the answer to a forwarded statement. A denial with a code that this
// build does not know counts as an overload, which states as little.
func (mesh *Mesh) decodeForwardReply(response *meshpb.ForwardResponse) (*model.ForwardReply, error) {
	spec := model.ForwardReplySpec{
		Mark: decodeMark(response.GetMark()),
		Tx:   decodeTx(response.GetTransaction()),
		Held: time.Duration(response.GetHeldUs()) * time.Microsecond,
	}
	if newest := response.GetNewestMark(); newest != nil {
		spec.Newest = decodeGroupMark(newest)
	}
	switch {
	case response.GetDenial() != nil:
		spec.Outcome = model.ForwardDenied
		spec.Code = codes.Code(response.GetDenial().GetCode())
		if _, ok := codes.Lookup(spec.Code); !ok || spec.Code == codes.OK {
			spec.Code = codes.Overloaded
		}
		spec.Reason = response.GetDenial().GetReason()
		spec.RetryAfter = fromMilliseconds(response.GetDenial().GetRetryAfterMs())
	case response.GetFailure() != meshpb.FailureClass_FAILURE_CLASS_UNSPECIFIED:
		spec.Outcome = model.ForwardFailed
		spec.Class = decodeFailure(response.GetFailure())
	case !response.GetHasAnswer():
		return nil, errors.New("the answer to a forwarded statement has no content")
	}
	if response.GetHasAnswer() {
		spec.Answer = mesh.spec.Payloads.DecodeAnswer(response.GetAnswer())
	}
	return model.NewForwardReply(spec), nil
}

func encodeMark(mark model.Mark) *meshpb.Mark {
	if mark.IsZero() {
		return nil
	}
	return &meshpb.Mark{Term: uint64(mark.Term()), Position: uint64(mark.Position())}
}

func decodeMark(encoded *meshpb.Mark) model.Mark {
	if encoded == nil {
		return model.Mark{}
	}
	return model.NewMark(model.Term(encoded.GetTerm()), model.Position(encoded.GetPosition()))
}

func encodeTx(tx model.ForwardTx) *meshpb.OpenTransaction {
	if tx == (model.ForwardTx{}) {
		return nil
	}
	return &meshpb.OpenTransaction{Process: tx.Process(), Number: tx.Number()}
}

func decodeTx(encoded *meshpb.OpenTransaction) model.ForwardTx {
	return model.NewForwardTx(encoded.GetProcess(), encoded.GetNumber())
}
