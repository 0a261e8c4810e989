package front

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"
)

const (
	oracleSelect = "SELECT 1"
	oracleUpdate = "UPDATE x"
	oracleFail   = "UPDATE fail"
	oracleRows   = 3
)

var oracleStatements = []string{oracleSelect, oracleUpdate, oracleFail, "BEGIN", "COMMIT", "ROLLBACK", "SHOW almondway.kind", ""}

// oraclePortal is the state of a portal in the oracle. The rows are those left.
type oraclePortal struct {
	sql      string
	tag      string
	rows     int
	executed bool
}

// oracle is a model of the extended protocol that predicts the answers to each
// message.
type oracle struct {
	prepared map[string]string
	portals  map[string]*oraclePortal
	status   string
	skipping bool
	expected []string
}

func newOracle() *oracle {
	return &oracle{prepared: make(map[string]string), portals: make(map[string]*oraclePortal), status: "I"}
}

func (oracle *oracle) expect(words ...string) { oracle.expected = append(oracle.expected, words...) }

func (oracle *oracle) expectError(words string) {
	oracle.expect(words)
	oracle.skipping = true
}

func (oracle *oracle) apply(message pgproto3.FrontendMessage) {
	if _, ok := message.(*pgproto3.Sync); ok {
		oracle.sync()
		return
	}
	if oracle.skipping {
		return
	}
	switch message := message.(type) {
	case *pgproto3.Parse:
		oracle.prepared[message.Name] = message.Query
	case *pgproto3.Bind:
		sql, ok := oracle.prepared[message.PreparedStatement]
		if !ok {
			oracle.expectError("ERROR:08P01:AW106")
			return
		}
		oracle.portals[message.DestinationPortal] = &oraclePortal{sql: sql}
	case *pgproto3.Describe:
		oracle.describe(message)
	case *pgproto3.Execute:
		oracle.execute(message)
	case *pgproto3.Close:
		if message.ObjectType == objectStatement {
			delete(oracle.prepared, message.Name)
		} else {
			delete(oracle.portals, message.Name)
		}
	}
}

func (oracle *oracle) sync() {
	oracle.skipping = false
	oracle.expect(oracle.status)
	if oracle.status == "I" {
		clear(oracle.portals)
	}
}

func (oracle *oracle) describe(message *pgproto3.Describe) {
	sql, ok := oracle.prepared[message.Name]
	if message.ObjectType != objectStatement {
		var portal *oraclePortal
		if portal, ok = oracle.portals[message.Name]; ok {
			sql = portal.sql
		}
		ok = ok && (!portal.executed || sql != oracleFail)
	}
	switch {
	case !ok:
		oracle.expectError("ERROR:08P01:AW106")
		return
	case sql == oracleFail:
		oracle.expectError("ERROR:23505:")
		if oracle.status == "T" {
			oracle.status = "E"
		}
		return
	case message.ObjectType == objectStatement:
		oracle.expect("params")
	}
	if sql == oracleSelect || strings.HasPrefix(sql, "SHOW") {
		oracle.expect("fields")
	} else {
		oracle.expect("no-fields")
	}
}

func (oracle *oracle) execute(message *pgproto3.Execute) {
	portal, ok := oracle.portals[message.Portal]
	if !ok {
		oracle.expectError("ERROR:08P01:AW106")
		return
	}
	if !portal.executed && !oracle.runPortal(portal) {
		return
	}
	sent := portal.rows
	if message.MaxRows > 0 {
		sent = min(sent, int(message.MaxRows))
	}
	portal.rows -= sent
	for range sent {
		oracle.expect("row")
	}
	if portal.rows > 0 {
		oracle.expect("suspended")
		return
	}
	oracle.expect(portal.tag)
}

// runPortal executes a portal. It returns false if the execution failed.
func (oracle *oracle) runPortal(portal *oraclePortal) bool {
	control := portal.sql == "COMMIT" || portal.sql == "ROLLBACK"
	switch {
	case portal.sql == "":
		portal.tag = "empty"
	case control && oracle.status == "I":
		oracle.expect("WARNING")
		portal.tag = portal.sql
	case control:
		portal.tag = portal.sql
		if oracle.status == "E" {
			portal.tag = "ROLLBACK"
		}
		oracle.status = "I"
	case oracle.status == "E":
		oracle.expectError("ERROR:25P02:AW112")
		return false
	case portal.sql == "BEGIN":
		if oracle.status == "T" {
			oracle.expect("WARNING")
		}
		portal.tag, oracle.status = "BEGIN", "T"
	case portal.sql == oracleFail:
		oracle.expectError("ERROR:23505:")
		if oracle.status == "T" {
			oracle.status = "E"
		}
		return false
	case portal.sql == oracleSelect:
		portal.tag, portal.rows = "SELECT 3", oracleRows
	case portal.sql == oracleUpdate:
		portal.tag = "UPDATE 1"
	default:
		portal.tag, portal.rows = "SHOW", 1
	}
	portal.executed = true
	return true
}

// TestExtendedProtocolAgainstOracle sends random sequences of the extended
// protocol and compares the answers with those that the oracle predicts.
func TestExtendedProtocolAgainstOracle(t *testing.T) {
	fakeKernel := newFakeKernel(t, Spec{}, echo)
	rapid.Check(t, func(r *rapid.T) {
		rawCaller := openRaw(t, fakeKernel)
		defer func() { _ = rawCaller.conn.Close() }()
		oracle := newOracle()
		for range rapid.IntRange(1, 5).Draw(r, "batches") {
			oracle.expected = nil
			var batch []pgproto3.FrontendMessage
			for range rapid.IntRange(1, 12).Draw(r, "messages") {
				message := drawMessage(r, oracle)
				oracle.apply(message)
				batch = append(batch, message)
			}
			oracle.apply(&pgproto3.Sync{})
			rawCaller.send(append(batch, &pgproto3.Sync{})...)
			if got, want := rawCaller.readUntilReady(t), strings.Join(oracle.expected, " "); got != want {
				r.Fatalf("batch %+v\ngot  %s\nwant %s", batch, got, want)
			}
		}
	})
}

// drawMessage draws a message. In a failed transaction it draws no Describe,
// since the answer depends on which descriptions were loaded before.
func drawMessage(r *rapid.T, oracle *oracle) pgproto3.FrontendMessage {
	name := func(label string) string { return rapid.SampledFrom([]string{"", "a"}).Draw(r, label) }
	object := func() byte { return rapid.SampledFrom([]byte{'S', 'P'}).Draw(r, "object") }
	kinds := []string{"parse", "bind", "bind", "execute", "execute", "execute", "close", "describe"}
	if oracle.status == "E" {
		kinds = kinds[:len(kinds)-1]
	}
	switch rapid.SampledFrom(kinds).Draw(r, "message") {
	case "parse":
		return &pgproto3.Parse{Name: name("statement"), Query: rapid.SampledFrom(oracleStatements).Draw(r, "sql")}
	case "bind":
		return &pgproto3.Bind{DestinationPortal: name("portal"), PreparedStatement: name("statement")}
	case "execute":
		return &pgproto3.Execute{Portal: name("portal"), MaxRows: rapid.Uint32Range(0, 2).Draw(r, "limit")}
	case "close":
		return &pgproto3.Close{ObjectType: object(), Name: name("name")}
	default:
		return &pgproto3.Describe{ObjectType: object(), Name: name("name")}
	}
}
