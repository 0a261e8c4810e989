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

// Conn returns the connection.
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

// Conn returns the connection.
func (connFailed ConnFailed) Conn() model.ConnID { return connFailed.conn }

// Reason returns why it could not be opened.
func (connFailed ConnFailed) Reason() model.ConnFailure { return connFailed.reason }

func (ConnFailed) isEvent() {}

// ConnClosed reports that a backend connection is gone without having been asked to close.
type ConnClosed struct {
	conn model.ConnID
}

// NewConnClosed returns a ConnClosed.
func NewConnClosed(conn model.ConnID) ConnClosed {
	return ConnClosed{conn: conn}
}

// Conn returns the connection.
func (connClosed ConnClosed) Conn() model.ConnID { return connClosed.conn }

func (ConnClosed) isEvent() {}

// ExecuteDone reports the whole answer of an execution. It answers Execute.
type ExecuteDone struct {
	exec   model.ExecID
	conn   model.ConnID
	mark   model.Mark
	answer model.Payload
}

// NewExecuteDone returns a ExecuteDone.
func NewExecuteDone(exec model.ExecID, conn model.ConnID, mark model.Mark, answer model.Payload) ExecuteDone {
	return ExecuteDone{exec: exec, conn: conn, mark: mark, answer: answer}
}

// Exec returns the execution.
func (executeDone ExecuteDone) Exec() model.ExecID { return executeDone.exec }

// Conn returns the connection, which is clean.
func (executeDone ExecuteDone) Conn() model.ConnID { return executeDone.conn }

// Mark returns the end of the instance's log when the statement ran or committed.
func (executeDone ExecuteDone) Mark() model.Mark { return executeDone.mark }

// Answer returns the answer of the database, or nil where the step has none.
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

// NewExecuteFailed returns a ExecuteFailed.
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

// Exec returns the execution.
func (executeFailed ExecuteFailed) Exec() model.ExecID { return executeFailed.exec }

// Conn returns the connection.
func (executeFailed ExecuteFailed) Conn() model.ConnID { return executeFailed.conn }

// Class returns what is known about the effect.
func (executeFailed ExecuteFailed) Class() model.FailureClass { return executeFailed.class }

// Usable returns whether the connection may be used again without a reset.
func (executeFailed ExecuteFailed) Usable() bool { return executeFailed.usable }

// Mark returns the end of the instance's log, for FailureReplay and FailureTombstone.
func (executeFailed ExecuteFailed) Mark() model.Mark { return executeFailed.mark }

// Answer returns the error of the database for the caller, or nil.
func (executeFailed ExecuteFailed) Answer() model.Payload { return executeFailed.answer }

func (ExecuteFailed) isEvent() {}

// ResetDone reports that a backend connection is clean again. It answers ResetConn.
type ResetDone struct {
	conn model.ConnID
	ok   bool
}

// NewResetDone returns a ResetDone.
func NewResetDone(conn model.ConnID, ok bool) ResetDone {
	return ResetDone{conn: conn, ok: ok}
}

// Conn returns the connection.
func (resetDone ResetDone) Conn() model.ConnID { return resetDone.conn }

// Ok returns whether the reset succeeded; if not, the connection is closed.
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

// Probe returns the probe.
func (statusReported StatusReported) Probe() model.ProbeID { return statusReported.probe }

// Instance returns the instance.
func (statusReported StatusReported) Instance() model.InstanceID { return statusReported.instance }

// Status returns the report.
func (statusReported StatusReported) Status() model.Status { return statusReported.status }

func (StatusReported) isEvent() {}

// ProbeFailed reports that a probe got no answer.
type ProbeFailed struct {
	probe    model.ProbeID
	instance model.InstanceID
	reason   model.ConnFailure
}

// NewProbeFailed returns a StatusFailed.
func NewProbeFailed(probe model.ProbeID, instance model.InstanceID, reason model.ConnFailure) ProbeFailed {
	return ProbeFailed{probe: probe, instance: instance, reason: reason}
}

// Probe returns the probe.
func (statusFailed ProbeFailed) Probe() model.ProbeID { return statusFailed.probe }

// Instance returns the instance.
func (statusFailed ProbeFailed) Instance() model.InstanceID { return statusFailed.instance }

// Reason returns why there is no answer.
func (statusFailed ProbeFailed) Reason() model.ConnFailure { return statusFailed.reason }

func (ProbeFailed) isEvent() {}

// OrderAnswered reports that an instance answered an order. It answers SendOrder.
type OrderAnswered struct {
	order    model.OrderID
	instance model.InstanceID
	accepted bool
	status   model.Status
}

// NewOrderAnswered returns a OrderDone.
func NewOrderAnswered(order model.OrderID, instance model.InstanceID, accepted bool, status model.Status) OrderAnswered {
	return OrderAnswered{order: order, instance: instance, accepted: accepted, status: status}
}

// Order returns the order.
func (orderDone OrderAnswered) Order() model.OrderID { return orderDone.order }

// Instance returns the instance.
func (orderDone OrderAnswered) Instance() model.InstanceID { return orderDone.instance }

// Accepted returns whether the instance took the order; it refuses one of a lower term.
func (orderDone OrderAnswered) Accepted() bool { return orderDone.accepted }

// Status returns the instance's status after the order.
func (orderDone OrderAnswered) Status() model.Status { return orderDone.status }

func (OrderAnswered) isEvent() {}

// OrderFailed reports that an order got no answer. It may have taken effect.
type OrderFailed struct {
	order    model.OrderID
	instance model.InstanceID
	reason   model.ConnFailure
}

// NewOrderFailed returns a OrderFailed.
func NewOrderFailed(order model.OrderID, instance model.InstanceID, reason model.ConnFailure) OrderFailed {
	return OrderFailed{order: order, instance: instance, reason: reason}
}

// Order returns the order.
func (orderFailed OrderFailed) Order() model.OrderID { return orderFailed.order }

// Instance returns the instance.
func (orderFailed OrderFailed) Instance() model.InstanceID { return orderFailed.instance }

// Reason returns why there is no answer.
func (orderFailed OrderFailed) Reason() model.ConnFailure { return orderFailed.reason }

func (OrderFailed) isEvent() {}
