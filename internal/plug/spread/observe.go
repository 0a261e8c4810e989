package spread

import (
	"time"

	"almondway.dev/almondway/internal/core/state"
)

// observeInterval is the least time between two updates of a group's metrics.
const observeInterval = 500 * time.Millisecond

// observeGroup records, for the metrics, how even the load of a group is by the reports and how
// old they are.
func (spread *Spread) observeGroup(group *state.Group) {
	now := spread.context.Now()
	if view := group.LoadView(); view.At > 0 && now-view.At < observeInterval {
		return
	}
	lowest, highest, busy, ages := -1.0, 0.0, 0.0, 0.0
	for _, member := range group.Members() {
		total, _ := spread.reported(member)
		use := total.busy / slotsOf(spread.context, member)
		if lowest < 0 || use < lowest {
			lowest = use
		}
		highest = max(highest, use)
		busy += total.busy
		ages += total.busy * (now - total.at).Seconds()
	}
	view := state.LoadView{At: now}
	if highest > 0 {
		view.Evenness = lowest / highest
		view.Age = time.Duration(ages / busy * float64(time.Second))
	}
	group.SetLoadView(view)
}
