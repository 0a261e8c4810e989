package event

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// OpenConn opens a backend connection. The answer is ConnOpened or ConnFailed.
type OpenConn struct {
	conn     model.ConnID
	instance model.InstanceID
	address  string
	group    model.GroupID
	team     model.TeamName
}

// NewOpenConn returns an OpenConn.
func NewOpenConn(conn model.ConnID, instance model.InstanceID, address string) OpenConn {
	return OpenConn{conn: conn, instance: instance, address: address}
}

// WithGroup returns a copy for an instance of a group.
func (openConn OpenConn) WithGroup(group model.GroupID) OpenConn {
	openConn.group = group
	return openConn
}

// Group returns the group of the instance, or the empty ID if the protocol does not need it.
func (openConn OpenConn) Group() model.GroupID { return openConn.group }

// WithTeam returns a copy for a connection that runs the statements of a team.
func (openConn OpenConn) WithTeam(team model.TeamName) OpenConn {
	openConn.team = team
	return openConn
}

// Team returns the team whose statements the connection runs. It is empty if the connection
// runs statements of callers without a team, or of the proxy itself.
func (openConn OpenConn) Team() model.TeamName { return openConn.team }

// Conn returns the identifier of the new connection.
func (openConn OpenConn) Conn() model.ConnID { return openConn.conn }

// Instance returns the instance.
func (openConn OpenConn) Instance() model.InstanceID { return openConn.instance }

// Address returns the "ip:port" of the instance.
func (openConn OpenConn) Address() string { return openConn.address }

func (OpenConn) isAction() {}

// CloseConn closes a backend connection. It has no answer.
type CloseConn struct {
	conn model.ConnID
}

// NewCloseConn returns a CloseConn.
func NewCloseConn(conn model.ConnID) CloseConn {
	return CloseConn{conn: conn}
}

// Conn returns the identifier of the connection.
func (closeConn CloseConn) Conn() model.ConnID { return closeConn.conn }

func (CloseConn) isAction() {}

// ResetConn rolls back the open transaction of a backend connection and clears its
// session state. The answer is ResetDone.
type ResetConn struct {
	conn model.ConnID
}

// NewResetConn returns a ResetConn.
func NewResetConn(conn model.ConnID) ResetConn {
	return ResetConn{conn: conn}
}

// Conn returns the identifier of the connection.
func (resetConn ResetConn) Conn() model.ConnID { return resetConn.conn }

func (ResetConn) isAction() {}

// Execute runs a Work on a backend connection. The answer is ExecuteDone or
// ExecuteFailed.
type Execute struct {
	exec model.ExecID
	conn model.ConnID
	work *model.Work
}

// NewExecute returns an Execute.
func NewExecute(exec model.ExecID, conn model.ConnID, work *model.Work) Execute {
	return Execute{exec: exec, conn: conn, work: work}
}

// Exec returns the identifier of the execution.
func (execute Execute) Exec() model.ExecID { return execute.exec }

// Conn returns the identifier of the connection, on which no other execution runs.
func (execute Execute) Conn() model.ConnID { return execute.conn }

// Work returns the transaction step to run.
func (execute Execute) Work() *model.Work { return execute.work }

func (Execute) isAction() {}

// CancelExecute asks the instance to cancel an execution. The execution is still
// answered.
type CancelExecute struct {
	exec model.ExecID
	conn model.ConnID
}

// NewCancelExecute returns a CancelExecute.
func NewCancelExecute(exec model.ExecID, conn model.ConnID) CancelExecute {
	return CancelExecute{exec: exec, conn: conn}
}

// Exec returns the identifier of the execution.
func (cancelExecute CancelExecute) Exec() model.ExecID { return cancelExecute.exec }

// Conn returns the identifier of the connection.
func (cancelExecute CancelExecute) Conn() model.ConnID { return cancelExecute.conn }

func (CancelExecute) isAction() {}

// Probe requests an instance's status without delay. The answer is StatusReported or
// ProbeFailed.
type Probe struct {
	probe    model.ProbeID
	instance model.InstanceID
	address  string
	group    model.GroupID
	timeout  time.Duration
}

// NewProbe returns a Probe. address is the "ip:port" of the instance.
func NewProbe(probe model.ProbeID, instance model.InstanceID, address string, timeout time.Duration) Probe {
	return Probe{probe: probe, instance: instance, address: address, timeout: timeout}
}

// Probe returns the identifier of the probe.
func (probe Probe) Probe() model.ProbeID { return probe.probe }

// Instance returns the instance.
func (probe Probe) Instance() model.InstanceID { return probe.instance }

// Address returns the "ip:port" of the instance.
func (probe Probe) Address() string { return probe.address }

// WithGroup returns a copy for an instance of a group.
func (probe Probe) WithGroup(group model.GroupID) Probe {
	probe.group = group
	return probe
}

// Group returns the group of the instance, or the empty ID if the protocol does not need it.
func (probe Probe) Group() model.GroupID { return probe.group }

// Timeout returns the time after which the probe counts as failed.
func (probe Probe) Timeout() time.Duration { return probe.timeout }

func (Probe) isAction() {}

// SendOrder sends an order to an instance. The answer is OrderAnswered or OrderFailed.
type SendOrder struct {
	order    model.OrderID
	instance model.InstanceID
	address  string
	group    model.GroupID
	body     Order
	timeout  time.Duration
}

// NewSendOrder returns a SendOrder. order identifies the order, and body is its content.
func NewSendOrder(order model.OrderID, instance model.InstanceID, address string, body Order, timeout time.Duration) SendOrder {
	return SendOrder{
		order:    order,
		instance: instance,
		address:  address,
		body:     body,
		timeout:  timeout,
	}
}

// Order returns the identifier of the order.
func (sendOrder SendOrder) Order() model.OrderID { return sendOrder.order }

// Instance returns the instance.
func (sendOrder SendOrder) Instance() model.InstanceID { return sendOrder.instance }

// Address returns the "ip:port" of the instance.
func (sendOrder SendOrder) Address() string { return sendOrder.address }

// WithGroup returns a copy for an instance of a group.
func (sendOrder SendOrder) WithGroup(group model.GroupID) SendOrder {
	sendOrder.group = group
	return sendOrder
}

// Group returns the group of the instance, or the empty ID if the protocol does not need it.
func (sendOrder SendOrder) Group() model.GroupID { return sendOrder.group }

// Body returns the content of the order.
func (sendOrder SendOrder) Body() Order { return sendOrder.body }

// Timeout returns the time after which the order counts as failed.
func (sendOrder SendOrder) Timeout() time.Duration { return sendOrder.timeout }

func (SendOrder) isAction() {}
