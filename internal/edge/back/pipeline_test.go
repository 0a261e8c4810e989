package back

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

func TestOpenFailures(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := listener.Addr().String()
	is.NoErr(listener.Close())
	tests := []struct {
		name         string
		startupReply reply
		closed       bool
		reason       model.ConnFailure
	}{
		{"refused", reply{}, true, model.ConnFailureRefused},
		{"full", reply{state: wire.SQLStateTooManyConnections, fatal: true}, false, model.ConnFailureFull},
		{"leaving", reply{state: wire.SQLStateAdminShutdown, fatal: true}, false, model.ConnFailureLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			posted := make(events, 4)
			backend, err := New(Spec{}, posted)
			is.NoErr(err)
			instance := newInstance(t, oneRowReply)
			instance.startupReply = test.startupReply
			address := instance.address()
			if test.closed {
				address = closed
			}
			backend.Open(event.NewOpenConn(4, "katalog-1-a", address))
			is.Equal(posted.next(t), event.NewConnFailed(4, test.reason))
			backend.Probe(event.NewProbe(6, "katalog-1-a", address, testTimeout))
			is.Equal(posted.next(t), event.NewProbeFailed(6, "katalog-1-a", test.reason))
		})
	}
}

func TestProbesAndOrders(t *testing.T) {
	is := is.New(t)
	row := [][]byte{[]byte("t"), []byte("33554433"), []byte("replica"), []byte("16777216"), []byte("12"), []byte("katalog-1-b"), []byte("1500"), []byte("t")}
	probed, release := make(chan struct{}), make(chan struct{})
	fixture := newFixture(t, Spec{}, func(sql string) reply {
		if sql == wire.StatusSQL {
			close(probed)
			<-release
		}
		return reply{rows: [][][]byte{row}, tag: "SELECT 1"}
	})
	address := fixture.instance.address()
	status := model.NewStatus(model.NewTerm(2, 1), model.RoleReplica, model.NewMark(model.NewTerm(1, 0), 12), "katalog-1-b", 1500*time.Microsecond, true)
	fixture.backend.Probe(event.NewProbe(1, "katalog-1-a", address, testTimeout))
	<-probed
	orders := []struct {
		order event.Order
		sql   string
	}{
		{event.NewFence(model.NewTerm(2, 1)), "SELECT * FROM platform_fence('33554433')"},
		{event.NewPromote(model.NewTerm(2, 1)), "SELECT * FROM platform_promote('33554433')"},
		{event.NewFollow(model.NewTerm(2, 1), "katalog-1-b", "127.0.0.1:9"), "SELECT * FROM platform_follow('33554433', 'katalog-1-b', '127.0.0.1:9')"},
	}
	for index, test := range orders {
		fixture.backend.Order(event.NewSendOrder(model.OrderID(index), "katalog-1-a", address, test.order, testTimeout))
		is.Equal(fixture.events.next(t), event.NewOrderAnswered(model.OrderID(index), "katalog-1-a", true, status))
		statements, _ := fixture.instance.received()
		is.Equal(statements[len(statements)-1], test.sql)
	}
	close(release)
	is.Equal(fixture.events.next(t), event.NewStatusReported(1, "katalog-1-a", status))
}

// TestProbeOfEmptyLog checks that a probe accepts the zero mark, which an instance
// reports after it was replaced by an empty one.
func TestProbeOfEmptyLog(t *testing.T) {
	is := is.New(t)
	row := [][]byte{[]byte("t"), []byte("0"), []byte("replica"), []byte("0"), []byte("0"), nil, []byte("0"), []byte("f")}
	instance := newInstance(t, func(string) reply { return reply{rows: [][][]byte{row}, tag: "SELECT 1"} })
	instance.mark = "0/0"
	posted := make(events, 4)
	backend, err := New(Spec{}, posted)
	is.NoErr(err)
	backend.Probe(event.NewProbe(1, "katalog-1-a", instance.address(), testTimeout))
	empty := model.NewStatus(0, model.RoleReplica, model.Mark{}, "", 0, false)
	is.Equal(posted.next(t), event.NewStatusReported(1, "katalog-1-a", empty))
}

// TestExecuteWithoutMark checks that a statement is reported as lost if the
// instance reports no log position for it.
func TestExecuteWithoutMark(t *testing.T) {
	is := is.New(t)
	instance := newInstance(t, oneRowReply)
	instance.mark = "0/0"
	posted := make(events, 4)
	backend, err := New(Spec{}, posted)
	is.NoErr(err)
	backend.Open(event.NewOpenConn(4, "katalog-1-a", instance.address()))
	is.Equal(posted.next(t), event.NewConnOpened(4))
	work := model.NewWork(model.WorkSpec{Statement: wire.NewStatement(wire.StatementSpec{SQL: "SELECT 1", Simple: true}), Timeout: testTimeout})
	backend.Execute(event.NewExecute(5, 4, work))
	is.Equal(posted.next(t), event.NewExecuteFailed(5, 4, model.FailureLost, false, model.Mark{}, nil))
}
