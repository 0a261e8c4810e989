package sessn

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

// caller is the connection of a caller. lastDeployment, lastClass and lastKind are those
// of its last statement. access selects the runner of the running job, and expire is the
// callback of its deadline timer.
type caller struct {
	id             model.CallerID
	deployment     string
	class          string
	key            model.KeyDigest
	lastDeployment *model.Deployment
	lastClass      model.CallerClass
	lastKind       model.Kind
	token          model.Token
	job            *route.Job
	access         model.Access
	tokenWait      route.WaitID // of the running job for a token of its team, or 0
	deadlineTimer  timer.ID
	expire         func()
	idleTimer      timer.ID
	queue          []*model.Request
	inTx           bool
	txFailed       bool
	tx             *route.Tx
	txRequestID    string
	txReadOnly     bool
	closing        bool // the key was withdrawn and the session is being closed
}

// txState returns the transaction state for the next reply.
func (caller *caller) txState() model.TxState {
	switch {
	case !caller.inTx:
		return model.TxNone
	case caller.txFailed:
		return model.TxFailed
	default:
		return model.TxOpen
	}
}

func (caller *caller) beginTx(requestID string, readOnly bool) {
	caller.inTx = true
	caller.txFailed = false
	caller.tx = nil
	caller.txRequestID = requestID
	caller.txReadOnly = readOnly
}

func (caller *caller) endTx() {
	caller.inTx = false
	caller.txFailed = false
	caller.tx = nil
	caller.txRequestID = ""
}
