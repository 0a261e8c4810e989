package topol

import (
	"fmt"
	"time"
)

const (
	groupCount        = 3
	instancesPerGroup = 3
)

// Site is the database cluster of an example customer: its data centres, limits and delays.
type Site struct {
	cluster     string
	dataCenters []string
	defaults    Spec
}

// Zagreb returns the site of the customer Gradski with the cluster katalog-db.
func Zagreb() Site {
	return Site{
		cluster:     "katalog",
		dataCenters: []string{"gradska-dvorana", "sveuciliste-dc", "trnje-hall"},
		defaults: Spec{
			Slots:         5,
			Connections:   35,
			OpenTime:      Duration(10 * time.Millisecond),
			OneWayDelay:   Duration(time.Millisecond),
			ClientDelay:   Duration(time.Millisecond),
			StatementTime: Duration(time.Millisecond),
			HostListLag:   Duration(5 * time.Second),
		},
	}
}

// Lakeshore returns the site of the customer Morning Table with the cluster breakfast-ledger.
func Lakeshore() Site {
	return Site{
		cluster:     "breakfast",
		dataCenters: []string{"lakeshore-north", "lakeshore-east", "lakeshore-south"},
		defaults: Spec{
			Slots:         3,
			Connections:   40,
			OpenTime:      Duration(30 * time.Millisecond),
			OneWayDelay:   Duration(500 * time.Microsecond),
			ClientDelay:   Duration(3 * time.Millisecond),
			StatementTime: Duration(time.Millisecond),
			HostListLag:   Duration(5 * time.Second),
		},
	}
}

// DataCenters returns the names of the data centres of the site.
func (site Site) DataCenters() []string { return site.dataCenters }

// PortAllocator allocates TCP ports on the loopback address.
type PortAllocator interface {
	// Port returns a port that was not returned before.
	Port() int
}

// Spec returns the topology of the site with addresses on the loopback address.
func (site Site) Spec(ports PortAllocator) Spec {
	spec := site.defaults
	for number := 1; number <= groupCount; number++ {
		group := GroupSpec{ID: fmt.Sprintf("%s-%d", site.cluster, number)}
		for index := range instancesPerGroup {
			group.Instances = append(group.Instances, InstanceSpec{
				ID:             fmt.Sprintf("%s-%c", group.ID, 'a'+index),
				Address:        fmt.Sprintf("127.0.0.1:%d", ports.Port()),
				ControlAddress: fmt.Sprintf("127.0.0.1:%d", ports.Port()),
				DataCenter:     site.dataCenters[index%len(site.dataCenters)],
				Primary:        index == (number-1)%instancesPerGroup,
			})
		}
		spec.Groups = append(spec.Groups, group)
	}
	return spec
}

// PortSequence implements PortAllocator with consecutive port numbers.
type PortSequence struct {
	next int
}

// NewPortSequence returns a PortSequence whose first port is base.
func NewPortSequence(base int) *PortSequence { return &PortSequence{next: base} }

// Port implements PortAllocator.
func (portSequence *PortSequence) Port() int {
	port := portSequence.next
	portSequence.next++
	return port
}
