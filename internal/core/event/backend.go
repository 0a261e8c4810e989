package event

import (
	"almondway.dev/almondway/internal/core/model"
)

// ConnOpened reports that a backend connection is ready. It answers OpenConn.
type ConnOpened struct {
	conn model.ConnID
}

// NewConnOpened returns a ConnOpened.
func NewConnOpened(conn model.ConnID) ConnOpened {
	return ConnOpened{conn: conn}
}

// Conn returns the identifier of the connection.
func (connOpened ConnOpened) Conn() model.ConnID { return connOpened.conn }

func (ConnOpened) isEvent() {}

// ConnFailed reports that a backend connection could not be opened. It answers OpenConn.
type ConnFailed struct {
	conn   model.ConnID
	reason model.ConnFailure
}

// NewConnFailed returns a ConnFailed.
func NewConnFailed(conn model.ConnID, reason model.ConnFailure) ConnFailed {
	return ConnFailed{conn: conn, reason: reason}
}

// Conn returns the identifier of the connection.
func (connFailed ConnFailed) Conn() model.ConnID { return connFailed.conn }

// Reason returns why the connection could not be opened.
func (connFailed ConnFailed) Reason() model.ConnFailure { return connFailed.reason }

func (ConnFailed) isEvent() {}

// ConnClosed reports that a backend connection was lost rather than closed by CloseConn.
type ConnClosed struct {
	conn model.ConnID
}

// NewConnClosed returns a ConnClosed.
func NewConnClosed(conn model.ConnID) ConnClosed {
	return ConnClosed{conn: conn}
}

// Conn returns the identifier of the connection.
func (connClosed ConnClosed) Conn() model.ConnID { return connClosed.conn }

func (ConnClosed) isEvent() {}

// ExecuteDone reports the complete answer to an execution. It answers Execute.
type ExecuteDone struct {
	exec   model.ExecID
	conn   model.ConnID
	mark   model.Mark
	answer model.Payload
}

// NewExecuteDone returns an ExecuteDone. answer is nil for a step without an answer.
func NewExecuteDone(exec model.ExecID, conn model.ConnID, mark model.Mark, answer model.Payload) ExecuteDone {
	return ExecuteDone{exec: exec, conn: conn, mark: mark, answer: answer}
}

// Exec returns the identifier of the execution.
func (executeDone ExecuteDone) Exec() model.ExecID { return executeDone.exec }

// Conn returns the identifier of the connection, which needs no reset.
func (executeDone ExecuteDone) Conn() model.ConnID { return executeDone.conn }

// Mark returns the end of the instance's log when the statement ran or committed.
func (executeDone ExecuteDone) Mark() model.Mark { return executeDone.mark }

// Answer returns the answer of the database, or nil for a step without an answer.
func (executeDone ExecuteDone) Answer() model.Payload { return executeDone.answer }

func (ExecuteDone) isEvent() {}

// ExecuteFailed reports that an execution gave no result. It answers Execute.
type ExecuteFailed struct {
	exec   model.ExecID
	conn   model.ConnID
	class  model.FailureClass
	usable bool
	mark   model.Mark
	answer model.Payload
}

// NewExecuteFailed returns an ExecuteFailed. answer is nil if there is no error of the
// database for the caller.
func NewExecuteFailed(exec model.ExecID, conn model.ConnID, class model.FailureClass, usable bool, mark model.Mark, answer model.Payload) ExecuteFailed {
	return ExecuteFailed{
		exec:   exec,
		conn:   conn,
		class:  class,
		usable: usable,
		mark:   mark,
		answer: answer,
	}
}

// Exec returns the identifier of the execution.
func (executeFailed ExecuteFailed) Exec() model.ExecID { return executeFailed.exec }

// Conn returns the identifier of the connection.
func (executeFailed ExecuteFailed) Conn() model.ConnID { return executeFailed.conn }

// Class returns what is known about the effect of the execution.
func (executeFailed ExecuteFailed) Class() model.FailureClass { return executeFailed.class }

// Usable returns whether the connection can be used again without a reset.
func (executeFailed ExecuteFailed) Usable() bool { return executeFailed.usable }

// Mark returns the end of the instance's log, for FailureReplay and FailureTombstone.
func (executeFailed ExecuteFailed) Mark() model.Mark { return executeFailed.mark }

// Answer returns the error of the database for the caller, or nil.
func (executeFailed ExecuteFailed) Answer() model.Payload { return executeFailed.answer }

