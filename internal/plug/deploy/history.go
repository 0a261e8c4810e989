package deploy

import (
	"slices"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// maxHistory is how many changes of a deployment are kept.
const maxHistory = 50

// listHistory answers with the accepted changes of a deployment, newest first.
func (deploy *Deployments) listHistory(ask model.AdminCallID, name string) {
	deploy.client.Read(catalogTable, historyPrefix+name+"/", func(rows []model.Row, ok bool) {
		if !ok {
			deploy.answerFailure(ask, codes.StoreUnavailable, "the history could not be read")
			return
		}
		changes, err := decodeHistory(rows)
		if err != nil {
			deploy.answerFailure(ask, codes.Internal, err.Error())
			return
		}
		if len(changes) == 0 {
			deploy.answerFailure(ask, codes.DeploymentNotFound, "deployment "+name+" has no history")
			return
		}
		deploy.answer(ask, event.NewHistory(changes))
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
