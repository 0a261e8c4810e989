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

// failExtended reports an error and drops what comes before the next Sync.
func (caller *caller) failExtended(reason *fault) {
	caller.described = nil
	caller.sendFault(reason)
	caller.skipping = true
}

func (caller *caller) parse(message *pgproto3.Parse) {
	if !caller.resolveDescribed() {
		return
	}
	statement := newPrepared(message)
	if statement.form == query.FormUnsupported {
		caller.failExtended(unsupported(statement.keyword))
		return
	}
	if strings.Contains(message.Query, ";") && len(query.Split(message.Query)) > 1 {
		caller.failExtended(newFault(codes.Unsupported, "a prepared statement holds one statement only"))
		return
	}
	caller.closePrepared(message.Name)
	if reason := caller.hold(len(statement.sql), len(caller.prepared)); reason != nil {
		caller.failExtended(reason)
		return
	}
	caller.keepPrepared(message.Name, statement)
	caller.send(&pgproto3.ParseComplete{})
}

func (caller *caller) bind(message *pgproto3.Bind) {
	if !caller.resolveDescribed() {
		return
	}
	statement, ok := caller.prepared[message.PreparedStatement]
	if !ok {
		caller.failExtended(unknownObject("prepared statement", message.PreparedStatement))
		return
	}
	bound := newPortal(statement, message)
	caller.closePortal(message.DestinationPortal)
	if reason := caller.hold(bound.size(), len(caller.portals)); reason != nil {
		caller.failExtended(reason)
		return
	}
	caller.keepPortal(message.DestinationPortal, bound)
	caller.send(&pgproto3.BindComplete{})
}

func (caller *caller) describe(message *pgproto3.Describe) {
	if !caller.resolveDescribed() {
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
		caller.sendFields(portal.fields(portal.statement.description.Fields()))
	default:
		caller.described = portal
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

// resolveDescribed sends the description of a portal that was not executed
// next. It returns false if that failed.
func (caller *caller) resolveDescribed() bool {
	portal := caller.described
	if portal == nil {
		return true
	}
	caller.described = nil
	if reason := caller.loadDescription(portal.statement); reason != nil {
		caller.failExtended(reason)
		return false
	}
	caller.sendFields(portal.fields(portal.statement.description.Fields()))
	return true
}

// loadDescription asks an instance for the types of a statement unless they are known.
func (caller *caller) loadDescription(statement *prepared) *fault {
	if statement.description != nil {
		return nil
	}
	if statement.form != query.FormPlain && !caller.goesToInstance(statement) {
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
	if reason := answerFault(reply); reason != nil {
		return reason
	}
	description, ok := reply.Answer().(*wire.Description)
	if !ok {
		return newFault(codes.Internal, "the description of the statement is missing")
	}
	statement.description = description
	return nil
}

// goesToInstance reports whether a statement of the session's own forms is run
// by an instance nevertheless.
func (caller *caller) goesToInstance(statement *prepared) bool {
	return statement.form == query.FormShow && !caller.answersLocally(statement.form, statement.sql)
}

func localFields(statement *prepared) []pgproto3.FieldDescription {
	if statement.form != query.FormShow {
		return nil
	}
	return textResult(showName(statement.sql), "").Fields()
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
		if caller.resolveDescribed() {
			caller.failExtended(unknownObject("portal", message.Portal))
		}
		return
	}
	awaited := caller.described == portal
	if !awaited && !caller.resolveDescribed() {
		return
	}
	caller.described = nil
	if !portal.executed {
		if reason := caller.runPortal(portal); reason != nil {
			caller.failExtended(reason)
			return
		}
	}
	if awaited {
		caller.sendFields(portal.result.Fields())
	}
	rows, last := portal.next(int(message.MaxRows))
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
	portal.release()
	caller.sendTag(portal.result.Tag())
}

// runPortal executes a portal and keeps its whole answer.
func (caller *caller) runPortal(portal *portal) *fault {
	statement := portal.statement
	var reason *fault
	switch {
	case statement.form == query.FormEmpty:
	case statement.form.IsTransaction():
		var tag string
		tag, reason = caller.control(statement.form, statement.sql)
		portal.result = tagResult(tag)
	case caller.answersLocally(statement.form, statement.sql):
		portal.result, reason = caller.runLocal(statement.form, statement.sql)
	default:
		if reason = checkPassed(statement.form, statement.sql); reason == nil {
			reason = caller.runStatement(portal)
		}
	}
	portal.executed = reason == nil
	return reason
}

func (caller *caller) runStatement(portal *portal) *fault {
	spec, reason := caller.newRequest(model.OpStatement, portal.spec())
	if reason != nil {
		return reason
	}
	reply := caller.request(spec)
	if reason := answerFault(reply); reason != nil {
		return reason
	}
	if results := caller.results(reply, portal.statement.keyword); len(results) > 0 {
		portal.result = results[0]
	}
	if answer := reply.Answer(); answer != nil {
		portal.rowBytes = answer.Size()
	}
	return nil
}

func (caller *caller) closeObject(message *pgproto3.Close) {
	if !caller.resolveDescribed() {
		return
	}
	if message.ObjectType == objectStatement {
		caller.closePrepared(message.Name)
	} else {
		caller.closePortal(message.Name)
	}
	caller.send(&pgproto3.CloseComplete{})
}

// sync ends a sequence of the extended protocol. Portals live on inside a transaction.
func (caller *caller) sync() error {
	if !caller.skipping {
		caller.resolveDescribed()
	}
	caller.skipping = false
	if caller.txState == model.TxNone {
		caller.dropPortals()
	}
	caller.ready()
	return caller.flush()
}

func unknownObject(kind string, name string) *fault {
	return faultf(codes.BadProtocol, "%s %q does not exist", kind, name)
}
