package front

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// acceptRetryDelay keeps the accept loop from using up the processor while no
// file descriptors are available.
const acceptRetryDelay = 10 * time.Millisecond

// reserveStartup counts a connection in start-up. It returns false if the
// number of connections in start-up has reached MaxCallers. Together with the
// registered callers there are at most twice MaxCallers connections. Further ones are
// closed without an answer.
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

// register adds a caller under a new id. It returns false if the limit of callers
// is reached.
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

// runDisconnectChecks periodically checks the callers that wait for a reply, so
// that the transaction of a disconnected caller ends without waiting for the
// reply.
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

// checkDisconnects checks the callers without holding the lock, since the event
// loop of the kernel takes it for each answer.
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
