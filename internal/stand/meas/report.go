package meas

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/stand/load"
)

// report is the JSON line of one run.
type report struct {
	Deployment             string             `json:"deployment"`
	Scenario               string             `json:"scenario"`
	Policy                 string             `json:"policy"`
	Seconds                float64            `json:"seconds"`
	Reads                  int                `json:"reads"`
	Writes                 int                `json:"writes"`
	ReplicaReadShare       float64            `json:"replica_read_share"`
	ReplicaReadShareByKind map[string]float64 `json:"replica_read_share_by_kind"`
	Failovers              int                `json:"failovers"`
	FailoverGapP50         float64            `json:"failover_gap_p50_ms"`
	FailoverGapP99         float64            `json:"failover_gap_p99_ms"`
	FailoverGapMax         float64            `json:"failover_gap_max_ms"`
	UnfinishedFailovers    int                `json:"unfinished_failovers"`
	FailedRejoins          int                `json:"failed_rejoins"`
	Promotions             int                `json:"promotions"`
	FalsePromotions        int                `json:"false_promotions"`
	WrongAnswers           int                `json:"wrong_answers"`
	LostWrites             int                `json:"lost_writes"`
	DoubledWrites          int                `json:"doubled_writes"`
	WrongNotRun            int                `json:"wrong_not_run"`
	Refused                int                `json:"refused"`
	RefusedWithoutHint     int                `json:"refused_without_hint"`
	Unknown                int                `json:"unknown"`
	CutRequests            int                `json:"cut_requests"`
	WorkAfterLeaving       int                `json:"work_after_leaving"`
	LongestPause           float64            `json:"longest_pause_ms"`
	Codes                  map[string]int     `json:"codes"`
	ReadP50                float64            `json:"read_p50_ms"`
	ReadP99                float64            `json:"read_p99_ms"`
	WriteP50               float64            `json:"write_p50_ms"`
	WriteP99               float64            `json:"write_p99_ms"`
	Seed                   uint64             `json:"seed"`
}

func (report report) print(output io.Writer) error {
	return errors.Wrap(json.NewEncoder(output).Encode(report), "print report")
}

func toMilliseconds(duration time.Duration) float64 {
	return math.Round(float64(duration.Microseconds())/10) / 100
}

// addLoadResult adds the counts and latencies of the load generator.
func (report *report) addLoadResult(result *load.Result) {
	counts := result.Counts()
	report.Reads = counts.Reads
	report.Writes = counts.Writes
	report.WrongAnswers = counts.WrongAnswers
	report.Refused = counts.Refused
	report.RefusedWithoutHint = counts.RefusedWithoutHint
	report.Unknown = counts.Unknown
	report.CutRequests = counts.CutRequests
	report.Codes = result.Codes()
	report.ReadP50 = toMilliseconds(result.ReadLatency(50))
	report.ReadP99 = toMilliseconds(result.ReadLatency(99))
	report.WriteP50 = toMilliseconds(result.WriteLatency(50))
	report.WriteP99 = toMilliseconds(result.WriteLatency(99))
}

// addShares adds the share of reads that were not served by a primary, in total and by kind.
// Reads that a primary executed but whose answers were not used count as served by the primary.
func (report *report) addShares(reads map[string]int, onPrimary map[string]uint64) {
	report.ReplicaReadShareByKind = make(map[string]float64)
	all, primary := 0, 0
	for kind, count := range reads {
		served := min(int(onPrimary[kind]), count)
		report.ReplicaReadShareByKind[kind] = replicaShare(count, served)
		all += count
		primary += served
	}
	report.ReplicaReadShare = replicaShare(all, primary)
}

func replicaShare(all, primary int) float64 {
	if all == 0 {
		return 0
	}
	return math.Round(10000*(1-float64(primary)/float64(all))) / 10000
}

// addGaps adds the number and percentiles of the failover gaps. It sorts gaps.
func (report *report) addGaps(gaps []time.Duration) {
	report.Failovers = len(gaps)
	if len(gaps) == 0 {
		return
	}
	slices.Sort(gaps)
	at := func(percentile float64) float64 {
		index := int(math.Ceil(percentile/100*float64(len(gaps)))) - 1
		return toMilliseconds(gaps[max(0, index)])
	}
	report.FailoverGapP50 = at(50)
	report.FailoverGapP99 = at(99)
	report.FailoverGapMax = at(100)
}

func (report *report) addAudit(audit load.Audit) {
	report.LostWrites = audit.LostWrites
	report.DoubledWrites = audit.DoubledWrites
	report.WrongNotRun = audit.WrongNotRun
}
