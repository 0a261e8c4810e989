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
}

// Listing is what an instance says of itself in the platform's list. It is immutable.
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

// Role returns what the instance believes it is.
func (listing Listing) Role() Role { return listing.spec.Role }

// Leaving reports whether the instance is about to shut down.
func (listing Listing) Leaving() bool { return listing.spec.Leaving }

// WarmUpRemaining returns how long the instance stays slow after its start.
func (listing Listing) WarmUpRemaining() time.Duration { return listing.spec.WarmUpRemaining }

// Born returns the Unix time in milliseconds at which the instance started, or 0
// if it does not say. An instance that starts again has lost its sessions.
func (listing Listing) Born() int64 { return listing.spec.Born }
