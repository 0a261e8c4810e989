package deploy

import (
	"encoding/json"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

// readRows reads the rows that a change affects. The head row is read first, because the
// check of its version in the write protects the other rows. The change row is read last.
func (deployments *Deployments) readRows(change *change, done func(rows changeRows, ok bool)) {
	var found changeRows
	step := func(prefix string, take func(rows []model.Row), next func()) {
		deployments.client.Read(catalogTable, prefix, func(rows []model.Row, ok bool) {
			if !ok {
				done(changeRows{}, false)
				return
			}
			take(rows)
			next()
		})
	}
	finish := func() {
		head, err := decodeHead(found.headRow)
		found.head = head
		done(found, err == nil)
	}
	readChange := func() {
		key := changeKey(change.changeID)
		step(key, func(rows []model.Row) { found.changeRow, _ = table.Find(rows, key) }, finish)
	}
	readTrimmed := func() {
		key := trimmedChangeKey(found.historyRows)
		if key == "" {
			readChange()
			return
		}
		step(key, func(rows []model.Row) { found.trimmedRow, _ = table.Find(rows, key) }, readChange)
	}
	readHistory := func() {
		step(historyPrefix+change.name+"/", func(rows []model.Row) { found.historyRows = rows }, readTrimmed)
	}
	readDeployment := func() {
		key := deploymentKey(change.name)
		step(key, func(rows []model.Row) { found.deploymentRow, _ = table.Find(rows, key) }, readHistory)
	}
	step(headKey, func(rows []model.Row) { found.headRow, _ = table.Find(rows, headKey) }, readDeployment)
}

// trimmedChangeKey returns the key of the change row of the oldest change in a full history,
// or an empty string if the history is not full.
func trimmedChangeKey(history []model.Row) string {
	if len(history) < maxHistory {
		return ""
	}
	oldest, err := decodeChange(history[0])
	if err != nil {
		return ""
	}
	return changeKey(oldest.ChangeID)
}

// buildWrites returns the writes of the transaction that stores the change.
func (deployments *Deployments) buildWrites(change *change, rows changeRows, revision uint64) ([]model.RowWrite, error) {
	at := deployments.context.WallTime().UTC()
	head, err := json.Marshal(headRecord{Revision: revision, ChangeID: change.changeID, Operator: change.operator, At: at})
	if err != nil {
		return nil, err
	}
	var deployment []byte
	if change.deployment != nil {
		deployment, err = model.EncodeDeployment(change.deployment.WithRevision(revision))
		if err != nil {
			return nil, err
		}
	}
	record, err := json.Marshal(changeRecord{
		Revision:   revision,
		Name:       change.name,
		ChangeID:   change.changeID,
		Operator:   change.operator,
		At:         at,
		Digest:     change.digest,
		Deleted:    change.deployment == nil,
		Deployment: deployment,
	})
	if err != nil {
		return nil, err
	}
	writes := []model.RowWrite{
		model.NewRowWrite(catalogTable, headKey, rows.headRow.Version(), head),
		model.NewRowWrite(catalogTable, deploymentKey(change.name), rows.deploymentRow.Version(), deployment),
		model.NewRowWrite(catalogTable, changeKey(change.changeID), 0, record),
		model.NewRowWrite(catalogTable, historyKey(change.name, revision), 0, record),
	}
	return append(writes, trimWrites(rows)...), nil
}

// trimWrites returns the writes that remove the oldest change from a full history.
func trimWrites(rows changeRows) []model.RowWrite {
	if len(rows.historyRows) < maxHistory {
		return nil
	}
	oldest := rows.historyRows[0]
	writes := []model.RowWrite{model.NewRowWrite(catalogTable, oldest.Key(), oldest.Version(), nil)}
	if rows.trimmedRow.Version() > 0 {
		writes = append(writes, model.NewRowWrite(catalogTable, rows.trimmedRow.Key(), rows.trimmedRow.Version(), nil))
	}
	return writes
}
