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
	fakeKernel := newFakeKernel(t, Spec{}, echo)
	rawCaller := openRaw(t, fakeKernel)
	large := "SELECT " + strings.Repeat("x", maxHeldBytes/4)
	for _, name := range []string{"a", "b", "c", "c"} {
		rawCaller.send(&pgproto3.Parse{Name: name, Query: large}, &pgproto3.Sync{})
		is.Equal(rawCaller.readUntilReady(t), "I")
	}
	rawCaller.send(&pgproto3.Parse{Name: "d", Query: large}, &pgproto3.Sync{})
	is.Equal(rawCaller.readUntilReady(t), "ERROR:53000:AW201 I")
	rawCaller.send(&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Parse{Name: "d", Query: large}, &pgproto3.Sync{})
	is.Equal(rawCaller.readUntilReady(t), "I")
	fakeKernel.server.heldBytes.Add(maxHeldBytesTotal) // other callers
	rawCaller.send(&pgproto3.Parse{Name: "b", Query: "SELECT 1"}, &pgproto3.Sync{})
	is.Equal(rawCaller.readUntilReady(t), "ERROR:53000:AW201 I")
	rawCaller.send(&pgproto3.Terminate{})
	<-fakeKernel.closed
	is.Equal(fakeKernel.server.heldBytes.Load(), int64(maxHeldBytesTotal)) // those of the caller are released
}

func TestHeldRowsAreBounded(t *testing.T) {
	is := is.New(t)
	fakeKernel := newFakeKernel(t, Spec{}, func(request *model.Request) model.ReplySpec {
		results := echo(request).Answer.(*wire.Answer).Results()
		return model.ReplySpec{Answer: wire.NewAnswer(wire.AnswerSpec{Results: results, Size: maxHeldBytes/2 + 1})}
	})
	rawCaller := openRaw(t, fakeKernel)
	rawCaller.send(&pgproto3.Query{String: "BEGIN"})
	is.Equal(rawCaller.readUntilReady(t), "BEGIN T")
	fetch := func(portal string) string {
		rawCaller.send(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{DestinationPortal: portal},
			&pgproto3.Execute{Portal: portal, MaxRows: 1}, &pgproto3.Sync{})
		return rawCaller.readUntilReady(t)
	}
	is.Equal(fetch("a"), "row suspended T")
	is.Equal(fetch("b"), "ERROR:54000:AW303 T")
	rawCaller.send(&pgproto3.Close{ObjectType: 'P', Name: "a"}, &pgproto3.Sync{})
	is.Equal(rawCaller.readUntilReady(t), "T")
	is.Equal(fetch("b"), "row suspended T")
}
