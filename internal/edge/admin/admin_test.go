package admin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/edge/admin"
	"almondway.dev/almondway/internal/edge/schema"
	"almondway.dev/almondway/internal/proto/admpb"
)

const (
	readerToken   = "reader-token-0123456789"
	operatorToken = "operator-token-0123456789"
)

// fakeInbox answers each command with the next entry of results, or not at all if none
// is left. It calls onPost, if set, for each posted event.
type fakeInbox struct {
	answer  func(action event.AnswerOperator)
	results []event.Result
	posted  []event.Event
	onPost  func()
}

func (fakeInbox *fakeInbox) Post(received event.Event) {
	fakeInbox.posted = append(fakeInbox.posted, received)
	if fakeInbox.onPost != nil {
		fakeInbox.onPost()
	}
	command, ok := received.(event.CommandReceived)
	if !ok || len(fakeInbox.results) == 0 {
		return
	}
	result := fakeInbox.results[0]
	fakeInbox.results = fakeInbox.results[1:]
	fakeInbox.answer(event.NewAnswerOperator(command.CallID(), result))
	fakeInbox.answer(event.NewAnswerOperator(command.CallID(), result)) // a second result is dropped
}

type fakeInspector struct{ shared *state.State }

func (fakeInspector fakeInspector) Inspect(_ context.Context, read func(shared *state.State)) error {
	read(fakeInspector.shared)
	return nil
}

type fakeLogging struct {
	level  string
	sample int
}

func (fakeLogging *fakeLogging) Level() string { return fakeLogging.level }

func (fakeLogging *fakeLogging) SetLevel(level string) error {
	fakeLogging.level = level
	return nil
}

func (fakeLogging *fakeLogging) Sample() int { return fakeLogging.sample }

func (fakeLogging *fakeLogging) SetSample(sample int) error {
	fakeLogging.sample = sample
	return nil
}

type fixture struct {
	inbox  *fakeInbox
	shared *state.State
	server *httptest.Server
}

func newFixture(t *testing.T, tokens *admin.Tokens, results ...event.Result) *fixture {
	t.Helper()
	shared := state.New(model.NewProxyView("proxy-1", "127.0.0.1:1", "dc", 0, false, 0))
	shared.SetGroups([]model.Group{model.NewGroup("katalog-1", []model.Instance{model.NewInstance("katalog-1-a", "127.0.0.1:2", "dc")})})
	inbox := &fakeInbox{results: results}
	api := admin.New(admin.Spec{
		Proxy:     "proxy-1",
		Started:   time.Now(),
		Tokens:    tokens,
		Inspector: fakeInspector{shared: shared},
		Logging:   &fakeLogging{level: "info"},
		Drain:     func() { inbox.Post(event.NewShutdownRequested(tune.Default().DrainLimit)) },
	}, inbox)
	inbox.answer = api.Answer
	mux := http.NewServeMux()
	mux.Handle(api.Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return &fixture{inbox: inbox, shared: shared, server: server}
}

func (fixture *fixture) client(token string) admpb.AdminServiceClient {
	bearer := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				request.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, request)
		}
	})
	return admpb.NewAdminServiceClient(fixture.server.Client(), fixture.server.URL, connect.WithInterceptors(bearer))
}

func newOpenTokens(t *testing.T) *admin.Tokens {
	t.Helper()
	tokens, err := admin.NewTokens("", "", true, func(error) {})
	is.New(t).NoErr(err)
	return tokens
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// resultCode returns the number in the ResultCode detail of an error, or 0 without one.
func resultCode(err error) codes.Code {
	connectErr := new(connect.Error)
	if err == nil || !asConnectError(err, &connectErr) {
		return 0
	}
	for _, detail := range connectErr.Details() {
		if value, err := detail.Value(); err == nil {
			if message, ok := value.(*admpb.ResultCode); ok {
				return codes.Code(message.GetNumber())
			}
		}
	}
	return 0
}

func deployment(group model.GroupID) *admpb.Deployment {
	return schema.FromDeployment(model.NewDeployment(model.DeploymentSpec{
		Name:      "gradski",
		Groups:    []model.GroupID{group},
		Kinds:     []model.Kind{model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead, Staleness: 5 * time.Second})},
		Classes:   []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{Name: "student"})},
		LagPolicy: model.LagWait,
	}))
}

