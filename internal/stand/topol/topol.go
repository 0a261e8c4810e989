// Package topol defines the topology of the stand-in system: its groups, instances, limits and delays.
package topol

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "10ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (duration *Duration) UnmarshalJSON(encoded []byte) error {
	var text string
	if err := json.Unmarshal(encoded, &text); err != nil {
		return errors.Wrap(err, "decode duration")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrapf(err, "parse duration %q", text)
	}
	*duration = Duration(parsed)
	return nil
}

// InstanceSpec describes an instance.
type InstanceSpec struct {
	ID string `json:"id"`
	// Address is the "ip:port" on which proxies and replicas connect.
	Address string `json:"address"`
	// ControlAddress is the "ip:port" of the fault control service.
	ControlAddress string `json:"control"`
	DataCenter     string `json:"data_center"`
	// Primary is set for the instance that is the primary at start.
	Primary bool `json:"primary,omitempty"`
}

// GroupSpec describes a replication group.
type GroupSpec struct {
	ID        string         `json:"id"`
	Instances []InstanceSpec `json:"instances"`
}

// Spec describes the whole stand-in system.
type Spec struct {
	Groups []GroupSpec `json:"groups"`
	// Slots is the number of statements that an instance runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that an instance accepts from proxies.
	Connections int `json:"connections"`
	// OpenTime is how long an instance takes to open a connection.
	OpenTime Duration `json:"open_time"`
	// OneWayDelay is the network delay of a message between a proxy and an instance or between two instances.
	OneWayDelay Duration `json:"one_way_delay"`
	// ClientDelay is the network delay of a message between a caller and a proxy. The load generator adds it.
	ClientDelay Duration `json:"client_delay"`
	// StatementTime is how long a statement occupies an execution slot.
	StatementTime Duration `json:"statement_time"`
	// ReplicationLag is the delay between the arrival of an entry at a replica and its append to the log.
	ReplicationLag Duration `json:"replication_lag"`
	// HostListLag is the delay until the host list shows a change of a host.
	HostListLag Duration `json:"host_list_lag"`
}

// Load reads and validates a topology file. Unknown fields and inconsistent groups are errors.
func Load(path string) (Spec, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, errors.Wrap(err, "read topology")
	}
	spec, err := Parse(encoded)
	return spec, errors.Wrapf(err, "topology %q", path)
}

// Parse decodes and validates the JSON encoding of a Spec.
func Parse(encoded []byte) (Spec, error) {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	var spec Spec
	if err := decoder.Decode(&spec); err != nil {
		return Spec{}, errors.Wrap(err, "decode topology")
	}
	return spec, spec.validate()
}

// Save writes the JSON encoding of the Spec to a file.
func (spec Spec) Save(path string) error {
	encoded, err := json.MarshalIndent(spec, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode topology")
	}
	return errors.Wrap(os.WriteFile(path, encoded, 0o600), "write topology")
}

// FindInstance returns the instance with the given id and its group.
func (spec Spec) FindInstance(id string) (GroupSpec, InstanceSpec, error) {
	for _, group := range spec.Groups {
		for _, instance := range group.Instances {
			if instance.ID == id {
				return group, instance, nil
			}
		}
	}
	return GroupSpec{}, InstanceSpec{}, errors.Errorf("instance %q is not in the topology", id)
}

// Primary returns the instance that is the primary at start.
func (group GroupSpec) Primary() InstanceSpec {
	for _, instance := range group.Instances {
		if instance.Primary {
			return instance
		}
	}
	return InstanceSpec{}
}

func (spec Spec) validate() error {
	if spec.Slots < 1 || spec.Connections < 1 {
		return errors.New("slots and connections must be at least 1")
	}
	seen := make(map[string]bool)
	for _, group := range spec.Groups {
		primaries := 0
		for _, instance := range group.Instances {
			if instance.ID == "" || instance.Address == "" || seen[instance.ID] {
				return errors.Errorf("instance %q of group %q has no id or address, or its id is duplicated", instance.ID, group.ID)
			}
			seen[instance.ID] = true
			if instance.Primary {
				primaries++
			}
		}
		if primaries != 1 {
			return errors.Errorf("group %q has %d primaries at start, expected 1", group.ID, primaries)
		}
	}
	return nil
}
