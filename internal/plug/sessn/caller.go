package sessn

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

// caller is one caller's connection. expire ends its running request. inForce and inClass are those under which
// its last statement ran.
type caller struct {
	id         model.CallerID
	deployment string
	class      string
	inForce    *model.Deployment
	inClass    model.CallerClass
	inKind     model.Kind
	token      model.Token
	job        *route.Job
	access     model.Access
	timer      timer.ID
	expire     func()
	resting    timer.ID
	queue      []*model.Request
	inTx       bool
	failed     bool
	tx         *route.Tx
	txID       string
	readOnly   bool
}

// txState returns the state of the caller's transaction.
func (caller *caller) txState() model.TxState {
	switch {
	case !caller.inTx:
		return model.TxNone
	case caller.failed:
		return model.TxFailed
	default:
		return model.TxOpen
	}
}

func (caller *caller) begin(requestID string, readOnly bool) {
	caller.inTx = true
	caller.failed = false
	caller.tx = nil
	caller.txID = requestID
	caller.readOnly = readOnly
}

func (caller *caller) end() {
	caller.inTx = false
	caller.failed = false
	caller.tx = nil
	caller.txID = ""
}
