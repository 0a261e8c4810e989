package slope

import (
	"context"
	"time"
)

const (
	milli    = 1000.0
	perKB    = 1.0 / 1000
	perMB    = 1.0 / 1000 / 1000
	unitCore = "millicores"
)

func cpu(seen observation) float64 { return seen.cpu }

func traffic(seen observation) float64 { return seen.bytes }

func memory(seen observation) float64 { return seen.resident }

func rate(counter string) func(seen observation) float64 {
	return func(seen observation) float64 { return seen.counters[counter] }
}

// dimensions lists what is measured.
func dimensions() []dimension {
	return append(controlDimensions(), callerDimensions()...)
}

func controlDimensions() []dimension {
	return []dimension{
		{
			name: "group", sizes: []int{4, 8, 16, 32},
			counters: []string{"probes_sent_total"},
			measures: []measure{
				{"cpu", unitCore, milli, cpu},
				{"traffic", "KB/s", perKB, traffic},
				{"probes", "1/s", 1, rate("probes_sent_total")},
				{"memory", "MB", perMB, memory},
			},
			run: runGroups,
		},
		{
			name: "peer", sizes: []int{2, 4, 8, 16},
			counters: []string{"peer_messages_sent_total", "store_reads_total", "store_writes_total"},
			measures: []measure{
				{"cpu", unitCore, milli, cpu},
				{"traffic", "KB/s", perKB, traffic},
				{"messages", "1/s", 1, rate("peer_messages_sent_total")},
				{"store_reads", "1/s", 1, rate("store_reads_total")},
				{"store_writes", "1/s", 1, rate("store_writes_total")},
				{"memory", "MB", perMB, memory},
			},
			run: runPeers,
		},
		{
			name: "deployment", sizes: []int{50, 100, 200},
			measures: []measure{
				{"cpu", unitCore, milli, cpu},
				{"traffic", "KB/s", perKB, traffic},
				{"memory", "MB", perMB, memory},
			},
			run: runDeployments,
		},
		{
			name: "change", sizes: []int{0, 10, 20, 40},
			measures: []measure{
				{"cpu", "ms", milli * windowTime.Seconds(), cpu},
				{"traffic", "KB", perKB * windowTime.Seconds(), traffic},
			},
			run: runChanges,
		},
		{
			name: "change_by_deployments", sizes: []int{25, 50, 100, 200},
			measures: []measure{
				{"cpu", "ms/change", milli * windowTime.Seconds() / changesInWindow, cpu},
				{"traffic", "KB/change", perKB * windowTime.Seconds() / changesInWindow, traffic},
			},
			run: runChangesByDeployments,
		},
	}
}

func callerDimensions() []dimension {
	statement := func(name string, kind statementKind) dimension {
		return dimension{
			name: name, sizes: []int{200, 400, 800, 1600},
			counters: []string{"probes_sent_total", "executions_sent_total"},
			measures: []measure{
				{"cpu", unitCore, milli, cpu},
				{"traffic", "KB/s", perKB, traffic},
				{"probes", "1/s", 1, rate("probes_sent_total")},
				{"executions", "1/s", 1, rate("executions_sent_total")},
			},
			run: func(ctx context.Context, runner *runner, size int) (float64, observation, error) {
				return runStatements(ctx, runner, kind, size)
			},
		}
	}
	return []dimension{
		{
			name: "caller", sizes: []int{500, 1000, 2000},
			measures: []measure{
				{"cpu", unitCore, milli, cpu},
				{"memory", "MB", perMB, memory},
			},
			run: runCallers,
		},
		statement("stale_read", statementStale),
		statement("fresh_read", statementFresh),
		statement("write", statementWrite),
	}
}

// settleOf gives larger systems more time to become steady.
func settleOf(size int) time.Duration { return settleTime + time.Duration(size)*20*time.Millisecond }
