package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	requestTimeout = 10 * time.Second
	queueCapacity  = 1 << 16
	// callersPerRate is the number of callers per request a second. The callers of a kind
	// sustain its rate up to a latency of 1/8 s.
	callersPerRate = 1.0 / 8
)

// Spec configures a Driver.
type Spec struct {
	Target Target
	Kinds  []Kind
	Groups []string
	// KeysPerGroup is the number of keys that requests of a group use.
	KeysPerGroup int
	// Callers is the minimum number of callers of each kind; each has its own session.
	Callers int
	Seed    uint64
	History *WriteHistory
	Result  *Result
}

// Driver is an open-loop load generator: it schedules the requests of each kind at a
// constant rate, whether or not earlier requests were answered.
type Driver struct {
	spec Spec
}

// New returns a Driver.
func New(spec Spec) *Driver { return &Driver{spec: spec} }

type scheduledRequest struct {
	request Request
	dueAt   time.Time
}

// Run sends requests until the context is cancelled and waits for the outstanding answers.
func (driver *Driver) Run(ctx context.Context) {
	var running sync.WaitGroup
	for index, kind := range driver.spec.Kinds {
		queue := make(chan scheduledRequest, queueCapacity)
		running.Go(func() { driver.enqueueRequests(ctx, kind, uint64(index), queue) })
		for range max(driver.spec.Callers, int(kind.Rate*callersPerRate)) {
			running.Go(func() { driver.runCaller(kind, queue) })
		}
	}
	running.Wait()
}

// enqueueRequests adds the requests of a kind to the queue at their scheduled times.
func (driver *Driver) enqueueRequests(ctx context.Context, kind Kind, stream uint64, queue chan<- scheduledRequest) {
	defer close(queue)
	random := rand.New(rand.NewPCG(driver.spec.Seed, stream))
	interval := time.Duration(float64(time.Second) / kind.Rate)
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(interval)
		time.Sleep(time.Until(next))
		queue <- scheduledRequest{request: driver.newRequest(kind, random), dueAt: next}
	}
}

func (driver *Driver) newRequest(kind Kind, random *rand.Rand) Request {
	group := driver.spec.Groups[random.IntN(len(driver.spec.Groups))]
	if random.Float64() < kind.NoisyShare {
		group = driver.spec.Groups[0]
	}
	key := KeyName(group, random.IntN(driver.spec.KeysPerGroup))
	request := Request{Kind: kind, Group: group, Key: key}
	if kind.Write {
		request.ID = uuid.Must(uuid.NewV7()).String()
		request.SQL = fmt.Sprintf("UPDATE kv SET value = value + 1 WHERE key = '%s'", key)
	} else {
		request.SQL = fmt.Sprintf("SELECT /*label %s*/ key, value FROM kv WHERE key LIKE '%s'", kind.Name, key)
	}
	return request
}

// KeyName returns the name of a numbered key of a group.
func KeyName(group string, number int) string { return fmt.Sprintf("%s-key-%d", group, number) }

func (driver *Driver) runCaller(kind Kind, queue <-chan scheduledRequest) {
	session := driver.spec.Target.Session(kind.Class)
	defer session.Close()
	for scheduled := range queue {
		driver.execute(session, scheduled)
	}
}

func (driver *Driver) execute(session Session, scheduled scheduledRequest) {
	request, writeHistory := scheduled.request, driver.spec.History
	sentAt := time.Now()
	if request.Kind.Write {
		writeHistory.AddSent(request.Key)
	}
	answer := session.Do(request, sentAt.Add(requestTimeout))
	answeredAt := time.Now()
	if request.Kind.Write {
		writeHistory.AddVerdict(request.Key, answer.Verdict, answeredAt)
	}
	wrong := !request.Kind.Write && answer.Verdict == VerdictDone && !writeHistory.IsValidRead(request.Kind, request.Key, answer.Values, sentAt)
	driver.spec.Result.add(completedRequest{request: request, answer: answer, wrong: wrong, dueAt: scheduled.dueAt, sentAt: sentAt, answeredAt: answeredAt})
}
