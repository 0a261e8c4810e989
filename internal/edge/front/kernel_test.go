package front

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

const (
	oidText = 25
	oidInt8 = 20
)

// fakeKernel tracks the transaction state of each caller and answers statements
// with the result of respond.
type fakeKernel struct {
	server  *Server
	respond func(request *model.Request) model.ReplySpec
	events  chan event.Event
	end     chan struct{}

	mutex    sync.Mutex
	states   map[model.CallerID]model.TxState
	requests []*model.Request
	canceled chan model.CallerID
	closed   chan model.CallerID
}

// Post implements port.Inbox.
func (fakeKernel *fakeKernel) Post(received event.Event) {
	select {
	case fakeKernel.events <- received:
	case <-fakeKernel.end:
	}
}

func newFakeKernel(t testing.TB, spec Spec, respond func(request *model.Request) model.ReplySpec) *fakeKernel {
	t.Helper()
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	fakeKernel := &fakeKernel{
		respond:  respond,
		events:   make(chan event.Event, 64),
		end:      make(chan struct{}),
		states:   make(map[model.CallerID]model.TxState),
		canceled: make(chan model.CallerID, 16),
		closed:   make(chan model.CallerID, 16),
	}
	if spec.Address == "" {
		spec.Address = "127.0.0.1:0"
	}
	server, err := New(spec, fakeKernel, logger)
	is.NoErr(err)
	fakeKernel.server = server
	is.NoErr(server.Start())
	go fakeKernel.run()
	t.Cleanup(func() {
		server.Shutdown()
		close(fakeKernel.end)
	})
	return fakeKernel
}

func (fakeKernel *fakeKernel) run() {
	for {
		select {
		case received := <-fakeKernel.events:
			fakeKernel.handle(received)
		case <-fakeKernel.end:
			return
		}
	}
}

func (fakeKernel *fakeKernel) handle(received event.Event) {
	switch received := received.(type) {
	case event.CallerOpened:
		if received.Deployment() == "unknown" {
			fakeKernel.server.Refuse(event.NewRefuseCaller(received.Caller(), codes.UnknownDeployment, "", 0))
			return
		}
		fakeKernel.server.Accept(event.NewAcceptCaller(received.Caller()))
	case event.RequestReceived:
		fakeKernel.answer(received.Request())
	case event.CancelReceived:
		fakeKernel.canceled <- received.Caller()
	case event.CallerClosed:
		select {
		case fakeKernel.closed <- received.Caller():
		default: // tests receive fewer than the buffer holds
		}
	}
}

func (fakeKernel *fakeKernel) answer(request *model.Request) {
	fakeKernel.mutex.Lock()
	defer fakeKernel.mutex.Unlock()
	fakeKernel.requests = append(fakeKernel.requests, request)
	spec := model.ReplySpec{}
	state := fakeKernel.states[request.Caller()]
	switch request.Op() {
	case model.OpBegin:
		state = model.TxOpen
	case model.OpCommit, model.OpRollback:
		state = model.TxNone
	default:
		if state == model.TxFailed {
			spec = model.ReplySpec{Code: codes.TransactionState, Outcome: model.OutcomeNotRun}
			break
		}
		spec = fakeKernel.respond(request)
		if spec.Code != codes.OK && state == model.TxOpen {
			state = model.TxFailed
		}
	}
	fakeKernel.states[request.Caller()] = state
	spec.TxState = state
	spec.Seq, spec.Caller = request.Seq(), request.Caller()
	fakeKernel.server.Answer(event.NewAnswerCaller(model.NewReply(spec)))
	fakeKernel.server.Answer(event.NewAnswerCaller(model.NewReply(spec)))
}

// lastRequest returns the most recent request.
func (fakeKernel *fakeKernel) lastRequest() *model.Request {
	fakeKernel.mutex.Lock()
	defer fakeKernel.mutex.Unlock()
	return fakeKernel.requests[len(fakeKernel.requests)-1]
}

// operations returns the operations of all requests, separated by spaces.
func (fakeKernel *fakeKernel) operations() string {
	fakeKernel.mutex.Lock()
	defer fakeKernel.mutex.Unlock()
	names := map[model.Op]string{
		model.OpStatement: "statement", model.OpBegin: "begin", model.OpCommit: "commit",
		model.OpRollback: "rollback", model.OpDescribe: "describe",
	}
	var text []string
	for _, request := range fakeKernel.requests {
		text = append(text, names[request.Op()])
	}
	return strings.Join(text, " ")
}

// url returns a connection string for the drivers. The parameters start with "&".
func (fakeKernel *fakeKernel) url(parameters string) string {
	return fmt.Sprintf("postgres://registrar@%s/katalog?sslmode=disable%s", fakeKernel.server.Address(), parameters)
}

// echo answers a SELECT with three equal rows that have the parameters, a
// statement that contains "fail" with an error of the database, and any other
// with the tag of an UPDATE.
func echo(request *model.Request) model.ReplySpec {
	statement := request.Statement().(*wire.Statement)
	text := statement.SQL()
	if strings.Contains(text, "fail") {
		response := &pgproto3.ErrorResponse{Severity: "ERROR", Code: "23505", Message: "duplicate key"}
		return model.ReplySpec{Code: codes.Statement, Answer: wire.NewFailure(response)}
	}
	if request.Op() == model.OpDescribe {
		types := make([]uint32, strings.Count(text, "$"))
		for index := range types {
			types[index] = oidText
		}
		return model.ReplySpec{Answer: wire.NewDescription(types, echoFields(text))}
	}
	if echoFields(text) == nil {
		return model.ReplySpec{Answer: wire.NewAnswer(wire.AnswerSpec{Results: []wire.Result{wire.NewResult(nil, nil, "UPDATE 1")}})}
	}
	row := append([][]byte{[]byte("seats")}, statement.Params()...)
	for len(row) < len(echoFields(text)) {
		row = append(row, nil)
	}
	result := wire.NewResult(echoFields(text), [][][]byte{row, row, row}, "SELECT 3")
	return model.ReplySpec{Answer: wire.NewAnswer(wire.AnswerSpec{Results: []wire.Result{result}, Size: 16})}
}

func echoFields(text string) []pgproto3.FieldDescription {
	if !strings.Contains(text, "SELECT") {
		return nil
	}
	fields := []pgproto3.FieldDescription{{Name: []byte("name"), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1}}
	for index := range strings.Count(text, "$") {
		fields = append(fields, pgproto3.FieldDescription{
			Name: fmt.Appendf(nil, "param%d", index), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
		})
	}
	return fields
}
