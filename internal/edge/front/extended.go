package front

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/query"
	"almondway.dev/almondway/internal/edge/wire"
)

const objectStatement = 'S'

// failExtended sends an error. The messages before the next Sync are discarded.
func (caller *caller) failExtended(reason *callerError) {
	caller.pendingDescribe = nil
	caller.sendError(reason)
	caller.skippingToSync = true
}

func (caller *caller) parse(message *pgproto3.Parse) {
	if !caller.sendPendingDescription() {
		return
	}
	statement := newPreparedStatement(message)
	if statement.statementType == query.StatementUnsupported {
		caller.failExtended(unsupported(statement.keyword))
		return
	}
	if strings.Contains(message.Query, ";") && len(query.Split(message.Query)) > 1 {
		caller.failExtended(newCallerError(codes.Unsupported, "a prepared statement must consist of a single statement"))
		return
	}
	caller.closePrepared(message.Name)
	if reason := caller.checkHeldLimits(len(statement.sql), len(caller.prepared)); reason != nil {
		caller.failExtended(reason)
		return
	}
	caller.addPrepared(message.Name, statement)
	caller.send(&pgproto3.ParseComplete{})
}

func (caller *caller) bind(message *pgproto3.Bind) {
	if !caller.sendPendingDescription() {
		return
	}
	statement, ok := caller.prepared[message.PreparedStatement]
	if !ok {
		caller.failExtended(unknownObject("prepared statement", message.PreparedStatement))
		return
	}
	bound := newPortal(statement, message)
	caller.closePortal(message.DestinationPortal)
	if reason := caller.checkHeldLimits(bound.paramBytes(), len(caller.portals)); reason != nil {
		caller.failExtended(reason)
		return
	}
	caller.addPortal(message.DestinationPortal, bound)
	caller.send(&pgproto3.BindComplete{})
}

func (caller *caller) describe(message *pgproto3.Describe) {
	if !caller.sendPendingDescription() {
		return
	}
	if message.ObjectType == objectStatement {
		caller.describeStatement(message.Name)
		return
	}
	portal, ok := caller.portals[message.Name]
	if !ok {
		caller.failExtended(unknownObject("portal", message.Name))
		return
	}
	switch {
	case portal.executed:
		caller.sendFields(portal.result.Fields())
	case portal.statement.description != nil:
		caller.sendFields(portal.formattedFields(portal.statement.description.Fields()))
	default:
		caller.pendingDescribe = portal
	}
}

func (caller *caller) describeStatement(name string) {
	statement, ok := caller.prepared[name]
	if !ok {
		caller.failExtended(unknownObject("prepared statement", name))
		return
	}
	if reason := caller.loadDescription(statement); reason != nil {
		caller.failExtended(reason)
		return
	}
	caller.send(&pgproto3.ParameterDescription{ParameterOIDs: statement.description.ParamTypes()})
	caller.sendFields(statement.description.Fields())
}

// sendPendingDescription answers a Describe message of a portal that was not
// followed by its execution. It returns false if that failed.
func (caller *caller) sendPendingDescription() bool {
	portal := caller.pendingDescribe
	if portal == nil {
		return true
	}
	caller.pendingDescribe = nil
	if reason := caller.loadDescription(portal.statement); reason != nil {
		caller.failExtended(reason)
		return false
	}
	caller.sendFields(portal.formattedFields(portal.statement.description.Fields()))
	return true
}

// loadDescription requests the parameter types and columns of a statement from
// an instance unless they are known.
func (caller *caller) loadDescription(statement *preparedStatement) *callerError {
	if statement.description != nil {
		return nil
	}
	if statement.statementType != query.StatementPlain && !caller.runsOnInstance(statement) {
		statement.description = wire.NewDescription(nil, localFields(statement))
		return nil
	}
	spec, reason := caller.newRequest(model.OpDescribe, wire.StatementSpec{
		SQL:        statement.sql,
		ParamTypes: statement.paramTypes,
	})
	if reason != nil {
		return reason
	}
	reply := caller.request(spec)
	if reason := checkReply(reply); reason != nil {
		return reason
	}
	description, ok := reply.Answer().(*wire.Description)
	if !ok {
		return newCallerError(codes.Internal, "the reply has no description of the statement")
	}
	statement.description = description
	return nil
}

