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

// Environment variables of the commands that call a proxy.
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

// clientFlags holds the flags of the commands that call a proxy.
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
	set.StringVar(&flags.caFile, "ca-file", os.Getenv(envCAFile), "file with the CA certificates to trust instead of those of the system ("+envCAFile+")")
	set.DurationVar(&flags.timeout, "timeout", defaultTimeout, "time limit of the command")
	set.StringVarP(&flags.output, "output", "o", outputTable, "output format: table or json")
	return flags
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// newClient returns a client of the administration API. Its errors carry ExitUsage.
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

// call runs do with a client and with a context that ends at the timeout. Errors
// of do are returned with an exit code.
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
		return nil, errors.Errorf("file %q contains no certificate", caFile)
	}
	transport := &http.Transport{
		TLSClientConfig:   &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12},
		ForceAttemptHTTP2: true,
	}
	return &http.Client{Transport: transport}, nil
}

// readToken returns the last word of the first line that is not a comment, so
// the token file of a proxy, which may have a name before each token, can be used.
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
	return "", errors.Errorf("token file %q contains no token", path)
}

// bearerInterceptor adds the bearer token to the header of every call.
type bearerInterceptor struct {
	token string
}

// WrapUnary implements connect.Interceptor.
func (bearerInterceptor bearerInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		bearerInterceptor.setHeader(request.Header())
		return next(ctx, request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (bearerInterceptor bearerInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		bearerInterceptor.setHeader(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (bearerInterceptor bearerInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

func (bearerInterceptor bearerInterceptor) setHeader(header http.Header) {
	if bearerInterceptor.token != "" {
		header.Set("Authorization", "Bearer "+bearerInterceptor.token)
	}
}

// currentUsername returns the name of the operating system's user, or the empty string if it is unknown.
func currentUsername() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
