package model

// SettleID identifies a call that asks whether groups are settled.
type SettleID uint64

// GroupTerm is the newest term that a proxy knows of a group. It is immutable.
type GroupTerm struct {
	group     GroupID
	term      Term
	followers []InstanceID
	needsLog  bool
}

// NewGroupTerm returns a GroupTerm. followers are the instances that have reported the term and that
// every later promotion waits for.
func NewGroupTerm(group GroupID, term Term, followers ...InstanceID) GroupTerm {
	return GroupTerm{group: group, term: term, followers: followers}
}

// Group returns the group.
func (groupTerm GroupTerm) Group() GroupID { return groupTerm.group }

// WithNeedsLog returns a copy whose commits are confirmed only by the log of another follower.
func (groupTerm GroupTerm) WithNeedsLog(needsLog bool) GroupTerm {
	groupTerm.needsLog = needsLog
	return groupTerm
}

// NeedsLog reports whether a commit is confirmed only by the log of another follower, since an instance
// that is no longer waited for may still take part in commits.
func (groupTerm GroupTerm) NeedsLog() bool { return groupTerm.needsLog }

// Term returns the newest known term.
func (groupTerm GroupTerm) Term() Term { return groupTerm.term }

// Followers returns the instances that have reported the term, the primary among them, and that every
// later promotion waits for.
func (groupTerm GroupTerm) Followers() []InstanceID { return groupTerm.followers }

// Settlement says which groups no promotion is under way in, according to the proxy that orders
// promotions. It is immutable.
type Settlement struct {
	held      bool
	holder    ProxyID
	unsettled []GroupID
	terms     []GroupTerm
}

// NewSettlement returns the Settlement of the proxy that orders promotions. unsettled are the groups
// that a promotion may be under way in, and terms has an entry for each group that was asked for.
func NewSettlement(holder ProxyID, unsettled []GroupID, terms []GroupTerm) Settlement {
	return Settlement{held: true, holder: holder, unsettled: unsettled, terms: terms}
}

// NewReferral returns the answer of a proxy that orders no promotions. holder is the proxy that does,
// as far as it knows, or empty.
func NewReferral(holder ProxyID) Settlement { return Settlement{holder: holder} }

// Held reports whether the proxy that answered orders promotions.
func (settlement Settlement) Held() bool { return settlement.held }

// Holder returns the proxy that orders promotions, or the empty ID if it is unknown.
func (settlement Settlement) Holder() ProxyID { return settlement.holder }

// Unsettled returns the groups that a promotion may be under way in.
func (settlement Settlement) Unsettled() []GroupID { return settlement.unsettled }

// Terms returns the newest terms of the groups that were asked for. A group that the proxy does not
// know has no entry.
func (settlement Settlement) Terms() []GroupTerm { return settlement.terms }
