package deploy

import (
	"fmt"
	"strings"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/table"
)

const (
	maxAttempts      = 6
	attemptBackoff   = 30 * time.Millisecond
	maxChangeIDBytes = 200
	storeRetryAfter  = time.Second
)

// change is an operator's change that is being made.
type change struct {
	commandID        model.AdminCallID
	name             string
	expectedRevision uint64
	changeID         string
	operator         string
	digest           string
	deployment       *model.Deployment // nil deletes the deployment
	attempts         int
	unansweredWrite  bool // a write got no answer and may yet take effect
}

// changeRows is what the store holds of the rows that a change concerns.
type changeRows struct {
	headRow       model.Row
	head          headRecord
	deploymentRow model.Row
	historyRows   []model.Row
	changeRow     model.Row
	trimmedRow    model.Row // the change row of the oldest history row, if that one is to go
}

func (deploy *Deployments) applyDeployment(ask model.AdminCallID, command event.ApplyDeployment) {
	if len(deploy.context.State().Groups()) == 0 {
		deploy.answerFailure(ask, codes.StoreUnavailable, "the platform has not listed its groups yet")
		return
	}
	if faults := deploy.validate(command.Deployment()); len(faults) > 0 {
		deploy.answerFailure(ask, codes.InvalidDeployment, strings.Join(faults, "; "))
		return
	}
	deploy.startChange(&change{
		commandID:        ask,
		name:             command.Deployment().Name(),
		expectedRevision: command.ExpectedRevision(),
		changeID:         command.ChangeID(),
		operator:         command.Operator(),
		deployment:       command.Deployment(),
	})
}

func (deploy *Deployments) deleteDeployment(ask model.AdminCallID, command event.DeleteDeployment) {
	deploy.startChange(&change{
		commandID:        ask,
		name:             command.Name(),
		expectedRevision: command.ExpectedRevision(),
		changeID:         command.ChangeID(),
		operator:         command.Operator(),
	})
}

func (deploy *Deployments) validate(deployment *model.Deployment) []string {
	var faults []string
	for _, fault := range model.Validate(deployment) {
		faults = append(faults, fault.Error())
	}
	for index, group := range deployment.Groups() {
		if deploy.context.State().Group(group) == nil {
			faults = append(faults, fmt.Sprintf("groups[%d]: the platform has no group %q", index, group))
		}
	}
	return faults
}

func (deploy *Deployments) startChange(change *change) {
	deploy.pendingChanges++
	if change.changeID == "" || len(change.changeID) > maxChangeIDBytes {
		deploy.failChange(change, codes.InvalidDeployment, fmt.Sprintf("change_id: must have 1 to %d bytes", maxChangeIDBytes))
		return
	}
	hashed, err := digest(change.name, change.expectedRevision, change.deployment)
	if err != nil {
		deploy.failChange(change, codes.Internal, err.Error())
		return
	}
	change.digest = hashed
	deploy.attempt(change)
}

// failChange ends a change that was not made.
func (deploy *Deployments) failChange(change *change, code codes.Code, detail string) {
	deploy.pendingChanges--
	deploy.answerFailure(change.commandID, code, detail)
}

// finishChange ends a change that is stored; its operator is answered once it is in force.
func (deploy *Deployments) finishChange(change *change, revision uint64) {
	deploy.pendingChanges--
	deploy.propagator.awaitInForce(change.commandID, revision)
}

// attempt reads the rows and writes the change. It runs again after a conflict
// and after a lost answer, which the row of the change decides.
func (deploy *Deployments) attempt(change *change) {
	if change.attempts == maxAttempts {
		deploy.answerStoreFailure(change)
		return
	}
	change.attempts++
	deploy.readRows(change, func(view changeRows, ok bool) {
		if !ok {
			deploy.retry(change)
			return
		}
		deploy.decide(change, view)
	})
}

func (deploy *Deployments) retry(change *change) {
	pause := time.Duration(change.attempts) * attemptBackoff
	jitter := time.Duration(deploy.context.Random().Int64N(int64(pause)))
	deploy.context.Timers().After(pause/2+jitter, func() { deploy.attempt(change) })
}

