package model

import "time"

// ListingSpec lists the fields of a new Listing.
type ListingSpec struct {
	Group           GroupID
	Instance        Instance
	Role            Role
	Leaving         bool
	WarmUpRemaining time.Duration
	Born            int64
	Sequence        uint64
}

// Listing is the entry of an instance in the platform's list, as the instance
// published it. It is immutable.
type Listing struct {
	spec ListingSpec
}

// NewListing returns the Listing that spec describes.
func NewListing(spec ListingSpec) Listing { return Listing{spec: spec} }

// Group returns the group that the instance belongs to.
func (listing Listing) Group() GroupID { return listing.spec.Group }

// Instance returns the instance.
func (listing Listing) Instance() Instance { return listing.spec.Instance }

// ID returns the name of the instance.
func (listing Listing) ID() InstanceID { return listing.spec.Instance.ID() }

// Role returns the role that the instance reports for itself.
func (listing Listing) Role() Role { return listing.spec.Role }

// Leaving reports whether the instance is about to shut down.
func (listing Listing) Leaving() bool { return listing.spec.Leaving }

// WarmUpRemaining returns for how much longer the instance is slow after its start.
func (listing Listing) WarmUpRemaining() time.Duration { return listing.spec.WarmUpRemaining }

// Born returns the Unix time in milliseconds at which the process of the instance
// started, or 0 if unknown. A restarted instance has lost its sessions.
func (listing Listing) Born() int64 { return listing.spec.Born }

// Sequence returns the number that the instance raises with each write of its entry. It starts
// anew with the process of the instance.
func (listing Listing) Sequence() uint64 { return listing.spec.Sequence }

// Supersedes reports whether the instance wrote the entry after an earlier one of its own.
func (listing Listing) Supersedes(earlier Listing) bool {
	if listing.Born() != earlier.Born() {
		return listing.Born() > earlier.Born()
	}
	return listing.Sequence() > earlier.Sequence()
}

// SameContent reports whether two entries differ at most in their sequence numbers.
func (listing Listing) SameContent(other Listing) bool {
	listing.spec.Sequence = other.spec.Sequence
	return listing == other
}
