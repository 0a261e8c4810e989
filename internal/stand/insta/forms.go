package insta

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// statementForm describes a supported statement.
type statementForm struct {
	commandTag string
	paramTypes []uint32
	columns    []column
	run        func(*execution, context.Context) error
}

var (
	valueColumns        = []column{textColumn("value")}
	keyColumns          = []column{textColumn("key"), textColumn("value")}
	constantColumns     = []column{{name: "?column?", oid: pgtype.Int4OID}}
	twoTextParams       = []uint32{pgtype.TextOID, pgtype.TextOID}
	oneTextParam        = twoTextParams[:1]
	numberAndTextParams = []uint32{pgtype.Int8OID, pgtype.TextOID}
)

var statementForms = map[string]statementForm{
	"insert into kv(key,value)values(?,?)":                                                   {"INSERT", twoTextParams, nil, (*execution).insert},
	"insert into kv(key,value)values(?,?)on conflict(key)do update set value=excluded.value": {"INSERT", twoTextParams, nil, (*execution).upsert},
	"update kv set value=? where key=?":                                                      {"UPDATE", twoTextParams, nil, (*execution).update},
	"update kv set value=value+? where key=?":                                                {"UPDATE", numberAndTextParams, nil, (*execution).add},
	"update kv set value=value-? where key=?":                                                {"UPDATE", numberAndTextParams, nil, (*execution).subtract},
	"delete from kv where key=?":                                                             {"DELETE", oneTextParam, nil, (*execution).deleteRow},
	"select value from kv where key=?":                                                       {"SELECT", oneTextParam, valueColumns, (*execution).selectOne},
	"select value from kv where key=? for update":                                            {"SELECT", oneTextParam, valueColumns, (*execution).selectForUpdate},
	"select key,value from kv where key like ?":                                              {"SELECT", oneTextParam, keyColumns, (*execution).selectLike},
	"select key,value from kv where key like ? order by key":                                 {"SELECT", oneTextParam, keyColumns, (*execution).selectLike},
	"select ?":                      {"SELECT", []uint32{pgtype.Int4OID}, constantColumns, (*execution).selectConstant},
	"select pg_sleep(?)":            {"SELECT", []uint32{pgtype.Float8OID}, []column{textColumn("pg_sleep")}, (*execution).sleep},
	"select almondway_begin(?,?,?)": {"SELECT", nil, []column{textColumn("almondway_begin")}, (*execution).ledgerBegin},
	"select almondway_settle(?,?)":  {"SELECT", nil, []column{textColumn("almondway_settle")}, (*execution).ledgerSettle},
	"select almondway_trim(?,?)":    {"SELECT", nil, []column{textColumn("almondway_trim")}, (*execution).ledgerTrim},
}

func (execution *execution) ledgerBegin(ctx context.Context) error {
	execution.result.addRow("")
	return execution.beginRequest(ctx, execution.args[0], execution.args[1], execution.args[2])
}

func (execution *execution) ledgerSettle(ctx context.Context) error {
	execution.result.addRow("")
	return execution.settleRequest(ctx, execution.args[0], execution.args[1])
}

func (execution *execution) ledgerTrim(context.Context) error {
	execution.result.addRow("")
	return execution.trimLedger(execution.args[0], execution.args[1])
}

// findForm returns the form of a statement template. A trailing "returning
// value" adds the new value as the result column of a write.
func findForm(template string) (statementForm, error) {
	base, returning := strings.CutSuffix(template, "returning value")
	found, ok := statementForms[strings.TrimSpace(base)]
	if !ok {
		return statementForm{}, newSQLError(sqlStateSyntaxError, "the stand-in does not support the statement %q", template)
	}
	if returning {
		if found.columns != nil {
			return statementForm{}, newSQLError(sqlStateSyntaxError, "RETURNING is not supported for the statement %q", template)
		}
		found.columns = valueColumns
	}
	return found, nil
}

// execute runs a statement of this form in a transaction.
func (statementForm statementForm) execute(ctx context.Context, instance *Instance, tx *tx, args []string, label string) (*result, error) {
	execution := &execution{instance: instance, tx: tx, args: args, label: label, result: &result{columns: statementForm.columns}}
	if err := statementForm.run(execution, ctx); err != nil {
		return nil, err
	}
	count := strconv.Itoa(len(execution.result.rows))
	execution.result.tag = statementForm.commandTag + " " + count
	if statementForm.commandTag == "INSERT" {
		execution.result.tag = "INSERT 0 " + count
	}
	if statementForm.columns == nil {
		execution.result.rows = nil
	}
	return execution.result, nil
}