func TestApplyDeployment(t *testing.T) {
	conflict := event.NewCommandFailed(codes.RevisionConflict, "revision 4 by mira", time.Second)
	tests := []struct {
		name     string
		group    model.GroupID
		changeID string
		result   event.Result
		want     codes.Code
		status   connect.Code
	}{
		{name: "accepted", group: "katalog-1", changeID: "c-1", result: event.NewChangeAccepted(5, 2, 3)},
		{name: "conflict", group: "katalog-1", changeID: "c-1", result: conflict, want: codes.RevisionConflict, status: connect.CodeAborted},
		{name: "group not listed", group: "katalog-9", changeID: "c-1", want: codes.InvalidDeployment, status: connect.CodeInvalidArgument},
		{name: "missing change id", group: "katalog-1", want: codes.InvalidDeployment, status: connect.CodeInvalidArgument},
		{name: "unexpected result type", group: "katalog-1", changeID: "c-1", result: event.NewHistory(nil), want: codes.Internal, status: connect.CodeInternal},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(t, newOpenTokens(t), test.result)
			response, err := fixture.client("").ApplyDeployment(t.Context(), connect.NewRequest(&admpb.ApplyDeploymentRequest{
				Deployment:       deployment(test.group),
				ExpectedRevision: 4,
				ChangeId:         test.changeID,
				Operator:         "ivo",
			}))
			is.Equal(resultCode(err), test.want)
			if test.want != codes.OK {
				is.Equal(connect.CodeOf(err), test.status)
				return
			}
			is.NoErr(err)
			is.Equal(response.Msg.GetRevision(), uint64(5))
			command := fixture.inbox.posted[0].(event.CommandReceived).Command().(event.ApplyDeployment)
			is.Equal(command.ExpectedRevision(), uint64(4))
			is.Equal(command.ChangeID(), "c-1")
			is.Equal(command.Operator(), "ivo")
			is.Equal(command.Deployment().LagPolicy(), model.LagWait)
		})
	}
}

func TestCanceledWhileWaiting(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, newOpenTokens(t))
	ctx, cancel := context.WithCancel(t.Context())
	fixture.inbox.onPost = cancel
	_, err := fixture.client("").DeleteDeployment(ctx, connect.NewRequest(&admpb.DeleteDeploymentRequest{Name: "gradski", ChangeId: "c"}))
	is.Equal(connect.CodeOf(err), connect.CodeCanceled)
}

func TestStatusAndDrain(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, newOpenTokens(t))
	fixture.shared.SetDeployments(7, []*model.Deployment{schema.ToDeployment(deployment("katalog-1"))})
	client := fixture.client("")
	status, err := client.GetStatus(t.Context(), connect.NewRequest(&admpb.GetStatusRequest{}))
	is.NoErr(err)
	is.Equal(status.Msg.GetRevision(), uint64(7))
	is.True(status.Msg.GetRevisionKnown())
	is.Equal(status.Msg.GetGroupsWithoutPrimary(), int32(1))

	_, err = client.DrainProxy(t.Context(), connect.NewRequest(&admpb.DrainProxyRequest{Proxy: "proxy-2"}))
	is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	is.Equal(len(fixture.inbox.posted), 0)
	_, err = client.DrainProxy(t.Context(), connect.NewRequest(&admpb.DrainProxyRequest{Proxy: "proxy-1"}))
	is.NoErr(err)
	is.Equal(fixture.inbox.posted, []event.Event{event.NewShutdownRequested(tune.Default().DrainLimit)})
}

func TestWatchDeployments(t *testing.T) {
	is := is.New(t)
	fixture := newFixture(t, newOpenTokens(t))
	fixture.shared.SetDeployments(3, []*model.Deployment{schema.ToDeployment(deployment("katalog-1"))})
	stream, err := fixture.client("").WatchDeployments(t.Context(), connect.NewRequest(&admpb.WatchDeploymentsRequest{}))
	is.NoErr(err)
	is.True(stream.Receive())
	is.Equal(stream.Msg().GetRevision(), uint64(3))
	is.Equal(stream.Msg().GetDeployments()[0].GetName(), "gradski")
	is.NoErr(stream.Close())
}