func (ExecuteFailed) isEvent() {}

// ResetDone reports the result of resetting a backend connection. It answers ResetConn.
type ResetDone struct {
	conn model.ConnID
	ok   bool
}

// NewResetDone returns a ResetDone. ok is false if the reset failed and the connection
// is closed.
func NewResetDone(conn model.ConnID, ok bool) ResetDone {
	return ResetDone{conn: conn, ok: ok}
}

// Conn returns the identifier of the connection.
func (resetDone ResetDone) Conn() model.ConnID { return resetDone.conn }

// Ok returns whether the reset succeeded. If not, the connection is closed.
func (resetDone ResetDone) Ok() bool { return resetDone.ok }

func (ResetDone) isEvent() {}

// StatusReported reports an instance's status. It answers Probe.
type StatusReported struct {
	probe    model.ProbeID
	instance model.InstanceID
	status   model.Status
}

// NewStatusReported returns a StatusReported.
func NewStatusReported(probe model.ProbeID, instance model.InstanceID, status model.Status) StatusReported {
	return StatusReported{probe: probe, instance: instance, status: status}
}

// Probe returns the identifier of the probe.
func (statusReported StatusReported) Probe() model.ProbeID { return statusReported.probe }

// Instance returns the instance.
func (statusReported StatusReported) Instance() model.InstanceID { return statusReported.instance }

// Status returns the status that the instance reported.
func (statusReported StatusReported) Status() model.Status { return statusReported.status }

func (StatusReported) isEvent() {}

// ProbeFailed reports that a probe got no answer. It answers Probe.
type ProbeFailed struct {
	probe    model.ProbeID
	instance model.InstanceID
	reason   model.ConnFailure
}

// NewProbeFailed returns a ProbeFailed.
func NewProbeFailed(probe model.ProbeID, instance model.InstanceID, reason model.ConnFailure) ProbeFailed {
	return ProbeFailed{probe: probe, instance: instance, reason: reason}
}

// Probe returns the identifier of the probe.
func (probeFailed ProbeFailed) Probe() model.ProbeID { return probeFailed.probe }

// Instance returns the instance.
func (probeFailed ProbeFailed) Instance() model.InstanceID { return probeFailed.instance }

// Reason returns why there is no answer.
func (probeFailed ProbeFailed) Reason() model.ConnFailure { return probeFailed.reason }

func (ProbeFailed) isEvent() {}

// OrderAnswered reports that an instance accepted or refused an order. It answers
// SendOrder.
type OrderAnswered struct {
	order    model.OrderID
	instance model.InstanceID
	accepted bool
	status   model.Status
}

// NewOrderAnswered returns an OrderAnswered.
func NewOrderAnswered(order model.OrderID, instance model.InstanceID, accepted bool, status model.Status) OrderAnswered {
	return OrderAnswered{order: order, instance: instance, accepted: accepted, status: status}
}

// Order returns the identifier of the order.
func (orderAnswered OrderAnswered) Order() model.OrderID { return orderAnswered.order }

// Instance returns the instance.
func (orderAnswered OrderAnswered) Instance() model.InstanceID { return orderAnswered.instance }

// Accepted returns whether the instance accepted the order. It refuses an order of a
// lower term.
func (orderAnswered OrderAnswered) Accepted() bool { return orderAnswered.accepted }

// Status returns the instance's status after the order.
func (orderAnswered OrderAnswered) Status() model.Status { return orderAnswered.status }

func (OrderAnswered) isEvent() {}

// OrderFailed reports that an order got no answer. The order may have taken effect. It
// answers SendOrder.
type OrderFailed struct {
	order    model.OrderID
	instance model.InstanceID
	reason   model.ConnFailure
}

// NewOrderFailed returns an OrderFailed.
func NewOrderFailed(order model.OrderID, instance model.InstanceID, reason model.ConnFailure) OrderFailed {
	return OrderFailed{order: order, instance: instance, reason: reason}
}

// Order returns the identifier of the order.
func (orderFailed OrderFailed) Order() model.OrderID { return orderFailed.order }

// Instance returns the instance.
func (orderFailed OrderFailed) Instance() model.InstanceID { return orderFailed.instance }

// Reason returns why there is no answer.
func (orderFailed OrderFailed) Reason() model.ConnFailure { return orderFailed.reason }

func (OrderFailed) isEvent() {}
