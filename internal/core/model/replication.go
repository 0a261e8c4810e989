package model

// Replication determines which component acknowledges the commits of a group.
// Only this package implements it.
type Replication interface{ isReplication() }

// ProxyAcknowledged is the replication of groups whose instances accept terms
// directly from proxies. The proxies count the instances that have a commit and
// acknowledge the commit once a majority has it.
type ProxyAcknowledged struct{}

func (ProxyAcknowledged) isReplication() {}

// PrimaryAcknowledged is the replication of groups whose primary acknowledges a
// commit once a given number of replicas have received it. The platform executes
// the promotions of such groups.
type PrimaryAcknowledged struct {
	replicas int
}

// NewPrimaryAcknowledged returns the replication of a primary that waits for
// the given number of replicas before it acknowledges a commit.
func NewPrimaryAcknowledged(replicas int) PrimaryAcknowledged {
	return PrimaryAcknowledged{replicas: replicas}
}

// Replicas returns how many replicas must have received a commit before it is acknowledged.
func (primaryAcknowledged PrimaryAcknowledged) Replicas() int { return primaryAcknowledged.replicas }

func (PrimaryAcknowledged) isReplication() {}