// runsOnInstance reports whether a statement of a type that the proxy usually
// answers locally has to run on an instance: SHOW of a setting that the proxy
// does not know.
func (caller *caller) runsOnInstance(statement *preparedStatement) bool {
	return statement.statementType == query.StatementShow && !caller.answersLocally(statement.statementType, statement.sql)
}

func localFields(statement *preparedStatement) []pgproto3.FieldDescription {
	if statement.statementType != query.StatementShow {
		return nil
	}
	return textResult(shownSetting(statement.sql), "").Fields()
}

func (caller *caller) sendFields(fields []pgproto3.FieldDescription) {
	if fields == nil {
		caller.send(&pgproto3.NoData{})
		return
	}
	caller.send(&pgproto3.RowDescription{Fields: fields})
}

func (caller *caller) execute(message *pgproto3.Execute) {
	portal, ok := caller.portals[message.Portal]
	if !ok {
		if caller.sendPendingDescription() {
			caller.failExtended(unknownObject("portal", message.Portal))
		}
		return
	}
	describePending := caller.pendingDescribe == portal
	if !describePending && !caller.sendPendingDescription() {
		return
	}
	caller.pendingDescribe = nil
	if !portal.executed {
		if reason := caller.runPortal(portal); reason != nil {
			caller.failExtended(reason)
			return
		}
	}
	if describePending {
		caller.sendFields(portal.result.Fields())
	}
	rows, last := portal.nextRows(int(message.MaxRows))
	if !last {
		if reason := caller.chargeRows(portal); reason != nil {
			caller.closePortal(message.Portal)
			caller.failExtended(reason)
			return
		}
	}
	if caller.sendRows(rows) != nil {
		return
	}
	if !last {
		caller.send(&pgproto3.PortalSuspended{})
		return
	}
	portal.releaseRows()
	caller.sendCompletion(portal.result.Tag())
}

// runPortal executes a portal and buffers its whole answer.
func (caller *caller) runPortal(portal *portal) *callerError {
	statement := portal.statement
	var reason *callerError
	switch {
	case statement.statementType == query.StatementEmpty:
	case statement.statementType.IsTransactionControl():
		var tag string
		tag, reason = caller.runTransactionControl(statement.statementType, statement.sql)
		portal.result = tagResult(tag)
	case caller.answersLocally(statement.statementType, statement.sql):
		portal.result, reason = caller.runLocal(statement.statementType, statement.sql)
	default:
		if reason = checkForwardedSet(statement.statementType, statement.sql); reason == nil {
			reason = caller.runStatement(portal)
		}
	}
	portal.executed = reason == nil
	return reason
}

func (caller *caller) runStatement(portal *portal) *callerError {
	spec, reason := caller.newRequest(model.OpStatement, portal.statementSpec())
	if reason != nil {
		return reason
	}
	reply := caller.request(spec)
	if reason := checkReply(reply); reason != nil {
		return reason
	}
	if results := caller.replyResults(reply, portal.statement.keyword); len(results) > 0 {
		portal.result = results[0]
	}
	if answer := reply.Answer(); answer != nil {
		portal.rowBytes = answer.Size()
	}
	return nil
}

func (caller *caller) closeObject(message *pgproto3.Close) {
	if !caller.sendPendingDescription() {
		return
	}
	if message.ObjectType == objectStatement {
		caller.closePrepared(message.Name)
	} else {
		caller.closePortal(message.Name)
	}
	caller.send(&pgproto3.CloseComplete{})
}

// sync ends a sequence of the extended protocol. Portals stay open until the end
// of the transaction.
func (caller *caller) sync() error {
	if !caller.skippingToSync {
		caller.sendPendingDescription()
	}
	caller.skippingToSync = false
	if caller.txState == model.TxNone {
		caller.closePortalsOutsideTx()
	}
	caller.sendReady()
	return caller.flush()
}

func unknownObject(kind string, name string) *callerError {
	return callerErrorf(codes.BadProtocol, "%s %q does not exist", kind, name)
}
