package apart

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/stand/fleet"
	"almondway.dev/almondway/internal/stand/procs"
	"almondway.dev/almondway/internal/stand/topol"
)

const (
	testTimeout   = 60 * time.Second
	retryInterval = 20 * time.Millisecond
	groupID       = "katalog-1"
	// deploymentTemplate is a deployment file with a placeholder for the weight.
	deploymentTemplate = `
name: gradski
groups: [katalog-1]
weight: %d
default_kind: seat_count
kinds:
  - {name: seat_count, access: read, timeout: 5s}
  - {name: enrol, access: write, timeout: 5s}
callers:
  - {name: registrar, read_your_writes: true}
`
)

// programDir is the directory of the programs that runTests builds.
var programDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the programs that the tests start and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "almondway-programs-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "./cmd/almondway", "./cmd/standin")
	build.Dir = "../../.."
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %s: %s", err, output))
	}
	programDir = dir
	return m.Run()
}

// system is a running system of proxies and one group of three instances.
type system struct {
	*fleet.Fleet
	t   *testing.T
	is  *is.I
	ctx context.Context
}

func newSystem(t *testing.T, proxies int) *system {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	ports := procs.NewPortAllocator()
	topology := topol.Zagreb().Spec(ports)
	topology.Groups = topology.Groups[:1]
	started, err := fleet.New(fleet.Spec{Dir: t.TempDir(), Programs: programDir, Topology: topology, Ports: ports})
	is.NoErr(err)
	t.Cleanup(started.Stop)
	system := &system{Fleet: started, t: t, is: is, ctx: ctx}
	is.NoErr(started.StartBackend(ctx))
	for index := range proxies {
		_, err := started.StartProxy(topol.Zagreb().DataCenters()[index%3])
		is.NoErr(err)
	}
	for _, proxy := range started.Proxies() {
		is.NoErr(started.AwaitProxy(ctx, proxy))
	}
	is.NoErr(started.ApplyDeployment(ctx, system.writeDeploymentFile(1), "gradski"))
	return system
}

// writeDeploymentFile writes a deployment file with the given weight and returns its path.
func (system *system) writeDeploymentFile(weight int) string {
	path := filepath.Join(system.t.TempDir(), fmt.Sprintf("gradski-%d.yaml", weight))
	system.is.NoErr(os.WriteFile(path, []byte(fmt.Sprintf(deploymentTemplate, weight)), 0o600))
	return path
}

func (system *system) connect(proxy *fleet.Proxy) *pgconn.PgConn {
	system.t.Helper()
	conn, err := system.dial(proxy)
	system.is.NoErr(err)
	system.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
	})
	return conn
}

func (system *system) dial(proxy *fleet.Proxy) (*pgconn.PgConn, error) {
	return pgconn.Connect(system.ctx, "postgres://registrar@"+proxy.Address()+"/gradski?sslmode=disable")
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

func enrolRequest(id, sql string) string {
	return fmt.Sprintf("/*kind='enrol',group='%s',request_id='%s'*/ %s", groupID, id, sql)
}

func setValueSQL(key, value string) string {
	return fmt.Sprintf("INSERT INTO kv(key,value) VALUES ('%s','%s') ON CONFLICT (key) DO UPDATE SET value=EXCLUDED.value", key, value)
}

func addSeatSQL() string {
	return "UPDATE kv SET value = value + 1 WHERE key = 'seats'"
}

// exec runs a statement on a new connection.
func (system *system) exec(proxy *fleet.Proxy, sql string) error {
	conn, err := system.dial(proxy)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(system.ctx) }()
	_, err = conn.Exec(system.ctx, sql).ReadAll()
	return err
}

// execUntilDone retries a request under its request ID until it succeeds.
func (system *system) execUntilDone(proxy *fleet.Proxy, sql string) {
	system.t.Helper()
	for {
		err := system.exec(proxy, sql)
		if err == nil {
			return
		}
		select {
		case <-system.ctx.Done():
			system.is.NoErr(err)
		case <-time.After(retryInterval):
		}
	}
}

// readValue returns the value of a key from a fresh read, or the empty string if there is none. It
// retries until a read succeeds.
func (system *system) readValue(proxy *fleet.Proxy, key string) string {
	system.t.Helper()
	for {
		conn, err := system.dial(proxy)
		if err == nil {
			var results []*pgconn.Result
			results, err = conn.Exec(system.ctx, fmt.Sprintf("/*kind='seat_count',group='%s'*/ SELECT value FROM kv WHERE key = '%s'", groupID, key)).ReadAll()
			_ = conn.Close(system.ctx)
			if err == nil && len(results[0].Rows) == 0 {
				return ""
			}
			if err == nil {
				return string(results[0].Rows[0][0])
			}
		}
		select {
		case <-system.ctx.Done():
			system.is.NoErr(err)
		case <-time.After(retryInterval):
		}
	}
}
