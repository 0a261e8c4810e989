package deploy

import (
	"slices"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// maxHistory is the number of changes that are kept for each deployment.
const maxHistory = 50

// listHistory answers with the stored changes of a deployment, newest first.
func (deployments *Deployments) listHistory(commandID model.AdminCallID, name string) {
	deployments.client.Read(catalogTable, historyPrefix+name+"/", func(rows []model.Row, ok bool) {
		if !ok {
			deployments.answerFailure(commandID, codes.StoreUnavailable, "the history could not be read")
			return
		}
		changes, err := decodeHistory(rows)
		if err != nil {
			deployments.answerFailure(commandID, codes.Internal, err.Error())
			return
		}
		if len(changes) == 0 {
			deployments.answerFailure(commandID, codes.DeploymentNotFound, "deployment "+name+" has no history")
			return
		}
		deployments.answer(commandID, event.NewHistory(changes))
	})
}

func decodeHistory(rows []model.Row) ([]model.Change, error) {
	changes := make([]model.Change, 0, len(rows))
	for _, row := range slices.Backward(rows) {
		record, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		change, err := record.toChange()
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
