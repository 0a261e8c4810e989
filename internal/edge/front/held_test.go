package front

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

func TestHeldObjectsAreBounded(t *testing.T) {
	is := is.New(t)
	kernel := newFakeKernel(t, Spec{}, echo)
	raw := openRaw(t, kernel)
	large := "SELECT " + strings.Repeat("x", maxHeldBytes/4)
	for _, name := range []string{"a", "b", "c", "c"} {
		raw.send(&pgproto3.Parse{Name: name, Query: large}, &pgproto3.Sync{})
		is.Equal(raw.readUntilReady(t), "I")
	}
	raw.send(&pgproto3.Parse{Name: "d", Query: large}, &pgproto3.Sync{})
	is.Equal(raw.readUntilReady(t), "ERROR:53000:AW201 I")
	raw.send(&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Parse{Name: "d", Query: large}, &pgproto3.Sync{})
	is.Equal(raw.readUntilReady(t), "I")
	kernel.server.heldBytes.Add(maxHeldBytesTotal) // other callers
	raw.send(&pgproto3.Parse{Name: "b", Query: "SELECT 1"}, &pgproto3.Sync{})
	is.Equal(raw.readUntilReady(t), "ERROR:53000:AW201 I")
	raw.send(&pgproto3.Terminate{})
	<-kernel.closed
	is.Equal(kernel.server.heldBytes.Load(), int64(maxHeldBytesTotal)) // the caller's own are given back
}

func TestHeldRowsAreBounded(t *testing.T) {
	is := is.New(t)
	kernel := newFakeKernel(t, Spec{}, func(request *model.Request) model.ReplySpec {
		results := echo(request).Answer.(*wire.Answer).Results()
		return model.ReplySpec{Answer: wire.NewAnswer(wire.AnswerSpec{Results: results, Size: maxHeldBytes/2 + 1})}
	})
	raw := openRaw(t, kernel)
	raw.send(&pgproto3.Query{String: "BEGIN"})
	is.Equal(raw.readUntilReady(t), "BEGIN T")
	fetch := func(portal string) string {
		raw.send(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{DestinationPortal: portal},
			&pgproto3.Execute{Portal: portal, MaxRows: 1}, &pgproto3.Sync{})
		return raw.readUntilReady(t)
	}
	is.Equal(fetch("a"), "row suspended T")
	is.Equal(fetch("b"), "ERROR:54000:AW303 T")
	raw.send(&pgproto3.Close{ObjectType: 'P', Name: "a"}, &pgproto3.Sync{})
	is.Equal(raw.readUntilReady(t), "T")
	is.Equal(fetch("b"), "row suspended T")
}
