package city

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// receivedSettle is a question about promotions that a proxy has received, and who sent it.
type receivedSettle struct {
	sender *proxy
	kernel any // of the sender when it sent the question
	id     model.SettleID
}

// sendSettle delivers a question to the proxy that orders promotions.
func (proxy *proxy) sendSettle(action event.Settle) {
	simulation := proxy.simulation
	proxy.pendingSettles[action.ID()] = true
	proxy.runTimer(action.Timeout(), func() { proxy.finishSettle(action.ID(), event.NewSettleFailed(action.ID(), false, "no answer")) })
	receiver := simulation.proxy(action.Holder().Address())
	if receiver == nil || !proxy.reaches(receiver) {
		return
	}
	kernel := proxy.kernel
	simulation.runAfter(simulation.delay(proxy.dataCenter, receiver.dataCenter), func() {
		if receiver.down || receiver.oldBuild {
			failed := event.NewSettleFailed(action.ID(), !receiver.down, "refused")
			proxy.runTimer(networkDelay, func() { proxy.finishSettle(action.ID(), failed) })
			return
		}
		receiver.lastSettle++
		receiver.receivedSettles[receiver.lastSettle] = receivedSettle{sender: proxy, kernel: kernel, id: action.ID()}
		receiver.post(0, event.NewSettleReceived(receiver.lastSettle, action.Holder().ID(), action.Groups()))
	})
}

// finishSettle posts the result of a question, unless it has one already.
func (proxy *proxy) finishSettle(id model.SettleID, result event.Event) {
	if proxy.pendingSettles[id] {
		delete(proxy.pendingSettles, id)
		proxy.post(0, result)
	}
}

// returnSettle delivers the answer to a question to its sender.
func (proxy *proxy) returnSettle(id model.SettleID, result func(id model.SettleID) event.Event) {
	received, ok := proxy.receivedSettles[id]
	delete(proxy.receivedSettles, id)
	if !ok || !proxy.reaches(received.sender) {
		return
	}
	proxy.simulation.runAfter(proxy.simulation.delay(proxy.dataCenter, received.sender.dataCenter), func() {
		if received.sender.kernel == received.kernel {
			received.sender.finishSettle(received.id, result(received.id))
		}
	})
}
