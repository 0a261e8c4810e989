package mesh

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
)

// answer is the kernel's answer to a call of another proxy: a response or, if it is nil, a
// refusal.
type answer struct {
	response any
	code     codes.Code
}

// await registers a call of another proxy, passes it to post with its number, and returns the
// kernel's response.
func (mesh *Mesh) await(ctx context.Context, post func(id uint64)) (any, error) {
	answers := make(chan answer, 1)
	id, ok := mesh.addCall(answers)
	if !ok {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many calls of other proxies wait"))
	}
	defer mesh.removeCall(id)
	post(id)
	select {
	case answer := <-answers:
		if answer.response == nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New(answer.code.String()))
		}
		return answer.response, nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, errors.Wrap(ctx.Err(), "wait for the answer to a call"))
	}
}

func (mesh *Mesh) addCall(answers chan<- answer) (uint64, bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if len(mesh.calls) >= maxCallsInFlight {
		return 0, false
	}
	mesh.lastID++
	mesh.calls[mesh.lastID] = answers
	return mesh.lastID, true
}

func (mesh *Mesh) removeCall(id uint64) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	delete(mesh.calls, id)
}

// finish passes the kernel's answer on to the call, unless its sender has given it up.
func (mesh *Mesh) finish(id uint64, answer answer) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if answers, ok := mesh.calls[id]; ok {
		delete(mesh.calls, id)
		answers <- answer
	}
}
