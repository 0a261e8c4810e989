package cmds

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/proto/admpb"
)

// The environment variables of the operator's commands.
const (
	envAdmin     = "ALMONDWAY_ADMIN"
	envTokenFile = "ALMONDWAY_TOKEN_FILE"
	envCAFile    = "ALMONDWAY_CA_FILE"
)

const (
	defaultAdminURL = "http://127.0.0.1:6434"
	defaultTimeout  = 15 * time.Second
	outputTable     = "table"
	outputJSON      = "json"
	outputMarkdown  = "markdown"
)

// clientFlags are the flags of the commands that call a proxy.
type clientFlags struct {
	admin     string
	tokenFile string
	caFile    string
	timeout   time.Duration
	output    string
}

func addClientFlags(command *cobra.Command) *clientFlags {
	flags := &clientFlags{}
	set := command.Flags()
	set.StringVar(&flags.admin, "admin", envOr(envAdmin, defaultAdminURL), "URL of a proxy's administration address ("+envAdmin+")")
	set.StringVar(&flags.tokenFile, "token-file", os.Getenv(envTokenFile), "file with the bearer token ("+envTokenFile+")")
	set.StringVar(&flags.caFile, "ca-file", os.Getenv(envCAFile), "file with the certificates to trust, instead of the system's ("+envCAFile+")")
	set.DurationVar(&flags.timeout, "timeout", defaultTimeout, "time after which the command gives up")
	set.StringVarP(&flags.output, "output", "o", outputTable, "form of the output: table or json")
	return flags
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// newClient returns a client of the administration API.
func (clientFlags *clientFlags) newClient() (admpb.AdminServiceClient, error) {
	if clientFlags.output != outputTable && clientFlags.output != outputJSON {
		return nil, usageError(errors.Errorf("--output: %q is neither table nor json", clientFlags.output))
	}
	token, err := readToken(clientFlags.tokenFile)
	if err != nil {
		return nil, usageError(err)
	}
	client, err := httpClient(clientFlags.caFile)
	if err != nil {
		return nil, usageError(err)
	}
	return admpb.NewAdminServiceClient(client, strings.TrimSuffix(clientFlags.admin, "/"), connect.WithInterceptors(bearerInterceptor{token: token})), nil
}

// call calls a proxy. Errors of the calls that do makes get their exit codes.
func (clientFlags *clientFlags) call(command *cobra.Command, do func(ctx context.Context, client admpb.AdminServiceClient) error) error {
	client, err := clientFlags.newClient()
	if err != nil {
		return err
	}
	parent := command.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithTimeout(parent, clientFlags.timeout)
	defer cancel()
	return withExitCode(do(ctx, client))
}

func httpClient(caFile string) (*http.Client, error) {
	if caFile == "" {
		return &http.Client{}, nil
	}
	content, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, errors.Errorf("file %q holds no certificate", caFile)
	}
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12},
		ForceAttemptHTTP2: true,
	}
	return &http.Client{Transport: transport}, nil
}

// readToken returns the last word of the first line that is no comment, so that
// the file may be the proxy's own, with a name before the token.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read token file")
	}
	for _, line := range strings.Split(string(content), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 0 && !strings.HasPrefix(fields[0], "#") {
			return fields[len(fields)-1], nil
		}
	}
	return "", errors.Errorf("token file %q holds no token", path)
}

// bearerInterceptor adds the token to every call.
type bearerInterceptor struct {
	token string
}

// WrapUnary implements connect.Interceptor.
func (bearer bearerInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		bearer.setHeader(request.Header())
		return next(ctx, request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (bearer bearerInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		bearer.setHeader(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (bearer bearerInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

func (bearer bearerInterceptor) setHeader(header http.Header) {
	if bearer.token != "" {
		header.Set("Authorization", "Bearer "+bearer.token)
	}
}

// currentUsername returns the name of the user who runs the command.
func currentUsername() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
