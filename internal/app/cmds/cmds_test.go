package cmds_test

import (
	"bytes"
	"context"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/app/cmds"
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/edge/admin"
	"almondway.dev/almondway/internal/edge/schema"
	"almondway.dev/almondway/internal/proto/admpb"
)

const example = "../../../examples/gradski.yaml"

// fakeKernel stands in for the kernel and its plug-ins. It answers commands with prepared results.
type fakeKernel struct {
	answer        func(action event.AnswerOperator)
	shared        *state.State
	applyResults  []event.Result
	changes       []model.Change
	applyCommands []event.ApplyDeployment
	drainCount    int
	handler       http.Handler
}

func (fakeKernel *fakeKernel) Post(posted event.Event) {
	received := posted.(event.CommandReceived)
	switch command := received.Command().(type) {
	case event.ApplyDeployment:
		fakeKernel.applyCommands = append(fakeKernel.applyCommands, command)
		result := fakeKernel.applyResults[0]
		fakeKernel.applyResults = fakeKernel.applyResults[1:]
		fakeKernel.reply(received, result)
	case event.GetHistory:
		fakeKernel.reply(received, event.NewHistory(fakeKernel.changes))
	case event.GetGroups:
		views := make([]model.GroupView, 0)
		for _, group := range fakeKernel.shared.Groups() {
			views = append(views, group.View(0))
		}
		fakeKernel.reply(received, event.NewGroups(views))
	case event.Switchover:
		fakeKernel.reply(received, event.NewCommandFailed(codes.SwitchoverFailed, "no replica is near", time.Second))
	}
}

func (fakeKernel *fakeKernel) reply(received event.CommandReceived, result event.Result) {
	fakeKernel.answer(event.NewAnswerOperator(received.CallID(), result))
}

func (fakeKernel *fakeKernel) Inspect(_ context.Context, read func(shared *state.State)) error {
	read(fakeKernel.shared)
	return nil
}

func (fakeKernel *fakeKernel) Level() string { return "info" }

func (fakeKernel *fakeKernel) SetLevel(string) error { return nil }

func (fakeKernel *fakeKernel) Sample() int { return 1 }

func (fakeKernel *fakeKernel) SetSample(int) error { return nil }

type result struct {
	code        int
	output      string
	errorOutput string
}

func run(args ...string) result {
	var output, errorOutput bytes.Buffer
	code := cmds.Run(args, &output, &errorOutput)
	return result{code: code, output: output.String(), errorOutput: errorOutput.String()}
}

