package slope

import (
	"context"
	"time"
)

const (
	millisPerUnit    = 1000.0
	kilobytesPerByte = 1.0 / 1000
	megabytesPerByte = 1.0 / 1000 / 1000
	unitMillicores   = "millicores"
)

func cpuOf(observed observation) float64 { return observed.cpuCores }

func trafficOf(observed observation) float64 { return observed.trafficBytes }

func memoryOf(observed observation) float64 { return observed.residentBytes }

func counterRate(counter string) func(observed observation) float64 {
	return func(observed observation) float64 { return observed.counters[counter] }
}

// dimensions returns all measured dimensions.
func dimensions() []dimension {
	return append(controlDimensions(), callerDimensions()...)
}

func controlDimensions() []dimension {
	return []dimension{
		{
			name: "group", sizes: []int{4, 8, 16, 32},
			counters: []string{"probes_sent_total"},
			measures: []measure{
				{"cpu", unitMillicores, millisPerUnit, cpuOf},
				{"traffic", "KB/s", kilobytesPerByte, trafficOf},
				{"probes", "1/s", 1, counterRate("probes_sent_total")},
				{"memory", "MB", megabytesPerByte, memoryOf},
			},
			runAtSize: runGroups,
		},
		{
			name: "peer", sizes: []int{2, 4, 8, 16},
			counters: []string{"peer_messages_sent_total", "store_reads_total", "store_writes_total"},
			measures: []measure{
				{"cpu", unitMillicores, millisPerUnit, cpuOf},
				{"traffic", "KB/s", kilobytesPerByte, trafficOf},
				{"messages", "1/s", 1, counterRate("peer_messages_sent_total")},
				{"store_reads", "1/s", 1, counterRate("store_reads_total")},
				{"store_writes", "1/s", 1, counterRate("store_writes_total")},
				{"memory", "MB", megabytesPerByte, memoryOf},
			},
			runAtSize: runPeers,
		},
		{
			name: "deployment", sizes: []int{50, 100, 200},
			measures: []measure{
				{"cpu", unitMillicores, millisPerUnit, cpuOf},
				{"traffic", "KB/s", kilobytesPerByte, trafficOf},
				{"memory", "MB", megabytesPerByte, memoryOf},
			},
			runAtSize: runDeployments,
		},
		{
			name: "change", sizes: []int{0, 10, 20, 40},
			measures: []measure{
				{"cpu", "ms", millisPerUnit * windowTime.Seconds(), cpuOf},
				{"traffic", "KB", kilobytesPerByte * windowTime.Seconds(), trafficOf},
			},
			runAtSize: runChanges,
		},
		{
			name: "change_by_deployments", sizes: []int{25, 50, 100, 200},
			measures: []measure{
				{"cpu", "ms/change", millisPerUnit * windowTime.Seconds() / changesPerWindow, cpuOf},
				{"traffic", "KB/change", kilobytesPerByte * windowTime.Seconds() / changesPerWindow, trafficOf},
			},
			runAtSize: runChangesByDeployments,
		},
	}
}

func callerDimensions() []dimension {
	statement := func(name string, kind statementKind) dimension {
		return dimension{
			name: name, sizes: []int{200, 400, 800, 1600},
			counters: []string{"probes_sent_total", "executions_sent_total"},
			measures: []measure{
				{"cpu", unitMillicores, millisPerUnit, cpuOf},
				{"traffic", "KB/s", kilobytesPerByte, trafficOf},
				{"probes", "1/s", 1, counterRate("probes_sent_total")},
				{"executions", "1/s", 1, counterRate("executions_sent_total")},
			},
			runAtSize: func(ctx context.Context, runner *runner, size int) (float64, observation, error) {
				return runStatements(ctx, runner, kind, size)
			},
		}
	}
	return []dimension{
		{
			name: "caller", sizes: []int{500, 1000, 2000},
			measures: []measure{
				{"cpu", unitMillicores, millisPerUnit, cpuOf},
				{"memory", "MB", megabytesPerByte, memoryOf},
			},
			runAtSize: runCallers,
		},
		statement("stale_read", statementStale),
		statement("fresh_read", statementFresh),
		statement("write", statementWrite),
	}
}

// settleTimeFor returns the time before a measurement; larger systems take longer to reach a steady state.
func settleTimeFor(size int) time.Duration {
	return settleTime + time.Duration(size)*20*time.Millisecond
}
