package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"almondway.dev/almondway/internal/stand/line"
)

const (
	tokenParameter   = "almondway.token"
	proxySwitchShare = 0.05
	connectTimeout   = 3 * time.Second
	retryInterval    = 50 * time.Millisecond
	retryHintPrefix  = "retry after "
)

// Proxied is the Target of a system with proxies. Its sessions switch between proxies at random.
type Proxied struct {
	database string
	delay    time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
}

// NewProxied returns a Proxied whose callers use a deployment; delay is the one-way network
// delay between callers and proxies. SetAddresses must be called before the first request.
func NewProxied(deployment string, delay time.Duration, seed uint64) *Proxied {
	return &Proxied{database: deployment, delay: delay, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetAddresses replaces the "ip:port" addresses of the proxies.
func (proxied *Proxied) SetAddresses(addresses []string) {
	proxied.mu.Lock()
	defer proxied.mu.Unlock()
	proxied.addresses = append([]string(nil), addresses...)
}

// nextAddress returns the address of the proxy for the next request: the current one, or a
// random one if the current one was removed or the session switches.
func (proxied *Proxied) nextAddress(current string) string {
	proxied.mu.Lock()
	defer proxied.mu.Unlock()
	next := proxied.addresses[proxied.random.IntN(len(proxied.addresses))]
	if proxied.random.Float64() < proxySwitchShare {
		return next
	}
	for _, address := range proxied.addresses {
		if address == current {
			return current
		}
	}
	return next
}

// Session implements Target.
func (proxied *Proxied) Session(class string) Session {
	return &proxiedSession{proxied: proxied, class: class, conns: make(map[string]*pgconn.PgConn)}
}

type proxiedSession struct {
	proxied *Proxied
	class   string
	current string
	token   string
	conns   map[string]*pgconn.PgConn
}

// Close implements Session.
func (session *proxiedSession) Close() {
	for address := range session.conns {
		session.closeConn(address)
	}
}

// Do implements Session. A write whose outcome is unknown is retried with the same request id
// until the outcome is known or the deadline passes.
func (session *proxiedSession) Do(request Request, deadline time.Time) Answer {
	answer := session.attempt(request, deadline)
	connectionLost := answer.ConnectionLost
	for request.Kind.Write && answer.Verdict == VerdictUnknown && time.Now().Before(deadline) {
		time.Sleep(retryInterval)
		retried := session.attempt(request, deadline)
		if retried.Verdict != VerdictNotRun || provesNeverRun(retried.Code) {
			answer = retried
		}
	}
	answer.ConnectionLost = connectionLost
	return answer
}

// provesNeverRun reports whether the refusal of a retry proves that the earlier attempts of
// the request did not run either. A refusal by admission control, such as "AW201", proves it
// only for the last attempt.
func provesNeverRun(code string) bool { return code == "AW209" || code == "AW302" }

func (session *proxiedSession) attempt(request Request, deadline time.Time) Answer {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	address := session.proxied.nextAddress(session.current)
	session.current = address
	conn, err := session.connect(ctx, address)
	if err != nil {
		session.current = ""
		return classifyError(err, false)
	}
	result, err := conn.Exec(ctx, session.tag(request)+request.SQL).ReadAll()
	session.token = conn.ParameterStatus(tokenParameter)
	if err != nil {
		answer := classifyError(err, true)
		if conn.IsClosed() {
			session.closeConn(address)
		}
		return answer
	}
	return newAnswer(result)
}

func newAnswer(results []*pgconn.Result) Answer {
	answer := Answer{Verdict: VerdictDone}
	if len(results) > 0 && len(results[0].Rows) > 0 {
		for _, value := range results[0].Rows[0] {
			answer.Values = append(answer.Values, string(value))
		}
	}
	return answer
}

func (session *proxiedSession) connect(ctx context.Context, address string) (*pgconn.PgConn, error) {
	if conn := session.conns[address]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := Connect(ctx, address, session.class, session.proxied.database, session.proxied.delay)
	if err == nil {
		session.conns[address] = conn
	}
	return conn, err
}

// Connect opens a PostgreSQL connection whose messages are delayed by delay in each direction.
func Connect(ctx context.Context, address, user, database string, delay time.Duration) (*pgconn.PgConn, error) {
	target := url.URL{Scheme: "postgres", User: url.User(user), Host: address, Path: "/" + database, RawQuery: "sslmode=disable"}
	config, err := pgconn.ParseConfig(target.String())
	if err != nil {
		return nil, err
	}
	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return line.New(conn, delay), nil
	}
	return pgconn.ConnectConfig(ctx, config)
}

func (session *proxiedSession) closeConn(address string) {
	if conn := session.conns[address]; conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
		delete(session.conns, address)
	}
}

func (session *proxiedSession) tag(request Request) string {
	tags := []string{
		fmt.Sprintf("group='%s'", request.Group),
		fmt.Sprintf("key='%s'", url.QueryEscape(request.Key)),
		fmt.Sprintf("kind='%s'", request.Kind.Name),
	}
	if request.ID != "" {
		tags = append(tags, fmt.Sprintf("request_id='%s'", request.ID))
	}
	if session.token != "" {
		tags = append(tags, fmt.Sprintf("token='%s'", url.QueryEscape(session.token)))
	}
	return "/*" + strings.Join(tags, ",") + "*/ "
}

// classifyError returns the Answer of a failed request; sent tells whether the request may
// have reached the server.
func classifyError(err error, sent bool) Answer {
	var refused *pgconn.PgError
	switch {
	case errors.As(err, &refused):
		answer := Answer{Verdict: VerdictNotRun, Code: refused.Code, HasRetryHint: strings.HasPrefix(refused.Hint, retryHintPrefix)}
		if strings.HasPrefix(refused.Routine, "AW") {
			answer.Code = refused.Routine
		}
		if answer.Code == "AW301" {
			answer.Verdict = VerdictUnknown
		}
		return answer
	case !sent || pgconn.SafeToRetry(err):
		return Answer{Verdict: VerdictNotRun, Code: "connect"}
	default:
		return Answer{Verdict: VerdictUnknown, Code: "lost", ConnectionLost: true}
	}
}
