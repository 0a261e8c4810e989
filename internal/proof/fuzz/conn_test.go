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

func (proxy *proxy) openConn(action event.OpenConn) {
	target := proxy.simulation.instance(action.Instance())
	firstAnswer := &firstAnswer{proxy: proxy}
	firstAnswer.timeout(time.Second, event.NewConnFailed(action.Conn(), model.ConnFailureTimeout))
	proxy.simulation.runAfter(connectDelay, func() {
		proxy.callInstance(firstAnswer, target, func() event.Event {
			if target.leaving {
				return event.NewConnFailed(action.Conn(), model.ConnFailureLeaving)
			}
			proxy.conns[action.Conn()] = backendConn{instance: target, incarnation: target.incarnation}
			return event.NewConnOpened(action.Conn())
		}, func(reason model.ConnFailure) event.Event { return event.NewConnFailed(action.Conn(), reason) })
	})
}

// callInstance runs run on an instance after a network delay and posts its
// result, or the result of failed if the instance is down or its process ends
// before the answer arrives. With a partition or a dropped answer it posts
// nothing, so that the timeout of firstAnswer ends the call.
func (proxy *proxy) callInstance(firstAnswer *firstAnswer, target *instance, run func() event.Event, failed func(model.ConnFailure) event.Event) {
	simulation := proxy.simulation
	simulation.runAfter(simulation.delay(), func() {
		if target == nil || !target.alive {
			simulation.runAfter(simulation.delay(), func() { firstAnswer.post(failed(model.ConnFailureRefused)) })
			return
		}
		if proxy.partitionedFrom[target.id] {
			return
		}
		incarnation := target.incarnation
		target.deliver(func() {
			if target.incarnation != incarnation || !proxy.alive {
				simulation.runAfter(simulation.delay(), func() { firstAnswer.post(failed(model.ConnFailureReset)) })
				return
			}
			result := run()
			if proxy.partitionedFrom[target.id] || proxy.dropsAnswersFrom[target.id] {
				return
			}
			simulation.runAfter(simulation.delay(), func() {
				if target.incarnation != incarnation {
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
func (proxy *proxy) breakConns(target *instance) {
	for _, conn := range slices.Sorted(maps.Keys(proxy.conns)) {
		if proxy.conns[conn].instance == target {
			delete(proxy.conns, conn)
			proxy.simulation.runAfter(proxy.simulation.delay(), func() { proxy.post(event.NewConnClosed(conn)) })
		}
	}
}

func (proxy *proxy) closeConn(conn model.ConnID) {
	if target := proxy.conns[conn].instance; target != nil {
		delete(target.openTxs, connKey{proxy: proxy, conn: conn})
	}
	delete(proxy.conns, conn)
}

func (proxy *proxy) resetConn(action event.ResetConn) {
	target := proxy.conns[action.Conn()].instance
	firstAnswer := &firstAnswer{proxy: proxy}
	firstAnswer.timeout(time.Second, event.NewResetDone(action.Conn(), false))
	proxy.callInstance(firstAnswer, target, func() event.Event {
		delete(target.openTxs, connKey{proxy: proxy, conn: action.Conn()})
		return event.NewResetDone(action.Conn(), true)
	}, func(model.ConnFailure) event.Event { return event.NewResetDone(action.Conn(), false) })
}

func (proxy *proxy) execute(action event.Execute) {
	target := proxy.conns[action.Conn()].instance
	key := connKey{proxy: proxy, conn: action.Conn()}
	firstAnswer := &firstAnswer{proxy: proxy}
	lost := event.NewExecuteFailed(action.Exec(), action.Conn(), model.FailureLost, false, model.Mark{}, nil)
	limit := action.Work().Timeout()
	if limit == 0 {
		limit = storeTimeout
	}
	firstAnswer.timeout(limit, lost)
	if target == nil {
		notSent := event.NewExecuteFailed(action.Exec(), action.Conn(), model.FailureNotSent, false, model.Mark{}, nil)
		proxy.simulation.runAfter(0, func() { firstAnswer.post(notSent) })
		return
	}
	proxy.simulation.oracle.checkNewWork(proxy, target, action.Work())
	proxy.callInstance(firstAnswer, target, func() event.Event {
		proxy.simulation.oracle.checkConnUse(target, key, action.Work())
		return target.execute(key, action)
	}, func(model.ConnFailure) event.Event { return lost })
}

func (proxy *proxy) probe(action event.Probe) {
	target := proxy.simulation.instance(action.Instance())
	firstAnswer := &firstAnswer{proxy: proxy}
	firstAnswer.timeout(action.Timeout(), event.NewProbeFailed(action.Probe(), action.Instance(), model.ConnFailureTimeout))
	proxy.callInstance(firstAnswer, target, func() event.Event {
		return event.NewStatusReported(action.Probe(), action.Instance(), target.status())
	}, func(reason model.ConnFailure) event.Event {
		return event.NewProbeFailed(action.Probe(), action.Instance(), reason)
	})
}

func (proxy *proxy) sendOrder(action event.SendOrder) {
	target := proxy.simulation.instance(action.Instance())
	firstAnswer := &firstAnswer{proxy: proxy}
	firstAnswer.timeout(action.Timeout(), event.NewOrderFailed(action.Order(), action.Instance(), model.ConnFailureTimeout))
	proxy.callInstance(firstAnswer, target, func() event.Event {
		accepted := target.applyOrder(action.Body())
		return event.NewOrderAnswered(action.Order(), action.Instance(), accepted, target.status())
	}, func(reason model.ConnFailure) event.Event {
		return event.NewOrderFailed(action.Order(), action.Instance(), reason)
	})
}
