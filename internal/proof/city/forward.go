package city

import (
	"maps"
	"slices"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// receivedForward is a forwarded statement that a proxy has received, and who sent it.
type receivedForward struct {
	sender *proxy
	kernel any // of the sender when it sent the statement
	id     model.ForwardID
}

// sendForward delivers a forwarded statement to the proxy whose name is the address.
func (proxy *proxy) sendForward(action event.Forward) {
	simulation := proxy.simulation
	proxy.pendingForwards[action.ID()] = true
	proxy.runTimer(action.Timeout(), func() { proxy.finishForward(event.NewForwardFailed(action.ID(), false, "no answer")) })
	receiver := simulation.proxy(action.Address())
	if receiver == nil || !proxy.reaches(receiver) {
		return
	}
	kernel := proxy.kernel
	simulation.runAfter(networkDelay, func() {
		if receiver.down || receiver.oldBuild {
			proxy.runTimer(networkDelay, func() { proxy.finishForward(event.NewForwardFailed(action.ID(), true, "connection refused")) })
			return
		}
		receiver.lastForward++
		receiver.receivedForwards[receiver.lastForward] = receivedForward{sender: proxy, kernel: kernel, id: action.ID()}
		receiver.post(0, event.NewForwardReceived(receiver.lastForward, action.Body()))
	})
}

// finishForward posts the result of a forwarded statement, unless it has one already.
func (proxy *proxy) finishForward(result event.Event) {
	var id model.ForwardID
	switch result := result.(type) {
	case event.ForwardAnswered:
		id = result.ID()
	case event.ForwardFailed:
		id = result.ID()
	}
	if proxy.pendingForwards[id] {
		delete(proxy.pendingForwards, id)
		proxy.post(0, result)
	}
}

// returnForward delivers the answer to a forwarded statement to its sender, unless it is lost.
func (proxy *proxy) returnForward(id model.ForwardID, result func(id model.ForwardID) event.Event) {
	received, ok := proxy.receivedForwards[id]
	delete(proxy.receivedForwards, id)
	if !ok || !proxy.reaches(received.sender) || proxy.losesAnswers {
		return
	}
	proxy.simulation.runAfter(networkDelay, func() {
		if received.sender.kernel == received.kernel {
			received.sender.finishForward(result(received.id))
		}
	})
}

// breakForwards ends the calls of a process that ends. Their senders see that the connection is
// lost.
func (proxy *proxy) breakForwards() {
	for _, id := range slices.Sorted(maps.Keys(proxy.receivedForwards)) {
		proxy.returnForward(id, func(id model.ForwardID) event.Event {
			return event.NewForwardFailed(id, false, "connection reset")
		})
	}
}

// sendEndForward delivers an EndForward.
func (proxy *proxy) sendEndForward(action event.EndForward) {
	receiver := proxy.simulation.proxy(action.To().Address())
	if receiver == nil || !proxy.reaches(receiver) {
		return
	}
	proxy.simulation.runAfter(networkDelay, func() {
		if !receiver.down && !receiver.oldBuild {
			receiver.post(0, event.NewEndForwardReceived(action.From().ID(), action.Process(), action.To().ID(), action.Number(), action.Tx()))
		}
	})
}
