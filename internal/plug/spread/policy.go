package spread

import "time"

// Way is a way to choose an instance for a read.
type Way int

const (
	// ChooseByDelay leaves the choice to the relay, which takes the lowest expected delay by the
	// statements of this proxy.
	ChooseByDelay Way = iota
	// ChooseByFree draws an instance, weighted by its free slots in the reports.
	ChooseByFree
	// ChooseByAgedFree does the same with reports that fade, and counts this proxy's own
	// statements.
	ChooseByAgedFree
	// ChooseBestOf draws Policy.Draws instances and takes the least busy one in the reports.
	ChooseBestOf
	// ChooseByRank gives each instance the same share, in turn, each proxy from another instance
	// on.
	ChooseByRank
	// ChooseByExcess draws an instance, weighted by how much longer than expected statements
	// take there, by this proxy's own statements and by the reports.
	ChooseByExcess
)

// Policy holds the parameters that experiments vary. The proxy uses DefaultPolicy.
type Policy struct {
	Way Way
	// MinProxies replaces Settings.EvenLoadProxies, unless it is 0.
	MinProxies int
	// Draws is the number of instances of ChooseBestOf.
	Draws int
	// Temperature is the difference in cost at which an instance gets 1/e of the weight. With a
	// low one, a small difference moves all reads of the proxies that know of it.
	Temperature time.Duration
	// RemoteCost is the cost of another data centre, and PrimaryCost that of the primary, whose
	// slots are needed by what only it can run.
	RemoteCost, PrimaryCost time.Duration
	// ReportWeight is the number of own statements that a fresh report counts as much as.
	ReportWeight float64
}

// DefaultPolicy returns the parameters that the proxy uses. docs/design/even_load.md has the
// measurements that they were chosen by.
func DefaultPolicy() Policy {
	return Policy{
		Way:          ChooseByExcess,
		Draws:        2,
		Temperature:  20 * time.Millisecond,
		RemoteCost:   15 * time.Millisecond,
		PrimaryCost:  5 * time.Millisecond,
		ReportWeight: 1,
	}
}
