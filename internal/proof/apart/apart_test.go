package apart

import (
	"errors"
	"fmt"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/stand/procs"
)

// A proxy that receives SIGTERM finishes the open transaction and the running query, refuses new
// requests with AW205, and exits with code 0.
func TestShutdownFinishesOpenWork(t *testing.T) {
	system := newSystem(t, 2)
	is := is.New(t)
	first, second := system.Proxies()[0], system.Proxies()[1]
	transaction := system.connect(first)
	_, err := transaction.Exec(system.ctx, "BEGIN").ReadAll()
	is.NoErr(err)
	_, err = transaction.Exec(system.ctx, enrolRequest(newRequestID(), setValueSQL("seat", "1"))).ReadAll()
	is.NoErr(err)
	slow := system.connect(first)
	answered := make(chan error, 1)
	go func() {
		_, err := slow.Exec(system.ctx, fmt.Sprintf("/*kind='seat_count',group='%s'*/ SELECT pg_sleep(1)", groupID)).ReadAll()
		answered <- err
	}()
	runQuery := func() error { return system.exec(first, "/*kind='seat_count',key='a'*/ SELECT 1") }
	is.NoErr(runQuery())

	first.Process().Signal(syscall.SIGTERM)
	is.NoErr(procs.Poll(system.ctx, func() error {
		if procs.CheckHealthy(system.ctx, "http://"+first.AdminAddress()+"/readyz") == nil {
			return errors.New("still ready")
		}
		return nil
	}))
	err = runQuery()
	failed := new(pgconn.PgError)
	is.True(errors.As(err, &failed)) // the proxy answers instead of closing the connection
	is.Equal(failed.Routine, "AW205")

	is.NoErr(<-answered)
	_, err = transaction.Exec(system.ctx, "COMMIT").ReadAll()
	is.NoErr(err)
	is.NoErr(first.Process().Wait(system.ctx))
	is.Equal(first.Process().ExitCode(), 0)
	is.Equal(system.readValue(second, "seat"), "1")
}

// Two operators change the same revision of a deployment through different proxies. One change
// is accepted and the other one fails with a conflict. All proxies then have the accepted one.
func TestConcurrentOperators(t *testing.T) {
	system := newSystem(t, 3)
	is := is.New(t)
	for round := range 4 {
		revision := system.revision()
		codes := make([]int, 2)
		var workers sync.WaitGroup
		for index := range codes {
			file := system.writeDeploymentFile(10*round + index + 2)
			workers.Go(func() {
				_, err := system.RunAlmondway(system.ctx, system.Proxies()[index], "deployment", "apply", file, "--expected-revision", revision)
				exit := new(exec.ExitError)
				if errors.As(err, &exit) {
					codes[index] = exit.ExitCode()
				}
			})
		}
		workers.Wait()
		is.Equal(codes[0]+codes[1], 3) // exit codes 0 (accepted) and 3 (conflict)
		winner := 10*round + 2
		if codes[0] != 0 {
			winner++
		}
		for _, proxy := range system.Proxies() {
			is.NoErr(procs.Poll(system.ctx, func() error {
				text, err := system.RunAlmondway(system.ctx, proxy, "deployment", "get", "gradski", "--output", "json")
				if err == nil && !strings.Contains(text, fmt.Sprintf(`"weight": %d`, winner)) {
					return fmt.Errorf("%s still has %s", proxy.ID(), text)
				}
				return err
			}))
		}
	}
}

// revision returns the current revision of the deployment, as a proxy reports it.
func (system *system) revision() string {
	text, err := system.RunAlmondway(system.ctx, system.Proxies()[2], "deployment", "get", "gradski")
	system.is.NoErr(err)
	for _, line := range strings.Split(text, "\n") {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] == "revision" {
			return fields[1]
		}
	}
	system.t.Fatalf("no revision in output: %s", text)
	return ""
}

// A failover succeeds while the store is unavailable. A request whose answer was lost with the
// primary runs exactly once, although every proxy retries it.
func TestFailoverDuringStoreOutage(t *testing.T) {
	system := newSystem(t, 3)
	is := is.New(t)
	proxies := system.Proxies()
	system.execUntilDone(proxies[0], enrolRequest(newRequestID(), setValueSQL("seats", "0")))
	is.NoErr(system.SetPlatformFaults(system.ctx, &ctrlpb.SetPlatformFaultsRequest{Outage: true}))
	primary, err := system.Primary(system.ctx, groupID)
	is.NoErr(err)
	id := newRequestID()
	go func() { _ = system.exec(proxies[0], enrolRequest(id, addSeatSQL())) }()
	system.InstanceProcess(primary.ID).Kill()
	for _, proxy := range proxies { // retries the same request through every proxy
		system.execUntilDone(proxy, enrolRequest(id, addSeatSQL()))
	}
	for _, proxy := range proxies {
		is.Equal(system.readValue(proxy, "seats"), "1")
	}
	is.NoErr(system.ReplaceInstance(primary.ID))
	system.awaitCaughtUp(primary.ID)
	is.NoErr(system.SetPlatformFaults(system.ctx, &ctrlpb.SetPlatformFaultsRequest{}))
}

