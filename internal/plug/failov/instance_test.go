package failov_test

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// instance is a fake instance: a fence, a log of terms and a role.
type instance struct {
	rig      *rig
	self     model.Instance
	fence    model.Term
	primary  bool
	upstream model.InstanceID
	log      []model.Term
	heardAt  time.Duration
	dead     bool
	frozen   bool
	lags     bool // hears its primary and copies nothing
	leaving  bool
	joining  bool // lost its log and has not caught up
	waiting  []func()
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
	silence := instance.rig.now - instance.heardAt
	return model.NewStatus(instance.fence, model.RoleReplica, instance.tail(), instance.upstream, silence, instance.leaving)
}

// write appends an entry as a primary does. It reports false if the instance
// believes that it does not lead.
func (instance *instance) write() bool {
	if instance.primary && !instance.dead && !instance.frozen {
		instance.log = append(instance.log, instance.fence)
	}
	return instance.primary
}

func (instance *instance) kill() {
	instance.dead = true
	instance.waiting = nil
}

// restart starts the instance again as a replica that follows nobody.
func (instance *instance) restart(empty bool) {
	instance.dead = false
	instance.primary = false
	instance.upstream = ""
	instance.heardAt = instance.rig.now
	if empty {
		instance.log = nil
		instance.fence = 0
	}
}

func (instance *instance) thaw() {
	instance.frozen = false
	for _, run := range instance.waiting {
		run()
	}
	instance.waiting = nil
}

func (instance *instance) obey(order event.Order) bool {
	switch order := order.(type) {
	case event.Fence:
		return instance.raise(order.Term())
	case event.Promote:
		return instance.promote(order.Term())
	case event.Follow:
		return instance.follow(order)
	}
	return false
}

func (instance *instance) raise(term model.Term) bool {
	if term < instance.fence || instance.joining {
		return false
	}
	if term > instance.fence {
		instance.fence = term
		instance.primary = false
	}
	return true
}

func (instance *instance) promote(term model.Term) bool {
	if term != instance.fence || instance.joining {
		return false
	}
	if !instance.primary {
		instance.primary = true
		instance.upstream = ""
		instance.log = append(instance.log, term)
		instance.rig.led[term] = append(instance.rig.led[term], instance.self.ID())
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
	instance.heardAt = instance.rig.now
	return true
}

// sync copies one entry from the primary.
func (instance *instance) sync() {
	source := instance.rig.instance(instance.upstream)
	if source == nil || instance.primary || !source.primary || source.fence != instance.fence || !instance.rig.connected(instance, source) {
		return
	}
	instance.heardAt = instance.rig.now
	if instance.lags {
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
		instance.joining = false
	}
}
