package whole

import (
	"context"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

const (
	benchSQL        = "SELECT value FROM kv WHERE key = $1"
	idleCallerCount = 2400
)

func benchConn(b *testing.B, url string) *pgconn.PgConn {
	b.Helper()
	is := is.New(b)
	conn, err := pgconn.Connect(context.Background(), url)
	is.NoErr(err)
	b.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func readOnce(conn *pgconn.PgConn, sql string) error {
	return conn.ExecParams(context.Background(), sql, [][]byte{[]byte("course-17")}, nil, nil, nil).Read().Err
}

// reportMedian reports the median execution time in microseconds.
func reportMedian(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2])/float64(time.Microsecond), "p50-µs")
}

func benchLatency(b *testing.B, url string, sql string) {
	b.Helper()
	is := is.New(b)
	conn := benchConn(b, url)
	is.NoErr(readOnce(conn, sql))
	times := make([]time.Duration, 0, b.N)
	for b.Loop() {
		start := time.Now()
		is.NoErr(readOnce(conn, sql))
		times = append(times, time.Since(start))
	}
	reportMedian(b, times)
}

func BenchmarkDirectRead(b *testing.B) {
	benchLatency(b, newSystem(b).directURL(), benchSQL)
}

func BenchmarkStaleRead(b *testing.B) {
	benchLatency(b, newSystem(b).url("student"), benchSQL)
}

func BenchmarkFreshRead(b *testing.B) {
	benchLatency(b, newSystem(b).url("student"), benchSQL+" /*kind='seat_count'*/")
}

func BenchmarkWrite(b *testing.B) {
	benchLatency(b, newSystem(b).url("student"), "INSERT INTO kv(key, value) VALUES ($1, '1') ON CONFLICT (key) DO UPDATE SET value = excluded.value /*kind='edit'*/")
}

// BenchmarkThroughput reports the rate of stale reads of 64 concurrent callers.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	is := is.New(b)
	system := newSystem(b)
	conns := make([]*pgconn.PgConn, callers)
	for index := range conns {
		conns[index] = benchConn(b, system.url("student"))
	}
	b.ResetTimer()
	var readers sync.WaitGroup
	for _, conn := range conns {
		readers.Go(func() {
			for range b.N / callers {
				if err := readOnce(conn, benchSQL); err != nil {
					is.NoErr(err)
				}
			}
		})
	}
	readers.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

// BenchmarkIdleCallers reports the memory that idle callers use. The client side of each caller
// holds only a socket.
func BenchmarkIdleCallers(b *testing.B) {
	is := is.New(b)
	system := newSystem(b)
	for b.Loop() {
		before := memoryInUse()
		var conns []net.Conn
		for range idleCallerCount {
			conns = append(conns, connectIdleCaller(b, system))
		}
		b.ReportMetric(float64(memoryInUse()-before)/idleCallerCount, "bytes/caller")
		b.ReportMetric(float64(memoryInUse())/(1<<20), "MB")
		for _, conn := range conns {
			is.NoErr(conn.Close())
		}
	}
}

// connectIdleCaller completes the startup of a caller and returns its socket.
func connectIdleCaller(b *testing.B, system *system) net.Conn {
	b.Helper()
	is := is.New(b)
	conn, err := net.Dial("tcp", system.callerAddress)
	is.NoErr(err)
	start := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "student", "database": "katalog"},
	}
	encoded, err := start.Encode(nil)
	is.NoErr(err)
	_, err = conn.Write(encoded)
	is.NoErr(err)
	answer := make([]byte, 4096)
	for {
		count, err := conn.Read(answer)
		is.NoErr(err)
		if count >= 6 && answer[count-6] == 'Z' {
			return conn
		}
	}
}

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// directURL returns the connection string of the primary, which bypasses the proxy.
func (system *system) directURL() string {
	return "postgres://almondway@" + system.topology.Groups[0].Primary().Address + "/katalog?sslmode=disable"
}
