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

// A proxy that is told to stop finishes its open transaction and the answer
// that is under way, takes no new work, and exits.
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
	running := func() error { return system.exec(first, "/*kind='seat_count',key='a'*/ SELECT 1") }
	is.NoErr(running())

	first.Process().Signal(syscall.SIGTERM)
	is.NoErr(procs.Until(system.ctx, func() error {
		if procs.Healthy(system.ctx, "http://"+first.Admin()+"/readyz") == nil {
			return errors.New("still ready")
		}
		return nil
	}))
	err = running()
	failed := new(pgconn.PgError)
	is.True(errors.As(err, &failed)) // refused with an answer
	is.Equal(failed.Routine, "AW205")

	is.NoErr(<-answered)
	_, err = transaction.Exec(system.ctx, "COMMIT").ReadAll()
	is.NoErr(err)
	is.NoErr(first.Process().Wait(system.ctx))
	is.Equal(first.Process().ExitCode(), 0)
	is.Equal(system.readValue(second, "seat"), "1")
}

// Of two operators who change what they both saw, through two proxies, one is
// accepted and one is told who was faster; all proxies agree afterwards.
func TestConcurrentOperators(t *testing.T) {
	system := newSystem(t, 3)
	is := is.New(t)
	for round := range 4 {
		revision := system.revision()
		codes := make([]int, 2)
		var running sync.WaitGroup
		for place := range codes {
			file := system.writeDeploymentFile(10*round + place + 2)
			running.Go(func() {
				_, err := system.Almondway(system.ctx, system.Proxies()[place], "deployment", "apply", file, "--expected-revision", revision)
				exit := new(exec.ExitError)
				if errors.As(err, &exit) {
					codes[place] = exit.ExitCode()
				}
			})
		}
		running.Wait()
		is.Equal(codes[0]+codes[1], 3) // one done, one conflict
		winner := 10*round + 2
		if codes[0] != 0 {
			winner++
		}
		for _, proxy := range system.Proxies() {
			is.NoErr(procs.Until(system.ctx, func() error {
				text, err := system.Almondway(system.ctx, proxy, "deployment", "get", "gradski", "--output", "json")
				if err == nil && !strings.Contains(text, fmt.Sprintf(`"weight": %d`, winner)) {
					return fmt.Errorf("%s has %s", proxy.ID(), text)
				}
				return err
			}))
		}
	}
}

// revision returns the revision of the deployment that all proxies have.
func (system *system) revision() string {
	text, err := system.Almondway(system.ctx, system.Proxies()[2], "deployment", "get", "gradski")
	system.is.NoErr(err)
	for _, line := range strings.Split(text, "\n") {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] == "revision" {
			return fields[1]
		}
	}
	system.t.Fatalf("no revision in %s", text)
	return ""
}

// The store takes no part in a failover, and a request whose answer was lost
// with the primary runs once.
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
	system.Instance(primary.ID).Kill()
	for _, proxy := range proxies { // the same request through every proxy
		system.execUntilDone(proxy, enrolRequest(id, addSeatSQL()))
	}
	for _, proxy := range proxies {
		is.Equal(system.readValue(proxy, "seats"), "1")
	}
	is.NoErr(system.ReplaceInstance(primary.ID))
	system.awaitCaughtUp(primary.ID)
	is.NoErr(system.SetPlatformFaults(system.ctx, &ctrlpb.SetPlatformFaultsRequest{}))
}

// awaitCaughtUp waits until a replaced instance holds the log of the primary.
func (system *system) awaitCaughtUp(id string) {
	system.t.Helper()
	last := ""
	for system.ctx.Err() == nil {
		primary, err := system.Primary(system.ctx, groupID)
		if err != nil {
			continue // between two primaries
		}
		leads, err := system.State(system.ctx, primary.ID)
		system.is.NoErr(err)
		state, err := system.State(system.ctx, id)
		if err == nil && state.GetFence() == leads.GetFence() && state.GetTailPosition() == leads.GetTailPosition() {
			return
		}
		last = fmt.Sprintf("%v, primary %v, error %v", state, leads, err)
		time.Sleep(retryInterval)
	}
	system.t.Fatalf("instance %s has not caught up: %s", id, last)
}

// The transaction of a proxy that is killed is rolled back; its request id runs
// once through another proxy.
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

// A primary that is cut off from its group, and believes it leads, acknowledges
// nothing that the next primary does not have.
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
	cut := make(chan struct{})
	var running sync.WaitGroup
	for writer := range writers {
		running.Go(func() {
			for number := range writes {
				if writer == 0 && number == 3 {
					close(cut)
				}
				err := system.exec(proxies[writer], enrolRequest(newRequestID(), addSeatSQL()))
				mutex.Lock()
				acknowledged += countIf(err == nil)
				unknown += countIf(mayHaveRun(err))
				mutex.Unlock()
			}
		})
	}
	<-cut
	is.NoErr(system.SetInstanceFaults(system.ctx, primary.ID, &ctrlpb.SetInstanceFaultsRequest{CutFromGroup: true}))
	is.NoErr(procs.Until(system.ctx, func() error {
		leads, err := system.Primary(system.ctx, groupID)
		if err == nil && leads.ID == primary.ID {
			return errors.New("nobody was promoted")
		}
		return err
	}))
	running.Wait()
	is.NoErr(system.SetInstanceFaults(system.ctx, primary.ID, &ctrlpb.SetInstanceFaultsRequest{}))
	system.execUntilDone(proxies[0], enrolRequest(newRequestID(), addSeatSQL()))
	final, err := strconv.Atoi(system.readValue(proxies[1], "seats"))
	is.NoErr(err)
	is.True(acknowledged > 0)
	is.True(final >= acknowledged+1)         // nothing acknowledged is lost
	is.True(final <= acknowledged+unknown+1) // nothing that was told as not run ran
}

// mayHaveRun reports whether a request may have run: its outcome is unknown, or
// its connection was lost.
func mayHaveRun(err error) bool {
	failed := new(pgconn.PgError)
	if errors.As(err, &failed) {
		return failed.Routine == "AW301"
	}
	return err != nil && !errors.As(err, new(*pgconn.ConnectError))
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
