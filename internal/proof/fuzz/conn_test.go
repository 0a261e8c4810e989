package fuzz

import (
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const openTime = 10 * time.Millisecond

// once posts the first of several possible answers and drops the others.
type once struct {
	node *node
	done bool
}

func (once *once) post(received event.Event) {
	if once.done {
		return
	}
	once.done = true
	once.node.post(received)
}

func (once *once) timeout(limit time.Duration, received event.Event) {
	if limit > 0 {
		once.node.world.after(limit, func() { once.post(received) })
	}
}

func (node *node) open(action event.OpenConn) {
	target := node.world.instance(action.Instance())
	answer := &once{node: node}
	answer.timeout(time.Second, event.NewConnFailed(action.Conn(), model.ConnFailureTimeout))
	node.world.after(openTime, func() {
		node.reachOnce(answer, target, func() event.Event {
			if target.leaving {
				return event.NewConnFailed(action.Conn(), model.ConnFailureLeaving)
			}
			node.conns[action.Conn()] = backendConn{instance: target, boots: target.boots}
			return event.NewConnOpened(action.Conn())
		}, func(reason model.ConnFailure) event.Event { return event.NewConnFailed(action.Conn(), reason) })
	})
}

// reachOnce is reach with an answer that may also come from a timeout.
func (node *node) reachOnce(answer *once, target *instance, there func() event.Event, failed func(model.ConnFailure) event.Event) {
	world := node.world
	world.after(world.delay(), func() {
		if target == nil || !target.alive {
			world.after(world.delay(), func() { answer.post(failed(model.ConnFailureRefused)) })
			return
		}
		if node.cutFrom[target.id] {
			return
		}
		boots := target.boots
		target.deliver(func() {
			if target.boots != boots || !node.alive {
				world.after(world.delay(), func() { answer.post(failed(model.ConnFailureReset)) })
				return
			}
			result := there()
			if node.cutFrom[target.id] || node.deafTo[target.id] {
				return
			}
			world.after(world.delay(), func() {
				if target.boots != boots {
					result = failed(model.ConnFailureReset)
				}
				answer.post(result)
			})
		})
	})
}

// backendConn is a connection to an instance as it was when it was opened.
type backendConn struct {
	instance *instance
	boots    int
}

// reset breaks the connections to an instance whose process ended.
func (node *node) reset(target *instance) {
	for _, conn := range slices.Sorted(maps.Keys(node.conns)) {
		if node.conns[conn].instance == target {
			delete(node.conns, conn)
			node.world.after(node.world.delay(), func() { node.post(event.NewConnClosed(conn)) })
		}
	}
}

func (node *node) close(conn model.ConnID) {
	if target := node.conns[conn].instance; target != nil {
		delete(target.open, connKey{node: node, conn: conn})
	}
	delete(node.conns, conn)
}

func (node *node) clean(action event.ResetConn) {
	target := node.conns[action.Conn()].instance
	answer := &once{node: node}
	answer.timeout(time.Second, event.NewResetDone(action.Conn(), false))
	node.reachOnce(answer, target, func() event.Event {
		delete(target.open, connKey{node: node, conn: action.Conn()})
		return event.NewResetDone(action.Conn(), true)
	}, func(model.ConnFailure) event.Event { return event.NewResetDone(action.Conn(), false) })
}

func (node *node) execute(action event.Execute) {
	target := node.conns[action.Conn()].instance
	key := connKey{node: node, conn: action.Conn()}
	answer := &once{node: node}
	lost := event.NewExecuteFailed(action.Exec(), action.Conn(), model.FailureLost, false, model.Mark{}, nil)
	limit := action.Work().Timeout()
	if limit == 0 {
		limit = storeTimeout
	}
	answer.timeout(limit, lost)
	if target == nil {
		class := event.NewExecuteFailed(action.Exec(), action.Conn(), model.FailureNotSent, false, model.Mark{}, nil)
		node.world.after(0, func() { answer.post(class) })
		return
	}
	node.world.oracle.executing(node, target, action.Work())
	node.reachOnce(answer, target, func() event.Event {
		node.world.oracle.executed(target, key, action.Work())
		return target.execute(key, action)
	}, func(model.ConnFailure) event.Event { return lost })
}

func (node *node) probe(action event.Probe) {
	target := node.world.instance(action.Instance())
	answer := &once{node: node}
	answer.timeout(action.Timeout(), event.NewProbeFailed(action.Probe(), action.Instance(), model.ConnFailureTimeout))
	node.reachOnce(answer, target, func() event.Event {
		return event.NewStatusReported(action.Probe(), action.Instance(), target.status())
	}, func(reason model.ConnFailure) event.Event {
		return event.NewProbeFailed(action.Probe(), action.Instance(), reason)
	})
}

func (node *node) order(action event.SendOrder) {
	target := node.world.instance(action.Instance())
	answer := &once{node: node}
	answer.timeout(action.Timeout(), event.NewOrderFailed(action.Order(), action.Instance(), model.ConnFailureTimeout))
	node.reachOnce(answer, target, func() event.Event {
		accepted := target.obey(action.Body())
		return event.NewOrderAnswered(action.Order(), action.Instance(), accepted, target.status())
	}, func(reason model.ConnFailure) event.Event {
		return event.NewOrderFailed(action.Order(), action.Instance(), reason)
	})
}