// awaitCaughtUp waits until a replaced instance has the fence and the log position of the primary.
func (system *system) awaitCaughtUp(id string) {
	system.t.Helper()
	lastSeen := ""
	for system.ctx.Err() == nil {
		primary, err := system.Primary(system.ctx, groupID)
		if err != nil {
			continue // a failover is in progress
		}
		primaryState, err := system.InstanceState(system.ctx, primary.ID)
		system.is.NoErr(err)
		state, err := system.InstanceState(system.ctx, id)
		if err == nil && state.GetFence() == primaryState.GetFence() && state.GetTailPosition() == primaryState.GetTailPosition() {
			return
		}
		lastSeen = fmt.Sprintf("state %v, primary state %v, error %v", state, primaryState, err)
		time.Sleep(retryInterval)
	}
	system.t.Fatalf("instance %s did not catch up with the primary: %s", id, lastSeen)
}

// The open transaction of a killed proxy is rolled back. Its request then runs exactly once
// through another proxy, although it is sent twice under the same request ID.
func TestProxyKilledInTransaction(t *testing.T) {
	system := newSystem(t, 2)
	is := is.New(t)
	first, second := system.Proxies()[0], system.Proxies()[1]
	system.execUntilDone(second, enrolRequest(newRequestID(), setValueSQL("seats", "0")))
	id := newRequestID()
	transaction := system.connect(first)
	_, err := transaction.Exec(system.ctx, "BEGIN").ReadAll()
	is.NoErr(err)
	_, err = transaction.Exec(system.ctx, enrolRequest(id, addSeatSQL())).ReadAll()
	is.NoErr(err)
	first.Process().Kill()
	is.Equal(system.readValue(second, "seats"), "0")
	system.execUntilDone(second, enrolRequest(id, addSeatSQL()))
	system.execUntilDone(second, enrolRequest(id, addSeatSQL()))
	is.Equal(system.readValue(second, "seats"), "1")
}

// A primary is partitioned from its group under writes and still considers itself primary. It
// must not acknowledge a write that the next primary lacks.
func TestPartitionedPrimaryUnderWrites(t *testing.T) {
	system := newSystem(t, 3)
	is := is.New(t)
	proxies := system.Proxies()
	system.execUntilDone(proxies[0], enrolRequest(newRequestID(), setValueSQL("seats", "0")))
	primary, err := system.Primary(system.ctx, groupID)
	is.NoErr(err)
	const writers, writes = 3, 30
	var mutex sync.Mutex
	acknowledged, unknown := 0, 0
	partition := make(chan struct{})
	var workers sync.WaitGroup
	for writer := range writers {
		workers.Go(func() {
			for number := range writes {
				if writer == 0 && number == 3 {
					close(partition)
				}
				err := system.exec(proxies[writer], enrolRequest(newRequestID(), addSeatSQL()))
				mutex.Lock()
				acknowledged += boolToInt(err == nil)
				unknown += boolToInt(mayHaveRun(err))
				mutex.Unlock()
			}
		})
	}
	<-partition
	is.NoErr(system.SetInstanceFaults(system.ctx, primary.ID, &ctrlpb.SetInstanceFaultsRequest{CutFromGroup: true}))
	is.NoErr(procs.Poll(system.ctx, func() error {
		current, err := system.Primary(system.ctx, groupID)
		if err == nil && current.ID == primary.ID {
			return errors.New("no instance was promoted")
		}
		return err
	}))
	workers.Wait()
	is.NoErr(system.SetInstanceFaults(system.ctx, primary.ID, &ctrlpb.SetInstanceFaultsRequest{}))
	system.execUntilDone(proxies[0], enrolRequest(newRequestID(), addSeatSQL()))
	final, err := strconv.Atoi(system.readValue(proxies[1], "seats"))
	is.NoErr(err)
	is.True(acknowledged > 0)
	is.True(final >= acknowledged+1)         // no acknowledged write is lost
	is.True(final <= acknowledged+unknown+1) // no write that was reported as not run was executed
}

// mayHaveRun reports whether a failed request may have run: its outcome was reported as unknown,
// or its connection was lost.
func mayHaveRun(err error) bool {
	failed := new(pgconn.PgError)
	if errors.As(err, &failed) {
		return failed.Routine == "AW301"
	}
	return err != nil && !errors.As(err, new(*pgconn.ConnectError))
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
