package city

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// receivedPoll is a poll that a proxy has received, and who sent it.
type receivedPoll struct {
	sender *proxy
	kernel any // of the sender when it sent the poll
	id     model.PollID
}

// reaches reports whether messages of a proxy arrive at another one.
func (proxy *proxy) reaches(other *proxy) bool {
	return !proxy.cutFrom[other] && !other.cutFrom[proxy]
}

// sendPoll delivers a poll to the proxy whose name is the address.
func (proxy *proxy) sendPoll(action event.SendPoll) {
	simulation := proxy.simulation
	proxy.pendingPolls[action.ID()] = true
	proxy.runTimer(action.Timeout(), func() { proxy.finishPoll(event.NewPollFailed(action.ID(), false, "no answer")) })
	receiver := simulation.proxy(action.Address())
	if receiver == nil || !proxy.reaches(receiver) {
		return
	}
	kernel := proxy.kernel
	simulation.runAfter(simulation.delay(proxy.dataCenter, receiver.dataCenter), func() {
		if receiver.down {
			proxy.runTimer(networkDelay, func() { proxy.finishPoll(event.NewPollFailed(action.ID(), true, "connection refused")) })
			return
		}
		receiver.lastPoll++
		receiver.receivedPolls[receiver.lastPoll] = receivedPoll{sender: proxy, kernel: kernel, id: action.ID()}
		receiver.post(0, event.NewPollReceived(receiver.lastPoll, action.Poll()))
	})
}

// runTimer calls a function after a delay unless the process was replaced meanwhile.
func (proxy *proxy) runTimer(delay time.Duration, callback func()) {
	kernel := proxy.kernel
	proxy.simulation.runAfter(delay, func() {
		if proxy.kernel == kernel {
			callback()
		}
	})
}

// finishPoll posts the result of a poll, unless it has one already.
func (proxy *proxy) finishPoll(result event.Event) {
	var id model.PollID
	switch result := result.(type) {
	case event.PollAnswered:
		id = result.ID()
	case event.PollFailed:
		id = result.ID()
	}
	if proxy.pendingPolls[id] {
		delete(proxy.pendingPolls, id)
		proxy.post(0, result)
	}
}

// returnPoll delivers the answer to a received poll to its sender.
func (proxy *proxy) returnPoll(id model.PollID, result func(id model.PollID) event.Event) {
	received, ok := proxy.receivedPolls[id]
	delete(proxy.receivedPolls, id)
	if !ok || !proxy.reaches(received.sender) {
		return
	}
	proxy.simulation.runAfter(proxy.simulation.delay(proxy.dataCenter, received.sender.dataCenter), func() {
		if received.sender.kernel == received.kernel {
			received.sender.finishPoll(result(received.id))
		}
	})
}

func (simulation *simulation) proxy(name string) *proxy {
	for _, proxy := range simulation.proxies {
		if proxy.name == name {
			return proxy
		}
	}
	return nil
}
