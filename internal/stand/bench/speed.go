package bench

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/load"
)

const (
	overheadStatements       = 5000
	warmUpStatements         = 500
	throughputCallers        = 64
	throughputDuration       = 5 * time.Second
	idleCallers              = 2400
	maxLatency               = time.Minute
	latencySignificantDigits = 3
	bytesPerKB               = 1 << 10
	bytesPerMB               = 1 << 20
	readSQL                  = "SELECT value FROM kv WHERE key = 'course-17'"
	writeSQL                 = "UPDATE kv SET value = value + 1 WHERE key = 'course-17'"
)

// overheadFigure compares the latency through the proxy with that of a direct connection.
type overheadFigure struct {
	Figure     string  `json:"figure"`
	Kind       string  `json:"kind"`
	Statements int     `json:"statements"`
	DirectP50  float64 `json:"direct_p50_us"`
	DirectP99  float64 `json:"direct_p99_us"`
	ProxyP50   float64 `json:"proxy_p50_us"`
	ProxyP99   float64 `json:"proxy_p99_us"`
	AddedP50   float64 `json:"added_p50_us"`
}

// measureOverhead alternates between the direct path and the proxy, so that the load of
// the machine affects both alike.
func (bench *bench) measureOverhead(ctx context.Context) error {
	cases := []struct {
		kind, class, sql, address string
	}{
		{"browse", "student", readSQL, bench.replicaAddress()},
		{"seat_count", "student", readSQL, bench.replicaAddress()},
		{"mark_seen", "registrar", writeSQL, bench.group.Primary().Address},
	}
	for _, c := range cases {
		direct, err := load.Connect(ctx, c.address, c.class, deployment, 0)
		if err != nil {
			return errors.Wrap(err, "connect to instance")
		}
		proxied, err := load.Connect(ctx, bench.proxy.Address(), c.class, deployment, 0)
		if err != nil {
			return errors.Wrap(err, "connect to proxy")
		}
		directTimes, proxyTimes := newHistogram(), newHistogram()
		for number := range warmUpStatements + overheadStatements {
			if number == warmUpStatements {
				directTimes.Reset()
				proxyTimes.Reset()
			}
			if err := timeStatement(ctx, direct, c.sql, directTimes); err != nil {
				return err
			}
			if err := timeStatement(ctx, proxied, bench.taggedSQL(c.kind, c.sql), proxyTimes); err != nil {
				return err
			}
		}
		_ = direct.Close(ctx)
		_ = proxied.Close(ctx)
		err = bench.printFigure(overheadFigure{
			Figure:     "overhead",
			Kind:       c.kind,
			Statements: overheadStatements,
			DirectP50:  percentile(directTimes, 50),
			DirectP99:  percentile(directTimes, 99),
			ProxyP50:   percentile(proxyTimes, 50),
			ProxyP99:   percentile(proxyTimes, 99),
			AddedP50:   percentile(proxyTimes, 50) - percentile(directTimes, 50),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (bench *bench) replicaAddress() string {
	for _, instance := range bench.group.Instances {
		if !instance.Primary {
			return instance.Address
		}
	}
	return ""
}

func timeStatement(ctx context.Context, conn *pgconn.PgConn, sql string, times *hdrhistogram.Histogram) error {
	startedAt := time.Now()
	if _, err := conn.Exec(ctx, sql).ReadAll(); err != nil {
		return errors.Wrapf(err, "run %q", sql)
	}
	return times.RecordValue(time.Since(startedAt).Nanoseconds())
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Nanoseconds(), latencySignificantDigits)
}

// percentile returns a percentile in microseconds.
func percentile(times *hdrhistogram.Histogram, at float64) float64 {
	return microseconds(time.Duration(times.ValueAtPercentile(at)))
}

// throughputFigure is the statement throughput of a proxy and the CPU time that it uses.
type throughputFigure struct {
	Figure        string  `json:"figure"`
	Callers       int     `json:"callers"`
	Seconds       float64 `json:"seconds"`
	PerSecond     float64 `json:"statements_per_second"`
	ProxyCPU      float64 `json:"proxy_cpu_seconds"`
	CPUPerRequest float64 `json:"proxy_cpu_us_per_statement"`
}

// measureThroughput runs callers that send the next read as soon as the previous one is answered.
func (bench *bench) measureThroughput(ctx context.Context) error {
	before, err := bench.proxy.Process().Usage()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithTimeout(ctx, throughputDuration)
	defer cancel()
	var running sync.WaitGroup
	counts := make([]int, throughputCallers)
	startedAt := time.Now()
	for caller := range throughputCallers {
		conn, err := load.Connect(ctx, bench.proxy.Address(), "student", deployment, 0)
		if err != nil {
			return errors.Wrap(err, "connect to proxy")
		}
		running.Go(func() {
			defer func() { _ = conn.Close(ctx) }()
			for runCtx.Err() == nil {
				if _, err := conn.Exec(ctx, bench.taggedSQL("browse", readSQL)).ReadAll(); err == nil {
					counts[caller]++
				}
			}
		})
	}
	running.Wait()
	elapsed := time.Since(startedAt)
	after, err := bench.proxy.Process().Usage()
	if err != nil {
		return err
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	cpuTime := after.CPUTime() - before.CPUTime()
	return bench.printFigure(throughputFigure{
		Figure:        "throughput",
		Callers:       throughputCallers,
		Seconds:       elapsed.Seconds(),
		PerSecond:     float64(total) / elapsed.Seconds(),
		ProxyCPU:      cpuTime.Seconds(),
		CPUPerRequest: microseconds(cpuTime) / float64(max(1, total)),
	})
}

// idleFigure is the memory that a proxy uses for idle callers.
type idleFigure struct {
	Figure        string  `json:"figure"`
	Callers       int     `json:"callers"`
	MemoryBefore  float64 `json:"memory_before_mb"`
	Memory        float64 `json:"memory_mb"`
	KBPerCaller   float64 `json:"kb_per_caller"`
	ConnectPerSec float64 `json:"connects_per_second"`
}

func (bench *bench) measureIdleCallers(ctx context.Context) error {
	before, err := bench.proxy.Process().Usage()
	if err != nil {
		return err
	}
	startedAt := time.Now()
	for range idleCallers {
		conn, err := load.Connect(ctx, bench.proxy.Address(), "student", deployment, 0)
		if err != nil {
			return errors.Wrap(err, "connect to proxy")
		}
		defer func() { _ = conn.Close(ctx) }()
	}
	elapsed := time.Since(startedAt)
	after, err := bench.proxy.Process().Usage()
	if err != nil {
		return err
	}
	return bench.printFigure(idleFigure{
		Figure:        "idle_callers",
		Callers:       idleCallers,
		MemoryBefore:  before.ResidentBytes() / bytesPerMB,
		Memory:        after.ResidentBytes() / bytesPerMB,
		KBPerCaller:   (after.ResidentBytes() - before.ResidentBytes()) / bytesPerKB / idleCallers,
		ConnectPerSec: idleCallers / elapsed.Seconds(),
	})
}
