package front

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// acceptRetryDelay keeps a lack of file descriptors from using up the processor.
const acceptRetryDelay = 10 * time.Millisecond

// reserveStartup counts a connection that starts up. Those beyond twice the limit of
// callers are closed without an answer.
func (server *Server) reserveStartup() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.startingCount >= server.spec.MaxCallers {
		return false
	}
	server.startingCount++
	return true
}

func (server *Server) releaseStartup() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.startingCount--
}

// register makes a caller known under a new id. It returns false if the proxy
// has as many callers as it may have.
func (server *Server) register(caller *caller) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.callers) >= server.spec.MaxCallers {
		return false
	}
	server.lastCaller++
	caller.id = server.lastCaller
	server.callers[caller.id] = caller
	return true
}

func (server *Server) unregister(caller *caller) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.callers, caller.id)
}

func (server *Server) findCaller(id model.CallerID) *caller {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	return server.callers[id]
}

// runDisconnectChecks looks after the callers that wait for a reply, so that a caller that
// has gone does not hold on to its transaction until the reply comes.
func (server *Server) runDisconnectChecks() {
	ticker := time.NewTicker(server.spec.DisconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-server.done:
			return
		case <-ticker.C:
			server.checkDisconnects()
		}
	}
}

// checkDisconnects looks at the callers outside of the lock, which the kernel's
// loop needs for each answer.
func (server *Server) checkDisconnects() {
	for _, caller := range server.listCallers() {
		caller.mailbox.checkDisconnect(caller.conn)
	}
}

func (server *Server) listCallers() []*caller {
	server.mutex.RLock()
	defer server.mutex.RUnlock()
	callers := make([]*caller, 0, len(server.callers))
	for _, caller := range server.callers {
		callers = append(callers, caller)
	}
	return callers
}
