package admin_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/edge/admin"
	"almondway.dev/almondway/internal/proto/admpb"
)

func asConnectError(err error, target **connect.Error) bool { return errors.As(err, target) }

func TestRoles(t *testing.T) {
	tokens, err := admin.NewTokens(writeFile(t, "readers", readerToken+"\n"), writeFile(t, "operators", "# shift A\nmira "+operatorToken+"\n"), false, func(error) {})
	is.New(t).NoErr(err)
	tests := []struct {
		name    string
		token   string
		reading codes.Code
		writing codes.Code
	}{
		{name: "none", reading: codes.Unauthenticated, writing: codes.Unauthenticated},
		{name: "wrong", token: "wrong-token-0123456789", reading: codes.Unauthenticated, writing: codes.Unauthenticated},
		{name: "name instead of token", token: "mira", reading: codes.Unauthenticated, writing: codes.Unauthenticated},
		{name: "prefix", token: operatorToken[:len(operatorToken)-1], reading: codes.Unauthenticated, writing: codes.Unauthenticated},
		{name: "reader", token: readerToken, writing: codes.PermissionDenied},
		{name: "operator", token: operatorToken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(t, tokens, event.NewChangeAccepted(1, 1, 1))
			client := fixture.client(test.token)
			_, err := client.ListDeployments(t.Context(), connect.NewRequest(&admpb.ListDeploymentsRequest{}))
			is.Equal(resultCode(err), test.reading)
			is.True(test.token == "" || err == nil || !strings.Contains(err.Error(), test.token))
			_, err = client.ApplyDeployment(t.Context(), connect.NewRequest(&admpb.ApplyDeploymentRequest{
				Deployment: deployment("katalog-1"), ChangeId: "c-1", Operator: "somebody else",
			}))
			is.Equal(resultCode(err), test.writing)
			if test.writing != codes.OK {
				is.Equal(len(fixture.inbox.posted), 0)
				return
			}
			command := fixture.inbox.posted[0].(event.CommandReceived).Command().(event.ApplyDeployment)
			is.Equal(command.Operator(), "mira") // the name of the token takes precedence over the name in the request
		})
	}
}

func TestStreamRequiresToken(t *testing.T) {
	is := is.New(t)
	tokens, err := admin.NewTokens("", writeFile(t, "operators", operatorToken), true, func(error) {})
	is.NoErr(err)
	fixture := newFixture(t, tokens)
	stream, err := fixture.client("").WatchDeployments(t.Context(), connect.NewRequest(&admpb.WatchDeploymentsRequest{}))
	is.NoErr(err)
	is.True(!stream.Receive())
	is.Equal(resultCode(stream.Err()), codes.Unauthenticated)
}

func TestNewTokens(t *testing.T) {
	tests := []struct {
		name      string
		readers   string
		operators string
		loopback  bool
		wantErr   string
	}{
		{name: "no tokens, loopback", loopback: true},
		{name: "no tokens, not loopback", wantErr: "contains no token"},
		{name: "empty file, not loopback", operators: "# none\n\n", wantErr: "contains no token"},
		{name: "only reader tokens, not loopback", readers: readerToken, wantErr: "contains no token"},
		{name: "operator token, not loopback", operators: operatorToken},
		{name: "short", operators: "mira secret", loopback: true, wantErr: "operators:1: token is shorter"},
		{name: "too many fields", operators: "\na b " + operatorToken, loopback: true, wantErr: "operators:2: more than"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := admin.NewTokens(writeFile(t, "readers", test.readers), writeFile(t, "operators", test.operators), test.loopback, func(error) {})
			if test.wantErr == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.wantErr))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

func TestTokensReload(t *testing.T) {
	is := is.New(t)
	path := writeFile(t, "operators", operatorToken)
	var reloadErrors []error
	tokens, err := admin.NewTokens("", path, true, func(err error) { reloadErrors = append(reloadErrors, err) })
	is.NoErr(err)
	fixture := newFixture(t, tokens)
	list := func(token string) codes.Code {
		_, err := fixture.client(token).ListDeployments(t.Context(), connect.NewRequest(&admpb.ListDeploymentsRequest{}))
		return resultCode(err)
	}
	replace := func(content string, at time.Time) {
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
		is.NoErr(os.Chtimes(path, at, at))
	}
	replace("another-token-0123456789", time.Now().Add(time.Hour))
	is.Equal(list(operatorToken), codes.Unauthenticated)
	is.Equal(list("another-token-0123456789"), codes.OK)
	replace("short", time.Now().Add(2*time.Hour)) // after an invalid file the previous tokens stay valid
	is.Equal(list("another-token-0123456789"), codes.OK)
	is.Equal(len(reloadErrors), 1)
	replace("", time.Now().Add(3*time.Hour)) // an emptied file does not disable authentication
	is.Equal(list("another-token-0123456789"), codes.Unauthenticated)
	is.Equal(list(""), codes.Unauthenticated)
}
