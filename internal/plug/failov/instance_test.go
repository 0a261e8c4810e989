package failov_test

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// instance simulates an instance. Its log is a list of the terms of its entries.
type instance struct {
	cluster    *cluster
	self       model.Instance
	fence      model.Term
	primary    bool
	upstream   model.InstanceID
	log        []model.Term
	contactAt  time.Duration
	dead       bool
	frozen     bool
	copyPaused bool // receives messages from its primary but copies no entries
	leaving    bool
	catchingUp bool // lost its log and has not caught up
	deferred   []func()
}

func (instance *instance) tail() model.Mark {
	if len(instance.log) == 0 {
		return model.Mark{}
	}
	return model.NewMark(instance.log[len(instance.log)-1], model.Position(len(instance.log)))
}

func (instance *instance) status() model.Status {
	if instance.primary {
		return model.NewStatus(instance.fence, model.RolePrimary, instance.tail(), "", 0, instance.leaving)
	}
	silence := instance.cluster.now - instance.contactAt
	return model.NewStatus(instance.fence, model.RoleReplica, instance.tail(), instance.upstream, silence, instance.leaving)
}

// write appends an entry if the instance is a running primary. It returns whether the role
// of the instance is primary.
func (instance *instance) write() bool {
	if instance.primary && !instance.dead && !instance.frozen {
		instance.log = append(instance.log, instance.fence)
	}
	return instance.primary
}

func (instance *instance) kill() {
	instance.dead = true
	instance.deferred = nil
}

// restart starts the instance again as a replica without an upstream.
func (instance *instance) restart(empty bool) {
	instance.dead = false
	instance.primary = false
	instance.upstream = ""
	instance.contactAt = instance.cluster.now
	if empty {
		instance.log = nil
		instance.fence = 0
	}
}

func (instance *instance) thaw() {
	instance.frozen = false
	for _, run := range instance.deferred {
		run()
	}
	instance.deferred = nil
}

func (instance *instance) execute(order event.Order) bool {
	switch order := order.(type) {
	case event.Fence:
		return instance.raiseFence(order.Term())
	case event.Promote:
		return instance.promote(order.Term())
	case event.Follow:
		return instance.follow(order)
	}
	return false
}

func (instance *instance) raiseFence(term model.Term) bool {
	if term < instance.fence || instance.catchingUp {
		return false
	}
	if term > instance.fence {
		instance.fence = term
		instance.primary = false
	}
	return true
}

func (instance *instance) promote(term model.Term) bool {
	if term != instance.fence || instance.catchingUp {
		return false
	}
	if !instance.primary {
		instance.primary = true
		instance.upstream = ""
		instance.log = append(instance.log, term)
		instance.cluster.primariesByTerm[term] = append(instance.cluster.primariesByTerm[term], instance.self.ID())
	}
	return true
}

func (instance *instance) follow(order event.Follow) bool {
	if order.Term() < instance.fence || (instance.primary && order.Term() == instance.fence) {
		return false
	}
	instance.fence = order.Term()
	instance.primary = false
	instance.upstream = order.Primary()
	instance.contactAt = instance.cluster.now
	return true
}

// replicate copies one entry from the primary and discards entries that the primary lacks.
func (instance *instance) replicate() {
	source := instance.cluster.instance(instance.upstream)
	if source == nil || instance.primary || !source.primary || source.fence != instance.fence || !instance.cluster.connected(instance, source) {
		return
	}
	instance.contactAt = instance.cluster.now
	if instance.copyPaused {
		return
	}
	shared := 0
	for shared < len(instance.log) && shared < len(source.log) && instance.log[shared] == source.log[shared] {
		shared++
	}
	instance.log = instance.log[:shared]
	if shared < len(source.log) {
		instance.log = append(instance.log, source.log[shared])
	}
	if len(instance.log) == len(source.log) {
		instance.catchingUp = false
	}
}
