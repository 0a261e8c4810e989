package mesh

import (
	"net/http"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/proto/meshpb"
)

// shortClient is the client of the calls with short answers to one address: those for tokens, and those
// that forward statements. It is kept, since a new client for each call costs more than the call
// itself.
type shortClient struct {
	http   *http.Client
	client meshpb.MeshServiceClient
}

// shortClient returns the client for an address. It shares the connection of all other calls.
func (mesh *Mesh) shortClient(address string) *shortClient {
	used := mesh.client(address)
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	found, ok := mesh.shortClients[address]
	if !ok || found.http != used {
		// Answers are not compressed: they are small and cost more processor time than bytes.
		client := meshpb.NewMeshServiceClient(used, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
		found = &shortClient{http: used, client: client}
		mesh.shortClients[address] = found
	}
	return found
}
