// Package meas measures a whole system of separate processes under load and
// faults: the share of reads served by replicas, the failover gap, and what
// callers were told wrongly.
package meas

import (
	"time"

	"almondway.dev/almondway/internal/stand/load"
	"almondway.dev/almondway/internal/stand/topol"
)

const (
	surgeFactor   = 10
	noisyShare    = 0.3
	keysPerGroup  = 40
	statementTime = 3 * time.Millisecond
)

// profile is the workload of a user.
type profile struct {
	deployment string
	file       string
	site       topol.Site
	kinds      []load.Kind
	surgeKind  string // the kind that surges
	callers    int    // sessions of each kind
}

var profiles = []profile{
	{
		deployment: "gradski",
		file:       "gradski-full.yaml",
		site:       topol.Zagreb(),
		surgeKind:  "browse",
		callers:    96,
		kinds: []load.Kind{
			{Name: "browse", Class: "student", Rate: 300, Check: load.CheckBounded, Staleness: 5 * time.Second},
			{Name: "course_page", Class: "student", Rate: 80, Check: load.CheckBounded, Staleness: time.Second},
			{Name: "course_page", Class: "registrar", Rate: 20},
			{Name: "seat_count", Class: "student", Rate: 60},
			{Name: "enrolment_check", Class: "lecturer", Rate: 20},
			{Name: "edit_listing", Class: "registrar", Rate: 45, Write: true},
			{Name: "enrol", Class: "student", Rate: 45, Write: true},
		},
	},
	{
		deployment: "morning-table",
		file:       "morning-table-full.yaml",
		site:       topol.Lakeshore(),
		surgeKind:  "history",
		callers:    300,
		kinds: []load.Kind{
			{Name: "head_count", Class: "hotel", Rate: 120, Write: true},
			{Name: "reconcile", Class: "hotel", Rate: 60, Write: true},
			{Name: "tally", Class: "kitchen", Rate: 100},
			{Name: "tally", Class: "hotel", Rate: 30},
			{Name: "history", Class: "office", Rate: 60, Check: load.CheckBounded, Staleness: 10 * time.Second},
		},
	},
}

// topology returns the sizes of the user's site on free ports.
func (profile profile) topology(ports topol.Ports) topol.Spec {
	spec := profile.site.Spec(ports)
	spec.StatementTime = topol.Duration(statementTime)
	return spec
}

// surgeKinds returns the kinds with ten times the browsing, much of it of one noisy
// faculty or hotel, whose data one group has.
func (profile profile) surgeKinds() []load.Kind {
	kinds := append([]load.Kind(nil), profile.kinds...)
	for place := range kinds {
		if kinds[place].Name == profile.surgeKind {
			kinds[place].Rate *= surgeFactor
			kinds[place].NoisyShare = noisyShare
		}
	}
	return kinds
}
