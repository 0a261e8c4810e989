package insta

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// form is a supported statement.
type form struct {
	command string
	params  []uint32
	columns []column
	run     func(*call, context.Context) error
}

var (
	valueColumns  = []column{textColumn("value")}
	keyColumns    = []column{textColumn("key"), textColumn("value")}
	oneColumn     = []column{{name: "?column?", oid: pgtype.Int4OID}}
	twoTexts      = []uint32{pgtype.TextOID, pgtype.TextOID}
	oneText       = twoTexts[:1]
	numberAndText = []uint32{pgtype.Int8OID, pgtype.TextOID}
)

var forms = map[string]form{
	"insert into kv(key,value)values(?,?)":                                                   {"INSERT", twoTexts, nil, (*call).insert},
	"insert into kv(key,value)values(?,?)on conflict(key)do update set value=excluded.value": {"INSERT", twoTexts, nil, (*call).upsert},
	"update kv set value=? where key=?":                                                      {"UPDATE", twoTexts, nil, (*call).update},
	"update kv set value=value+? where key=?":                                                {"UPDATE", numberAndText, nil, (*call).add},
	"update kv set value=value-? where key=?":                                                {"UPDATE", numberAndText, nil, (*call).subtract},
	"delete from kv where key=?":                                                             {"DELETE", oneText, nil, (*call).remove},
	"select value from kv where key=?":                                                       {"SELECT", oneText, valueColumns, (*call).selectOne},
	"select value from kv where key=? for update":                                            {"SELECT", oneText, valueColumns, (*call).selectForUpdate},
	"select key,value from kv where key like ?":                                              {"SELECT", oneText, keyColumns, (*call).selectLike},
	"select key,value from kv where key like ? order by key":                                 {"SELECT", oneText, keyColumns, (*call).selectLike},
	"select ?":                      {"SELECT", []uint32{pgtype.Int4OID}, oneColumn, (*call).constant},
	"select pg_sleep(?)":            {"SELECT", []uint32{pgtype.Float8OID}, []column{textColumn("pg_sleep")}, (*call).sleep},
	"select almondway_begin(?,?,?)": {"SELECT", nil, []column{textColumn("almondway_begin")}, (*call).ledgerBegin},
	"select almondway_settle(?,?)":  {"SELECT", nil, []column{textColumn("almondway_settle")}, (*call).ledgerSettle},
	"select almondway_trim(?,?)":    {"SELECT", nil, []column{textColumn("almondway_trim")}, (*call).ledgerTrim},
}

func (call *call) ledgerBegin(ctx context.Context) error {
	call.result.row("")
	return call.begin(ctx, call.args[0], call.args[1], call.args[2])
}

func (call *call) ledgerSettle(ctx context.Context) error {
	call.result.row("")
	return call.settle(ctx, call.args[0], call.args[1])
}

func (call *call) ledgerTrim(context.Context) error {
	call.result.row("")
	return call.trim(call.args[0], call.args[1])
}

// find returns the form of a template. A trailing "returning value" gives a
// write the column of its new value.
func find(template string) (form, error) {
	base, returning := strings.CutSuffix(template, "returning value")
	found, ok := forms[strings.TrimSpace(base)]
	if !ok {
		return form{}, newError(stateSyntax, "the stand-in does not support the statement %q", template)
	}
	if returning {
		if found.columns != nil {
			return form{}, newError(stateSyntax, "RETURNING does not belong to the statement %q", template)
		}
		found.columns = valueColumns
	}
	return found, nil
}

// execute runs the form in a transaction.
func (form form) execute(ctx context.Context, instance *Instance, tx *tx, args []string, label string) (*result, error) {
	call := &call{instance: instance, tx: tx, args: args, label: label, result: &result{columns: form.columns}}
	if err := form.run(call, ctx); err != nil {
		return nil, err
	}
	count := strconv.Itoa(len(call.result.rows))
	call.result.tag = form.command + " " + count
	if form.command == "INSERT" {
		call.result.tag = "INSERT 0 " + count
	}
	if form.columns == nil {
		call.result.rows = nil
	}
	return call.result, nil
}
