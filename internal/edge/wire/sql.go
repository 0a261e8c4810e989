package wire

import (
	"fmt"
	"strings"

	"almondway.dev/almondway/internal/core/model"
)

// Begin returns the statement that fences a write transaction with a term and
// inserts the ledger row of the request id. An empty id inserts no row.
func Begin(term model.Term, id string, digest uint64) string {
	return fmt.Sprintf(BeginSQL, uint64(term), quote(id), digest)
}

// Settle returns the statement that inserts a tombstone for the request id unless
// the ledger has a row for it.
func Settle(term model.Term, id string) string {
	return fmt.Sprintf(SettleSQL, uint64(term), quote(id))
}

// Trim returns the statement that deletes the ledger rows with a request id lower than id.
func Trim(term model.Term, id string) string {
	return fmt.Sprintf(TrimSQL, uint64(term), quote(id))
}

// Fence returns the statement that orders an instance to raise its fence to a term.
func Fence(term model.Term) string { return fmt.Sprintf(FenceSQL, uint64(term)) }

// Promote returns the statement that orders a promotion to primary of a term.
func Promote(term model.Term) string { return fmt.Sprintf(PromoteSQL, uint64(term)) }

// Follow returns the statement that orders an instance to replicate from the primary at address.
func Follow(term model.Term, primary model.InstanceID, address string) string {
	return fmt.Sprintf(FollowSQL, uint64(term), quote(string(primary)), quote(address))
}

// quote escapes text for use between single quotes in SQL.
func quote(text string) string { return strings.ReplaceAll(text, "'", "''") }
