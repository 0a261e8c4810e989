package mesh

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/meshpb"
)

// Borrow implements port.Mesh.
func (mesh *Mesh) Borrow(action event.Borrow) { go mesh.borrow(action) }

func (mesh *Mesh) borrow(action event.Borrow) {
	ctx, cancel := context.WithTimeout(context.Background(), action.Timeout())
	defer cancel()
	address := action.Lender().Address()
	used := mesh.shortClient(address)
	request := &meshpb.BorrowRequest{Caller: &meshpb.Caller{
		Proxy:      encodeProxy(action.From()),
		ReceiverId: string(action.Lender().ID()),
		System:     mesh.spec.System,
	}}
	for _, demand := range action.Demands() {
		request.Demands = append(request.Demands, &meshpb.TokenDemand{Team: string(demand.Team()), Tokens: uint32(demand.Tokens())})
	}
	response, err := used.client.Borrow(ctx, connect.NewRequest(request))
	if err != nil {
		mesh.dropClient(address, used.http)
		mesh.spec.Inbox.Post(event.NewBorrowFailed(action.ID(), err.Error()))
		return
	}
	var loans []model.Loan
	for _, loan := range response.Msg.GetLoans() {
		loans = append(loans, model.NewLoan(model.TeamName(loan.GetTeam()), int(loan.GetTokens()), fromMilliseconds(loan.GetLifetimeMs()), fromMilliseconds(loan.GetRetryAfterMs())))
	}
	var marks []model.GroupMark
	for _, shared := range response.Msg.GetMarks() {
		marks = append(marks, decodeGroupMark(shared))
	}
	mesh.spec.Inbox.Post(event.NewBorrowAnswered(action.ID(), loans).WithMarks(marks))
}

// Borrow implements meshpb.MeshServiceHandler.
func (server callServer) Borrow(ctx context.Context, request *connect.Request[meshpb.BorrowRequest]) (*connect.Response[meshpb.BorrowResponse], error) {
	mesh := server.Mesh
	if err := mesh.checkCaller(request.Msg.GetCaller()); err != nil {
		return nil, err
	}
	var demands []model.TokenDemand
	for _, demand := range request.Msg.GetDemands() {
		demands = append(demands, model.NewTokenDemand(model.TeamName(demand.GetTeam()), int(demand.GetTokens())))
	}
	response, err := mesh.await(ctx, func(id uint64) {
		mesh.spec.Inbox.Post(event.NewBorrowReceived(model.BorrowID(id), model.ProxyID(request.Msg.GetCaller().GetReceiverId()), demands))
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.(*meshpb.BorrowResponse)), nil
}

// AnswerBorrow implements port.Mesh.
func (mesh *Mesh) AnswerBorrow(action event.AnswerBorrow) {
	response := &meshpb.BorrowResponse{}
	for _, loan := range action.Loans() {
		response.Loans = append(response.Loans, &meshpb.Loan{
			Team:         string(loan.Team()),
			Tokens:       uint32(loan.Tokens()),
			LifetimeMs:   milliseconds(loan.Lifetime()),
			RetryAfterMs: milliseconds(loan.RetryAfter()),
		})
	}
	for _, shared := range action.Marks() {
		response.Marks = append(response.Marks, encodeGroupMark(shared))
	}
	mesh.finish(uint64(action.ID()), answer{response: response})
}

func encodeGroupMark(shared model.GroupMark) *meshpb.GroupMark {
	return &meshpb.GroupMark{
		Group:    string(shared.Group()),
		Term:     uint64(shared.Mark().Term()),
		Position: uint64(shared.Mark().Position()),
		AgeUs:    uint32(shared.Age()/time.Microsecond) + 1, // rounded up
	}
}

func decodeGroupMark(encoded *meshpb.GroupMark) model.GroupMark {
	mark := model.NewMark(model.Term(encoded.GetTerm()), model.Position(encoded.GetPosition()))
	return model.NewGroupMark(model.GroupID(encoded.GetGroup()), mark, time.Duration(encoded.GetAgeUs())*time.Microsecond)
}

// RefuseBorrow implements port.Mesh.
func (mesh *Mesh) RefuseBorrow(action event.RefuseBorrow) {
	mesh.finish(uint64(action.ID()), answer{code: action.Code()})
}
