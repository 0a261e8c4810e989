package route

import (
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// silenceDivisor sets the fraction of the silence limit after which an instance
	// gets no new work.
	silenceDivisor = 2
	// minSilentIntervals is the lower bound of that time, in probe intervals.
	minSilentIntervals = 4
)

// CanTakeWork reports whether an instance may be given work of term: it holds the term,
// answered its last probe and has a recent report.
func CanTakeWork(context *kern.Context, member *state.Member, term model.Term) bool {
	return member.Serves(term) && !Silent(context, member)
}

// Silent reports whether the last probe of an instance failed or its last report is too
// old.
func Silent(context *kern.Context, member *state.Member) bool {
	settings := context.Settings()
	limit := max(settings.SilenceLimit()/silenceDivisor, minSilentIntervals*settings.ProbeInterval())
	return member.Failures() > 0 || context.Now()-member.SentAt() > limit
}
