package load

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"almondway.dev/almondway/internal/stand/topol"
)

const (
	naiveTimeout     = time.Second
	naiveAttempts    = 2
	naiveConnections = 30
)

// Naive is the baseline without a proxy. It sends all requests to the primary and accepts its
// answers unchecked. A failed request is retried once and reported as not run if the retry fails. A
// primary that does not answer within a fixed timeout is replaced by the next instance
// without an election.
type Naive struct {
	database string
	mu       sync.Mutex
	groups   map[string]*naiveGroup
}

type naiveGroup struct {
	spec         topol.GroupSpec
	primaryIndex int
	termCount    uint64
	pools        []chan *pgconn.PgConn // per instance; a nil element is a connection that is not open yet
}

// NewNaive returns a Naive whose callers connect to the given database of the instances.
func NewNaive(database string, spec topol.Spec) *Naive {
	naive := &Naive{database: database, groups: make(map[string]*naiveGroup)}
	for _, groupSpec := range spec.Groups {
		group := &naiveGroup{spec: groupSpec, termCount: 1}
		for index, instance := range groupSpec.Instances {
			if instance.Primary {
				group.primaryIndex = index
			}
			pool := make(chan *pgconn.PgConn, naiveConnections)
			for range naiveConnections {
				pool <- nil
			}
			group.pools = append(group.pools, pool)
		}
		naive.groups[groupSpec.ID] = group
	}
	return naive
}

// Session implements Target.
func (naive *Naive) Session(class string) Session { return naiveSession{naive: naive, class: class} }

// primary returns the instance that is currently regarded as the primary of a group, and its
// connection pool.
func (naive *Naive) primary(group string) (topol.InstanceSpec, chan *pgconn.PgConn) {
	naive.mu.Lock()
	defer naive.mu.Unlock()
	found := naive.groups[group]
	return found.spec.Instances[found.primaryIndex], found.pools[found.primaryIndex]
}

type naiveSession struct {
	naive *Naive
	class string
}

// Close implements Session.
func (naiveSession) Close() {}

// Do implements Session.
func (session naiveSession) Do(request Request, deadline time.Time) Answer {
	var answer Answer
	for range naiveAttempts {
		answer = session.attempt(request, deadline)
		if answer.Verdict == VerdictDone {
			return answer
		}
	}
	answer.Verdict = VerdictNotRun
	return answer
}

func (session naiveSession) attempt(request Request, deadline time.Time) Answer {
	instance, pool := session.naive.primary(request.Group)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, naiveTimeout)
	defer stop()
	var conn *pgconn.PgConn
	select {
	case conn = <-pool:
	case <-ctx.Done():
		return Answer{Verdict: VerdictNotRun, Code: "pool"}
	}
	defer func() { pool <- conn }()
	if conn == nil {
		opened, err := Connect(ctx, instance.Address, session.class, session.naive.database, 0)
		if err != nil {
			return classifyError(err, false)
		}
		conn = opened
	}
	result, err := conn.Exec(ctx, request.SQL).ReadAll()
	if err != nil {
		if conn.IsClosed() {
			conn = nil
		}
		return classifyError(err, true)
	}
	return newAnswer(result)
}
