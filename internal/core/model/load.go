package model

import "time"

// InstanceLoadSpec lists the fields of a new InstanceLoad.
type InstanceLoadSpec struct {
	Instance InstanceID
	// DataCenter is that of the proxies that sent the statements.
	DataCenter DataCenter
	// Born identifies the process of the instance, see Listing.Born.
	Born int64
	// Busy is the mean number of outstanding statements over the span.
	Busy float64
	// Offered is the mean number of slots that the statements sent in the span are expected to
	// hold.
	Offered float64
	// Refused is the number of statements that the instance refused for lack of a slot.
	Refused int
	Span    time.Duration
	// Age is how long before the report was sent the span ended.
	Age time.Duration
}

// InstanceLoad is what proxies of a data centre observed of the load of an instance. It is
// immutable.
type InstanceLoad struct {
	spec InstanceLoadSpec
}

// NewInstanceLoad returns the InstanceLoad that spec describes.
func NewInstanceLoad(spec InstanceLoadSpec) InstanceLoad { return InstanceLoad{spec: spec} }

// Instance returns the instance.
func (load InstanceLoad) Instance() InstanceID { return load.spec.Instance }

// DataCenter returns the data centre of the proxies.
func (load InstanceLoad) DataCenter() DataCenter { return load.spec.DataCenter }

// Born identifies the process of the instance.
func (load InstanceLoad) Born() int64 { return load.spec.Born }

// Busy returns the mean number of outstanding statements.
func (load InstanceLoad) Busy() float64 { return load.spec.Busy }

// Offered returns the mean number of slots that the statements are expected to hold.
func (load InstanceLoad) Offered() float64 { return load.spec.Offered }

// Refused returns the number of statements that were refused for lack of a slot.
func (load InstanceLoad) Refused() int { return load.spec.Refused }

// Span returns the time over which the load was observed.
func (load InstanceLoad) Span() time.Duration { return load.spec.Span }

// Age returns how long before the report was sent the span ended.
func (load InstanceLoad) Age() time.Duration { return load.spec.Age }

// LoadReport is a set of loads that a process of a proxy sends. The zero LoadReport means that
// none was sent.
type LoadReport struct {
	sequence uint64
	loads    []InstanceLoad
}

// NewLoadReport returns a LoadReport. The sequence rises with each report of a process; it is
// not 0.
func NewLoadReport(sequence uint64, loads []InstanceLoad) LoadReport {
	return LoadReport{sequence: sequence, loads: loads}
}

// Sequence returns the number of the report, or 0 if none was sent.
func (report LoadReport) Sequence() uint64 { return report.sequence }

// Loads returns the loads, at most one for each instance and data centre.
func (report LoadReport) Loads() []InstanceLoad { return report.loads }
