package topol

import (
	"fmt"
	"time"
)

const (
	groupCount        = 3
	instancesPerGroup = 3
)

// Site is a user's site with its database cluster.
type Site struct {
	cluster     string
	dataCenters []string
	defaults    Spec
}

// Zagreb returns the site of Gradski with the cluster katalog-db.
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

// Lakeshore returns the site of Morning Table with the cluster breakfast-ledger.
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

// DataCenters returns the names of the site's data centres.
func (site Site) DataCenters() []string { return site.dataCenters }

// Ports gives out TCP ports of the loopback address.
type Ports interface {
	// Port returns a port that nobody else has.
	Port() int
}

// Spec returns the topology of the site on ports of the loopback address.
func (site Site) Spec(ports Ports) Spec {
	spec := site.defaults
	for number := 1; number <= groupCount; number++ {
		group := GroupSpec{ID: fmt.Sprintf("%s-%d", site.cluster, number)}
		for place := range instancesPerGroup {
			group.Instances = append(group.Instances, InstanceSpec{
				ID:         fmt.Sprintf("%s-%c", group.ID, 'a'+place),
				Address:    fmt.Sprintf("127.0.0.1:%d", ports.Port()),
				Control:    fmt.Sprintf("127.0.0.1:%d", ports.Port()),
				DataCenter: site.dataCenters[place%len(site.dataCenters)],
				Primary:    place == (number-1)%instancesPerGroup,
			})
		}
		spec.Groups = append(spec.Groups, group)
	}
	return spec
}

// PortSequence is a Ports that counts up from a base port.
type PortSequence struct {
	next int
}

// NewPortSequence returns a Sequence that starts at base.
func NewPortSequence(base int) *PortSequence { return &PortSequence{next: base} }

// Port implements Ports.
func (sequence *PortSequence) Port() int {
	port := sequence.next
	sequence.next++
	return port
}
