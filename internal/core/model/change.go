package model

// MemberChanges are the differences between two states of the members of a proxy.
type MemberChanges struct {
	since   MembersVersion
	changed []ProxyView
	removed []ProxyID
}

// NewMemberChanges returns the MemberChanges after the state since: the members that are new or
// differ, and those that are gone.
func NewMemberChanges(since MembersVersion, changed []ProxyView, removed []ProxyID) MemberChanges {
	return MemberChanges{since: since, changed: changed, removed: removed}
}

// Since returns the state to which the changes are applied.
func (changes MemberChanges) Since() MembersVersion { return changes.since }

// Changed returns the members that are new or differ, in ascending order of their names.
func (changes MemberChanges) Changed() []ProxyView { return changes.changed }

// Removed returns the members that are gone, in ascending order.
func (changes MemberChanges) Removed() []ProxyID { return changes.removed }
