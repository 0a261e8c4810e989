package insta

import (
	"fmt"
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// acceptFence sets the fence to term: the instance then rejects orders, entries
// and writes of a lower term. A primary of a lower term becomes a replica. It
// reports whether the fence was accepted. The caller holds mu.
func (instance *Instance) acceptFence(term model.Term) bool {
	if term < instance.fence || instance.joining {
		return false
	}
	if term > instance.fence {
		instance.raiseFence(term)
	}
	return true
}

// promote makes the instance the primary of the term of its fence. It reports
// whether the order was accepted. The caller holds mu.
func (instance *Instance) promote(term model.Term) bool {
	if instance.isPrimaryOf(term) {
		return true
	}
	if term != instance.fence || instance.followedTerm == term || instance.joining {
		return false
	}
	instance.primary = true
	instance.upstream = ""
	instance.counters.promotions.Add(1)
	instance.appendEntry(nil)
	return true
}

// follow starts replication from the primary of a term. It reports whether the
// order was accepted. The caller holds mu.
func (instance *Instance) follow(term model.Term, primary, address string) bool {
	if term < instance.fence || instance.isPrimaryOf(term) || primary == instance.self.ID {
		return term >= instance.fence && instance.isPrimaryOf(term) && primary == instance.self.ID
	}
	if instance.joining && instance.fence == 0 {
		return false
	}
	if instance.followedTerm == term {
		return instance.upstream == primary
	}
	instance.raiseFence(term)
	instance.startReplication(term, primary, address)
	return true
}

// raiseFence sets the fence, makes the instance a replica, stops the replication
// of an older term, and kills open write transactions. The caller holds mu.
func (instance *Instance) raiseFence(term model.Term) {
	instance.fence = term
	instance.primary = false
	instance.stopReplication()
	for tx := range instance.openTxs {
		instance.killTx(tx)
	}
	instance.notifyChange()
}

// status returns the status row. The caller holds mu.
func (instance *Instance) status(accepted bool) []string {
	role := model.RoleReplica
	silence := time.Since(instance.lastFrameAt)
	if instance.primary {
		role = model.RolePrimary
		silence = 0
	}
	tail := instance.log.tail()
	row := make([]string, wire.StatusColumnCount)
	row[wire.StatusAccepted] = formatBool(accepted)
	row[wire.StatusFence] = strconv.FormatUint(uint64(instance.fence), 10)
	row[wire.StatusRole] = role.String()
	row[wire.StatusTailTerm] = strconv.FormatUint(uint64(tail.Term()), 10)
	row[wire.StatusTailPosition] = strconv.FormatUint(uint64(tail.Position()), 10)
	row[wire.StatusUpstream] = instance.upstream
	row[wire.StatusSilence] = strconv.FormatInt(silence.Microseconds(), 10)
	row[wire.StatusLeaving] = formatBool(instance.leaving)
	return row
}

func formatBool(value bool) string {
	if value {
		return "t"
	}
	return "f"
}

func parseTerm(text string) (model.Term, error) {
	term, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newSQLError(sqlStateInvalidTextRepresentation, "term %q is not a number", text)
	}
	return model.Term(term), nil
}

// callPlatformFunction runs a platform function with mu held and returns the status
// row.
func (instance *Instance) callPlatformFunction(function func() bool) *result {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	row := instance.status(function())
	result := &result{tag: "SELECT 1", mark: instance.log.tail()}
	result.addRow(row...)
	for column := range wire.StatusColumnCount {
		result.columns = append(result.columns, textColumn(fmt.Sprintf("status_%d", column)))
	}
	return result
}
