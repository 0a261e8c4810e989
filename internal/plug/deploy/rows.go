package deploy

import (
	"encoding/json"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

// read collects the rows that a change concerns. The head row comes first,
// because its version guards the others, and the row of the change last.
func (deploy *Deploy) read(change *change, done func(view view, ok bool)) {
	var found view
	step := func(prefix string, take func(rows []model.Row), next func()) {
		deploy.client.Read(catalogTable, prefix, func(rows []model.Row, ok bool) {
			if !ok {
				done(view{}, false)
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
		step(key, func(rows []model.Row) { found.change, _ = table.Find(rows, key) }, finish)
	}
	readTrimmed := func() {
		key := trimmedKey(found.history)
		if key == "" {
			readChange()
			return
		}
		step(key, func(rows []model.Row) { found.trimmed, _ = table.Find(rows, key) }, readChange)
	}
	readHistory := func() {
		step(historyPrefix+change.name+"/", func(rows []model.Row) { found.history = rows }, readTrimmed)
	}
	readDeployment := func() {
		key := deploymentKey(change.name)
		step(key, func(rows []model.Row) { found.deployment, _ = table.Find(rows, key) }, readHistory)
	}
	step(headKey, func(rows []model.Row) { found.headRow, _ = table.Find(rows, headKey) }, readDeployment)
}

// trimmedKey returns the key of the change row that goes with the oldest row of
// a full history, or the empty text.
func trimmedKey(history []model.Row) string {
	if len(history) < maxHistory {
		return ""
	}
	oldest, err := decodeChange(history[0])
	if err != nil {
		return ""
	}
	return changeKey(oldest.ChangeID)
}

// rows returns the transaction that makes the change.
func (deploy *Deploy) rows(change *change, view view, revision uint64) ([]model.RowWrite, error) {
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
		model.NewRowWrite(catalogTable, deploymentKey(change.name), view.deployment.Version(), deployment),
		model.NewRowWrite(catalogTable, changeKey(change.changeID), 0, record),
		model.NewRowWrite(catalogTable, historyKey(change.name, revision), 0, record),
	}
	return append(writes, trim(view)...), nil
}

// trim returns the writes that remove the oldest change of a full history.
func trim(view view) []model.RowWrite {
	if len(view.history) < maxHistory {
		return nil
	}
	oldest := view.history[0]
	writes := []model.RowWrite{model.NewRowWrite(catalogTable, oldest.Key(), oldest.Version(), nil)}
	if view.trimmed.Version() > 0 {
		writes = append(writes, model.NewRowWrite(catalogTable, view.trimmed.Key(), view.trimmed.Version(), nil))
	}
	return writes
}