// startAdminServer starts an administration API that uses kernel and returns its URL.
func startAdminServer(t *testing.T, kernel *fakeKernel, tokens *admin.Tokens) string {
	t.Helper()
	kernel.shared = state.New(model.NewProxyView("proxy-1", "127.0.0.1:1", "dc", 0, false, 0))
	kernel.shared.SetGroups([]model.Group{
		model.NewGroup("katalog-1", []model.Instance{model.NewInstance("katalog-1-a", "127.0.0.1:2", "dc")}),
		model.NewGroup("katalog-2", nil),
	})
	served := admin.New(admin.Spec{
		Proxy: "proxy-1", Started: time.Now(), Tokens: tokens, Inspector: kernel, Logging: kernel,
		Settings: []*admpb.Setting{{Flag: "listen", Env: "ALMONDWAY_LISTEN", Value: "127.0.0.1:6432"}},
		Drain:    func() { kernel.drainCount++ },
	}, kernel)
	kernel.answer = served.Answer
	mux := http.NewServeMux()
	mux.Handle(served.Handler())
	kernel.handler = mux
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func newOpenTokens(t *testing.T) *admin.Tokens {
	t.Helper()
	tokens, err := admin.NewTokens("", "", true, func(error) {})
	is.New(t).NoErr(err)
	return tokens
}

func TestApply(t *testing.T) {
	is := is.New(t)
	lost := event.NewCommandFailed(codes.AcceptanceUnknown, "", time.Second)
	kernel := &fakeKernel{applyResults: []event.Result{lost, event.NewChangeAccepted(1, 3, 3)}}
	url := startAdminServer(t, kernel, newOpenTokens(t))
	done := run("deployment", "apply", example, "--admin", url, "--operator", "mira")
	is.Equal(done.errorOutput, "")
	is.Equal(done.code, cmds.ExitOK)
	is.True(strings.Contains(done.output, "+ kinds.seat_count: read fresh timeout=3s\n"))
	is.True(strings.Contains(done.output, "gradski: revision 1 accepted, in force on 3 of 3 proxies\n"))
	is.Equal(len(kernel.applyCommands), 2) // the change with a lost answer was sent again
	is.Equal(kernel.applyCommands[0].ChangeID(), kernel.applyCommands[1].ChangeID())
	is.Equal(kernel.applyCommands[0].ExpectedRevision(), uint64(0))
	is.Equal(kernel.applyCommands[0].Operator(), "mira")
}

func TestApplyConflict(t *testing.T) {
	is := is.New(t)
	kernel := &fakeKernel{
		applyResults: []event.Result{event.NewCommandFailed(codes.RevisionConflict, "revision 8 is in force", 0)},
		changes: []model.Change{
			model.NewChange(8, "gradski", "c-8", "ivo", time.Unix(1, 0), false, nil),
			model.NewChange(7, "gradski", "c-7", "ana", time.Unix(0, 0), false, nil),
		},
	}
	url := startAdminServer(t, kernel, newOpenTokens(t))
	conflict := run("deployment", "apply", example, "--admin", url, "--expected-revision", "7")
	is.Equal(conflict.code, cmds.ExitConflict)
	is.Equal(kernel.applyCommands[0].ExpectedRevision(), uint64(7))
	is.True(strings.Contains(conflict.errorOutput, "AW401 revision_conflict: revision 8 is in force"))
	is.True(strings.Contains(conflict.errorOutput, `revision 8 by "ivo" at 1970-01-01T00:00:01Z, change id c-8`))
	is.True(!strings.Contains(conflict.errorOutput, "ana"))
}

// A change that was accepted although its sender received no answer is found by its change id.
func TestApplyRepeatedChangeID(t *testing.T) {
	is := is.New(t)
	kernel := &fakeKernel{applyResults: []event.Result{event.NewChangeAccepted(1, 1, 1)}}
	url := startAdminServer(t, kernel, newOpenTokens(t))
	is.Equal(run("deployment", "apply", example, "--admin", url, "--change-id", "c-1").code, cmds.ExitOK)
	deployed := kernel.applyCommands[0].Deployment().WithRevision(1)
	kernel.changes = []model.Change{model.NewChange(1, "gradski", "c-1", "mira", time.Unix(0, 0), false, deployed)}
	kernel.shared.SetDeployments(1, []*model.Deployment{deployed})
	again := run("deployment", "apply", example, "--admin", url, "--change-id", "c-1")
	is.Equal(again.output, "gradski: revision 1 was accepted under this change id\n")
	same := run("deployment", "apply", example, "--admin", url)
	is.Equal(same.output, "gradski: revision 1 is in force and the same\n")
	is.Equal(len(kernel.applyCommands), 1)
}

func TestDiffAndGet(t *testing.T) {
	is := is.New(t)
	kernel := &fakeKernel{}
	url := startAdminServer(t, kernel, newOpenTokens(t))
	is.Equal(run("deployment", "diff", example, "--admin", url).code, cmds.ExitDiffers)
	is.Equal(run("deployment", "get", "gradski", "--admin", url).code, cmds.ExitNotFound)

	deployed := model.NewDeployment(model.DeploymentSpec{
		Name: "gradski", Revision: 4, Groups: []model.GroupID{"katalog-1"},
		Kinds:   []model.Kind{model.NewKind(model.KindSpec{Name: "browse", Access: model.AccessRead, Staleness: time.Second})},
		Classes: []model.CallerClass{model.NewCallerClass(model.CallerClassSpec{Name: "student"})},
	})
	kernel.shared.SetDeployments(4, []*model.Deployment{deployed})
	got := run("deployment", "get", "gradski", "--admin", url, "--output", "json")
	is.Equal(got.code, cmds.ExitOK)
	path := filepath.Join(t.TempDir(), "again.json")
	is.NoErr(os.WriteFile(path, []byte(got.output), 0o600))
	same := run("deployment", "diff", path, "--admin", url) // the output of get is a deployment file
	is.Equal(same, result{})
	differs := run("deployment", "diff", example, "--admin", url)
	is.True(strings.Contains(differs.output, "~ kinds.browse: read staleness=1s -> read staleness=5s timeout=2s\n"))
}

func TestExitCodes(t *testing.T) {
	operators := filepath.Join(t.TempDir(), "operators")
	is.New(t).NoErr(os.WriteFile(operators, []byte("mira operator-token-0123456789\n"), 0o600))
	tokens, err := admin.NewTokens("", operators, true, func(error) {})
	is.New(t).NoErr(err)
	kernel := &fakeKernel{}
	url := startAdminServer(t, kernel, tokens)
	tests := []struct {
		name      string
		args      []string
		code      int
		errorText string
	}{
		{name: "unknown command", args: []string{"fly"}, code: cmds.ExitUsage, errorText: "unknown command"},
		{name: "parent alone", args: []string{"group"}, code: cmds.ExitUsage, errorText: "needs a command"},
		{name: "bad settings", args: []string{"proxy", "--listen", "x", "--max-callers", "0"}, code: cmds.ExitUsage, errorText: "AW502 setting_invalid"},
		{name: "bad file", args: []string{"check", "../parse/parse.go"}, code: cmds.ExitUsage, errorText: "AW402 invalid_deployment"},
		{name: "bad output", args: []string{"status", "--output", "xml"}, code: cmds.ExitUsage, errorText: "neither table nor json"},
		{name: "no token", args: []string{"status", "--admin", url}, code: cmds.ExitAccess, errorText: "AW404 unauthenticated"},
		{name: "token", args: []string{"status", "--admin", url, "--token-file", operators}, code: cmds.ExitOK},
		{name: "no proxy at the address", args: []string{"status", "--admin", "http://127.0.0.1:1"}, code: cmds.ExitUnavailable, errorText: "refused"},
		{name: "unknown group", args: []string{"group", "show", "x", "--admin", url, "--token-file", operators}, code: cmds.ExitNotFound, errorText: `no group "x"`},
		{name: "switchover refused", args: []string{"group", "switchover", "katalog-1", "--admin", url, "--token-file", operators}, code: cmds.ExitFailed, errorText: "no replica is near"},
		{name: "other proxy", args: []string{"drain", "proxy", "proxy-2", "--admin", url, "--token-file", operators}, code: cmds.ExitUsage, errorText: `this is "proxy-1"`},
		{name: "drain", args: []string{"drain", "proxy", "proxy-1", "--admin", url, "--token-file", operators}, code: cmds.ExitOK},
		{name: "check", args: []string{"check", example}, code: cmds.ExitOK},
		{name: "settings", args: []string{"settings", "-o", "json", "--admin", url, "--token-file", operators}, code: cmds.ExitOK},
		{name: "nothing to change", args: []string{"logging", "--admin", url}, code: cmds.ExitUsage, errorText: "neither --level nor --sample"},
		{name: "version", args: []string{"version"}, code: cmds.ExitOK},
		{name: "codes", args: []string{"codes", "-o", "json"}, code: cmds.ExitOK},
		{name: "completion", args: []string{"completion", "bash"}, code: cmds.ExitOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			done := run(test.args...)
			is.Equal(done.code, test.code)
			is.True(strings.Contains(done.errorOutput, test.errorText))
			is.True(!strings.Contains(done.errorOutput+done.output, "operator-token"))
		})
	}
	is.New(t).Equal(kernel.drainCount, 1)
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	kernel := &fakeKernel{}
	url := startAdminServer(t, kernel, newOpenTokens(t))
	kernel.shared.SetDeployments(3, []*model.Deployment{model.NewDeployment(model.DeploymentSpec{Name: "gradski", Revision: 2})})
	watched := run("deployment", "watch", "--admin", url, "--timeout", "300ms")
	is.Equal(watched, result{output: "revision 3: gradski@2\n"})
}