func (deploy *Deployments) answerStoreFailure(change *change) {
	if change.unansweredWrite {
		deploy.failChange(change, codes.AcceptanceUnknown, "the store did not answer the change")
		return
	}
	deploy.failChange(change, codes.StoreUnavailable, "the store did not answer or others kept changing the catalog")
}

// decide refuses the change, finds that it was made already, or writes it. The
// row of the change was read last: if it is missing, no other row shows it.
func (deploy *Deployments) decide(change *change, view changeRows) {
	if view.changeRow.Version() > 0 {
		deploy.answerRepeated(change, view.changeRow)
		return
	}
	current, err := currentRevision(view.deploymentRow)
	if err != nil {
		deploy.failChange(change, codes.Internal, err.Error())
		return
	}
	if current != change.expectedRevision {
		deploy.answerConflict(change, view, current)
		return
	}
	if change.deployment == nil && current == 0 {
		deploy.failChange(change, codes.DeploymentNotFound, fmt.Sprintf("deployment %q does not exist", change.name))
		return
	}
	deploy.writeChange(change, view)
}

// answerRepeated answers a change whose id the store holds.
func (deploy *Deployments) answerRepeated(change *change, row model.Row) {
	record, err := decodeChange(row)
	if err != nil {
		deploy.failChange(change, codes.Internal, err.Error())
		return
	}
	if record.Digest != change.digest {
		detail := fmt.Sprintf("change id %q made revision %d of deployment %q", record.ChangeID, record.Revision, record.Name)
		deploy.failChange(change, codes.ChangeIDReused, detail)
		return
	}
	deploy.loader.refresh()
	deploy.finishChange(change, record.Revision)
}

func (deploy *Deployments) answerConflict(change *change, view changeRows, current uint64) {
	detail := fmt.Sprintf("deployment %q does not exist", change.name)
	if current > 0 {
		detail = fmt.Sprintf("deployment %q is at revision %d, not %d", change.name, current, change.expectedRevision)
	}
	if len(view.historyRows) > 0 {
		if last, err := decodeChange(view.historyRows[len(view.historyRows)-1]); err == nil {
			detail += fmt.Sprintf("; revision %d was set by %q with change %q at %s", last.Revision, last.Operator, last.ChangeID, last.At.Format(time.RFC3339))
		}
	}
	deploy.failChange(change, codes.RevisionConflict, detail)
}

func (deploy *Deployments) writeChange(change *change, view changeRows) {
	revision := view.head.Revision + 1
	writes, err := deploy.buildWrites(change, view, revision)
	if err != nil {
		deploy.failChange(change, codes.Internal, err.Error())
		return
	}
	deploy.client.Write(writes, func(outcome table.Outcome) {
		if outcome == table.Written {
			deploy.applyWritten(change, revision)
			return
		}
		change.unansweredWrite = change.unansweredWrite || outcome == table.Failed
		deploy.retry(change)
	})
}

// applyWritten puts the change in force here and spreads it. The store need not
// answer any more if this proxy had the revision before in force.
func (deploy *Deployments) applyWritten(change *change, revision uint64) {
	state := deploy.context.State()
	before, known := state.Revision()
	if known && before+1 == revision {
		deploy.loader.putInForce(revision, change.applyTo(state.Deployments(), revision), "changed by "+change.operator)
	} else {
		deploy.loader.refresh()
	}
	deploy.finishChange(change, revision)
}

// applyTo returns the deployments after the change.
func (change *change) applyTo(deployments []*model.Deployment, revision uint64) []*model.Deployment {
	changed := make([]*model.Deployment, 0, len(deployments)+1)
	for _, deployment := range deployments {
		if deployment.Name() != change.name {
			changed = append(changed, deployment)
		}
	}
	if change.deployment != nil {
		changed = append(changed, change.deployment.WithRevision(revision))
	}
	return changed
}

func currentRevision(row model.Row) (uint64, error) {
	if row.Version() == 0 {
		return 0, nil
	}
	deployment, err := model.DecodeDeployment(row.Value())
	if err != nil {
		return 0, err
	}
	return deployment.Revision(), nil
}

func retryAfter(code codes.Code) time.Duration {
	if code == codes.StoreUnavailable || code == codes.AcceptanceUnknown {
		return storeRetryAfter
	}
	return 0
}
