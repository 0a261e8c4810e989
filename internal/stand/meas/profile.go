// Package meas measures a whole system of separate processes under load and faults: the share
// of reads served by replicas, the failover gap, and wrong answers to callers.
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

// profile is the workload of an example customer.
type profile struct {
	deployment     string
	deploymentFile string
	site           topol.Site
	kinds          []load.Kind
	surgeKind      string // name of the kind whose rate grows in the surge scenario
	callers        int    // minimum number of callers per kind
}

var profiles = []profile{
	{
		deployment:     "gradski",
		deploymentFile: "gradski-full.yaml",
		site:           topol.Zagreb(),
		surgeKind:      "browse",
		callers:        96,
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
		deployment:     "morning-table",
		deploymentFile: "morning-table-full.yaml",
		site:           topol.Lakeshore(),
		surgeKind:      "history",
		callers:        300,
		kinds: []load.Kind{
			{Name: "head_count", Class: "hotel", Rate: 120, Write: true},
			{Name: "reconcile", Class: "hotel", Rate: 60, Write: true},
			{Name: "tally", Class: "kitchen", Rate: 100},
			{Name: "tally", Class: "hotel", Rate: 30},
			{Name: "history", Class: "office", Rate: 60, Check: load.CheckBounded, Staleness: 10 * time.Second},
		},
	},
}

// topology returns the topology of the customer's site with the statement time of the measurements.
func (profile profile) topology(ports topol.PortAllocator) topol.Spec {
	spec := profile.site.Spec(ports)
	spec.StatementTime = topol.Duration(statementTime)
	return spec
}

// surgeKinds returns the kinds with surgeFactor times the rate of surgeKind. The share noisyShare
// of these reads is directed to one group, like the reads of one noisy faculty or hotel.
func (profile profile) surgeKinds() []load.Kind {
	kinds := append([]load.Kind(nil), profile.kinds...)
	for index := range kinds {
		if kinds[index].Name == profile.surgeKind {
			kinds[index].Rate *= surgeFactor
			kinds[index].NoisyShare = noisyShare
		}
	}
	return kinds
}
