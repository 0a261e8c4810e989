package model

// Replication is how the instances of a group make a commit safe. It is sealed.
type Replication interface{ isReplication() }

// MajorityAcknowledged is the replication of groups whose instances grant terms:
// the proxies count which instances hold a commit, and acknowledge it themselves.
type MajorityAcknowledged struct{}

func (MajorityAcknowledged) isReplication() {}

// InstanceAcknowledged is the replication of groups whose primary answers a
// commit once enough replicas have received it. Promotions are ordered from the
// platform.
type InstanceAcknowledged struct {
	replicas int
}

// NewInstanceAcknowledged returns the replication of a primary that waits for
// the given number of replicas.
func NewInstanceAcknowledged(replicas int) InstanceAcknowledged {
	return InstanceAcknowledged{replicas: replicas}
}

// Replicas returns how many replicas have received a commit when it is answered.
func (acknowledged InstanceAcknowledged) Replicas() int { return acknowledged.replicas }

func (InstanceAcknowledged) isReplication() {}
