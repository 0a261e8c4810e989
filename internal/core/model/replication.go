package model

// Replication is how the instances of a group make a commit safe. It is sealed.
type Replication interface{ isReplication() }

// ProxyAcknowledged is the replication of groups whose instances grant terms:
// the proxies count which instances hold a commit, and acknowledge it themselves.
type ProxyAcknowledged struct{}

func (ProxyAcknowledged) isReplication() {}

// PrimaryAcknowledged is the replication of groups whose primary answers a
// commit once enough replicas have received it. Promotions are ordered from the
// platform.
type PrimaryAcknowledged struct {
	replicas int
}

// NewPrimaryAcknowledged returns the replication of a primary that waits for
// the given number of replicas.
func NewPrimaryAcknowledged(replicas int) PrimaryAcknowledged {
	return PrimaryAcknowledged{replicas: replicas}
}

// Replicas returns how many replicas have received a commit when it is answered.
func (acknowledged PrimaryAcknowledged) Replicas() int { return acknowledged.replicas }

func (PrimaryAcknowledged) isReplication() {}
