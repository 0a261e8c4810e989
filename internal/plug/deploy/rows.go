package deploy

import (
	"encoding/json"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

// readRows collects the rows that a change concerns. The head row comes first,
// because its version guards the others, and the row of the change last.
func (deploy *Deployments) readRows(change *change, done func(view changeRows, ok bool)) {
	var found changeRows
	step := func(prefix string, take func(rows []model.Row), next func()) {
		deploy.client.Read(catalogTable, prefix, func(rows []model.Row, ok bool) {
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

// trimmedChangeKey returns the key of the change row that goes with the oldest row of
// a full history, or the empty text.
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

// buildWrites returns the transaction that makes the change.
func (deploy *Deployments) buildWrites(change *change, view changeRows, revision uint64) ([]model.RowWrite, error) {
	at := deploy.context.WallTime().UTC()
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
		model.NewRowWrite(catalogTable, headKey, view.headRow.Version(), head),
		model.NewRowWrite(catalogTable, deploymentKey(change.name), view.deploymentRow.Version(), deployment),
		model.NewRowWrite(catalogTable, changeKey(change.changeID), 0, record),
		model.NewRowWrite(catalogTable, historyKey(change.name, revision), 0, record),
	}
	return append(writes, trimWrites(view)...), nil
}

// trimWrites returns the writes that remove the oldest change of a full history.
func trimWrites(view changeRows) []model.RowWrite {
	if len(view.historyRows) < maxHistory {
		return nil
	}
	oldest := view.historyRows[0]
	writes := []model.RowWrite{model.NewRowWrite(catalogTable, oldest.Key(), oldest.Version(), nil)}
	if view.trimmedRow.Version() > 0 {
		writes = append(writes, model.NewRowWrite(catalogTable, view.trimmedRow.Key(), view.trimmedRow.Version(), nil))
	}
	return writes
}
