package route

import "almondway.dev/almondway/internal/core/model"

// The names under which Forwards and the count of what runs for other proxies are provided.
const (
	ForwardsService = "forwards"
	HoldersService  = "holders"
)

// Forwards tells which connections are those of another proxy. A statement on such a connection
// may be refused with ConnUser.ConnDenied after Conns.Execute, if nothing of it ran and no
// transaction is open.
type Forwards interface {
	// Forwards reports whether the statements on a connection are forwarded to another proxy.
	Forwards(conn model.ConnID) bool
}
