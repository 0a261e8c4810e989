package fuzz

import (
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const connectDelay = 10 * time.Millisecond

// firstAnswer posts the first of several possible answers, such as a result and
// a timeout, and drops the others.
type firstAnswer struct {
	proxy *proxy
	done  bool
}

func (firstAnswer *firstAnswer) post(received event.Event) {
	if firstAnswer.done {
		return
	}
	firstAnswer.done = true
	firstAnswer.proxy.post(received)
}

func (firstAnswer *firstAnswer) timeout(limit time.Duration, received event.Event) {
	if limit > 0 {
		firstAnswer.proxy.simulation.runAfter(limit, func() { firstAnswer.post(received) })
	}
}

func (node *proxy) openConn(action event.OpenConn) {
	target := node.simulation.instance(action.Instance())
	firstAnswer := &firstAnswer{proxy: node}
	firstAnswer.timeout(time.Second, event.NewConnFailed(action.Conn(), model.ConnFailureTimeout))
	node.simulation.runAfter(connectDelay, func() {
		node.callInstance(firstAnswer, target, func() event.Event {
			if target.leaving {
				return event.NewConnFailed(action.Conn(), model.ConnFailureLeaving)
			}
			node.conns[action.Conn()] = backendConn{instance: target, incarnation: target.incarnation}
			return event.NewConnOpened(action.Conn())
		}, func(reason model.ConnFailure) event.Event { return event.NewConnFailed(action.Conn(), reason) })
	})
}

// callInstance runs run on an instance after a network delay and posts its
// result, or the result of failed if the instance is down or its process ends
// before the answer arrives. With a partition or a dropped answer it posts
// nothing, so that the timeout of firstAnswer ends the call.
func (node *proxy) callInstance(firstAnswer *firstAnswer, target *instance, run func() event.Event, failed func(model.ConnFailure) event.Event) {
	simulation := node.simulation
	simulation.runAfter(simulation.delay(), func() {
		if target == nil || !target.alive {
			simulation.runAfter(simulation.delay(), func() { firstAnswer.post(failed(model.ConnFailureRefused)) })
			return
		}
		if node.partitionedFrom[target.id] {
			return
		}
		boots := target.incarnation
		target.deliver(func() {
			if target.incarnation != boots || !node.alive {
				simulation.runAfter(simulation.delay(), func() { firstAnswer.post(failed(model.ConnFailureReset)) })
				return
			}
			result := run()
			if node.partitionedFrom[target.id] || node.dropsAnswersFrom[target.id] {
				return
			}
			simulation.runAfter(simulation.delay(), func() {
				if target.incarnation != boots {
					result = failed(model.ConnFailureReset)
				}
				firstAnswer.post(result)
			})
		})
	})
}

// backendConn is a connection to one incarnation of an instance.
type backendConn struct {
	instance    *instance
	incarnation int
}

// breakConns closes the connections to an instance whose process ended.
func (node *proxy) breakConns(target *instance) {
	for _, conn := range slices.Sorted(maps.Keys(node.conns)) {
		if node.conns[conn].instance == target {
			delete(node.conns, conn)
			node.simulation.runAfter(node.simulation.delay(), func() { node.post(event.NewConnClosed(conn)) })
		}
	}
}

func (node *proxy) closeConn(conn model.ConnID) {
	if target := node.conns[conn].instance; target != nil {
		delete(target.openTxs, connKey{proxy: node, conn: conn})
	}
	delete(node.conns, conn)
}

func (node *proxy) resetConn(action event.ResetConn) {
	target := node.conns[action.Conn()].instance
	firstAnswer := &firstAnswer{proxy: node}
	firstAnswer.timeout(time.Second, event.NewResetDone(action.Conn(), false))
	node.callInstance(firstAnswer, target, func() event.Event {
		delete(target.openTxs, connKey{proxy: node, conn: action.Conn()})
		return event.NewResetDone(action.Conn(), true)
	}, func(model.ConnFailure) event.Event { return event.NewResetDone(action.Conn(), false) })
}

func (node *proxy) execute(action event.Execute) {
	target := node.conns[action.Conn()].instance
	key := connKey{proxy: node, conn: action.Conn()}
	firstAnswer := &firstAnswer{proxy: node}
	lost := event.NewExecuteFailed(action.Exec(), action.Conn(), model.FailureLost, false, model.Mark{}, nil)
	limit := action.Work().Timeout()
	if limit == 0 {
		limit = storeTimeout
	}
	firstAnswer.timeout(limit, lost)
	if target == nil {
		notSent := event.NewExecuteFailed(action.Exec(), action.Conn(), model.FailureNotSent, false, model.Mark{}, nil)
		node.simulation.runAfter(0, func() { firstAnswer.post(notSent) })
		return
	}
	node.simulation.oracle.checkNewWork(node, target, action.Work())
	node.callInstance(firstAnswer, target, func() event.Event {
		node.simulation.oracle.checkConnUse(target, key, action.Work())
		return target.execute(key, action)
	}, func(model.ConnFailure) event.Event { return lost })
}

func (node *proxy) probe(action event.Probe) {
	target := node.simulation.instance(action.Instance())
	firstAnswer := &firstAnswer{proxy: node}
	firstAnswer.timeout(action.Timeout(), event.NewProbeFailed(action.Probe(), action.Instance(), model.ConnFailureTimeout))
	node.callInstance(firstAnswer, target, func() event.Event {
		return event.NewStatusReported(action.Probe(), action.Instance(), target.status())
	}, func(reason model.ConnFailure) event.Event {
		return event.NewProbeFailed(action.Probe(), action.Instance(), reason)
	})
}

func (node *proxy) sendOrder(action event.SendOrder) {
	target := node.simulation.instance(action.Instance())
	firstAnswer := &firstAnswer{proxy: node}
	firstAnswer.timeout(action.Timeout(), event.NewOrderFailed(action.Order(), action.Instance(), model.ConnFailureTimeout))
	node.callInstance(firstAnswer, target, func() event.Event {
		accepted := target.applyOrder(action.Body())
		return event.NewOrderAnswered(action.Order(), action.Instance(), accepted, target.status())
	}, func(reason model.ConnFailure) event.Event {
		return event.NewOrderFailed(action.Order(), action.Instance(), reason)
	})
}