func TestTLS(t *testing.T) {
	is := is.New(t)
	kernel := &fakeKernel{}
	startAdminServer(t, kernel, newOpenTokens(t))
	server := httptest.NewTLSServer(kernel.handler)
	t.Cleanup(server.Close)
	path := filepath.Join(t.TempDir(), "ca.pem")
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600))
	is.Equal(run("status", "--admin", server.URL, "--ca-file", path).code, cmds.ExitOK)
	is.Equal(run("status", "--admin", server.URL).code, cmds.ExitUnavailable) // the certificate is not trusted
	is.Equal(run("status", "--admin", server.URL, "--ca-file", example).code, cmds.ExitUsage)
}

func TestSchemaRoundTrip(t *testing.T) {
	is := is.New(t)
	kernel := &fakeKernel{applyResults: []event.Result{event.NewChangeAccepted(1, 1, 1)}}
	url := startAdminServer(t, kernel, newOpenTokens(t))
	is.Equal(run("deployment", "apply", example, "--admin", url).code, cmds.ExitOK)
	sent := kernel.applyCommands[0].Deployment()
	again := schema.ToDeployment(schema.FromDeployment(sent))
	is.Equal(again, sent)
	client := admpb.NewAdminServiceClient(http.DefaultClient, url)
	_, err := client.GetDeployment(t.Context(), connect.NewRequest(&admpb.GetDeploymentRequest{Name: "none"}))
	is.Equal(connect.CodeOf(err), connect.CodeNotFound)
}
