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
	maxAttempts = 6
	// attemptBackoff is the back-off after the first attempt. It grows linearly with the
	// number of attempts.
	attemptBackoff   = 30 * time.Millisecond
	maxChangeIDBytes = 200
	storeRetryAfter  = time.Second
)

// change is a change by an operator that is in progress.
type change struct {
	commandID        model.AdminCallID
	name             string
	expectedRevision uint64
	changeID         string
	operator         string
	digest           string
	deployment       *model.Deployment // nil deletes the deployment
	attempts         int
	unansweredWrite  bool // a write got no answer and may still take effect
}

// changeRows contains the rows that a change affects, as read from the store. A row with
// version 0 does not exist.
type changeRows struct {
	headRow       model.Row
	head          headRecord
	deploymentRow model.Row
	historyRows   []model.Row
	changeRow     model.Row
	trimmedRow    model.Row // the change row of the oldest history row, if that row is to be removed
}

func (deployments *Deployments) applyDeployment(commandID model.AdminCallID, command event.ApplyDeployment) {
	if len(deployments.context.State().Groups()) == 0 {
		deployments.answerFailure(commandID, codes.StoreUnavailable, "the platform has not listed its groups yet")
		return
	}
	if faults := deployments.validate(command.Deployment()); len(faults) > 0 {
		deployments.answerFailure(commandID, codes.InvalidDeployment, strings.Join(faults, "; "))
		return
	}
	deployments.startChange(&change{
		commandID:        commandID,
		name:             command.Deployment().Name(),
		expectedRevision: command.ExpectedRevision(),
		changeID:         command.ChangeID(),
		operator:         command.Operator(),
		deployment:       command.Deployment(),
	})
}

func (deployments *Deployments) deleteDeployment(commandID model.AdminCallID, command event.DeleteDeployment) {
	deployments.startChange(&change{
		commandID:        commandID,
		name:             command.Name(),
		expectedRevision: command.ExpectedRevision(),
		changeID:         command.ChangeID(),
		operator:         command.Operator(),
	})
}

func (deployments *Deployments) validate(deployment *model.Deployment) []string {
	var faults []string
	for _, fault := range model.Validate(deployment) {
		faults = append(faults, fault.Error())
	}
	for index, group := range deployment.Groups() {
		if deployments.context.State().Group(group) == nil {
			faults = append(faults, fmt.Sprintf("groups[%d]: the platform has no group %q", index, group))
		}
	}
	return faults
}

func (deployments *Deployments) startChange(change *change) {
	deployments.pendingChanges++
	if change.changeID == "" || len(change.changeID) > maxChangeIDBytes {
		deployments.failChange(change, codes.InvalidDeployment, fmt.Sprintf("change_id: must have 1 to %d bytes", maxChangeIDBytes))
		return
	}
	contentDigest, err := digest(change.name, change.expectedRevision, change.deployment)
	if err != nil {
		deployments.failChange(change, codes.Internal, err.Error())
		return
	}
	change.digest = contentDigest
	deployments.attempt(change)
}

// failChange ends a change without success and answers its operator.
func (deployments *Deployments) failChange(change *change, code codes.Code, detail string) {
	deployments.pendingChanges--
	deployments.answerFailure(change.commandID, code, detail)
}

// finishChange ends a change that is stored. Its operator is answered once it is in force.
func (deployments *Deployments) finishChange(change *change, revision uint64) {
	deployments.pendingChanges--
	deployments.propagator.awaitInForce(change.commandID, revision)
}

// attempt reads the rows and writes the change. It is repeated after a write conflict and
// after a lost answer. The change row shows whether an earlier write took effect.
func (deployments *Deployments) attempt(change *change) {
	if change.attempts == maxAttempts {
		deployments.answerStoreFailure(change)
		return
	}
	change.attempts++
	deployments.readRows(change, func(rows changeRows, ok bool) {
		if !ok {
			deployments.retry(change)
			return
		}
		deployments.decide(change, rows)
	})
}

func (deployments *Deployments) retry(change *change) {
	backoff := time.Duration(change.attempts) * attemptBackoff
	jitter := time.Duration(deployments.context.Random().Int64N(int64(backoff)))
	deployments.context.Timers().After(backoff/2+jitter, func() { deployments.attempt(change) })
}

func (deployments *Deployments) answerStoreFailure(change *change) {
	if change.unansweredWrite {
		deployments.failChange(change, codes.AcceptanceUnknown, "the store did not answer the write of the change")
		return
	}
	deployments.failChange(change, codes.StoreUnavailable, "the store did not answer, or concurrent changes of the catalog caused conflicts")
}

// decide rejects the change, detects that it is already stored, or writes it. The change
// row was read last, so if it is missing, the other rows do not contain the change either.
func (deployments *Deployments) decide(change *change, rows changeRows) {
	if rows.changeRow.Version() > 0 {
		deployments.answerRepeated(change, rows.changeRow)
		return
	}
	current, err := currentRevision(rows.deploymentRow)
	if err != nil {
		deployments.failChange(change, codes.Internal, err.Error())
		return
	}
	if current != change.expectedRevision {
		deployments.answerConflict(change, rows, current)
		return
	}
	if change.deployment == nil && current == 0 {
		deployments.failChange(change, codes.DeploymentNotFound, fmt.Sprintf("deployment %q does not exist", change.name))
		return
	}
	deployments.writeChange(change, rows)
}

// answerRepeated handles a change whose change ID is already stored. It rejects the change
// if the stored one has different content.
func (deployments *Deployments) answerRepeated(change *change, row model.Row) {
	record, err := decodeChange(row)
	if err != nil {
		deployments.failChange(change, codes.Internal, err.Error())
		return
	}
	if record.Digest != change.digest {
		detail := fmt.Sprintf("change id %q made revision %d of deployment %q", record.ChangeID, record.Revision, record.Name)
		deployments.failChange(change, codes.ChangeIDReused, detail)
		return
	}
	deployments.loader.refresh()
	deployments.finishChange(change, record.Revision)
}

func (deployments *Deployments) answerConflict(change *change, rows changeRows, current uint64) {
	detail := fmt.Sprintf("deployment %q does not exist", change.name)
	if current > 0 {
		detail = fmt.Sprintf("deployment %q is at revision %d, not %d", change.name, current, change.expectedRevision)
	}
	if len(rows.historyRows) > 0 {
		if last, err := decodeChange(rows.historyRows[len(rows.historyRows)-1]); err == nil {
			detail += fmt.Sprintf("; revision %d was set by %q with change %q at %s", last.Revision, last.Operator, last.ChangeID, last.At.Format(time.RFC3339))
		}
	}
	deployments.failChange(change, codes.RevisionConflict, detail)
}

func (deployments *Deployments) writeChange(change *change, rows changeRows) {
	revision := rows.head.Revision + 1
	writes, err := deployments.buildWrites(change, rows, revision)
	if err != nil {
		deployments.failChange(change, codes.Internal, err.Error())
		return
	}
	deployments.client.Write(writes, func(outcome table.Outcome) {
		if outcome == table.Written {
			deployments.applyWritten(change, revision)
			return
		}
		change.unansweredWrite = change.unansweredWrite || outcome == table.Failed
		deployments.retry(change)
	})
}

// applyWritten puts the written change in force on this proxy and propagates it. If this
// proxy has the previous revision in force, it needs no further read of the store.
func (deployments *Deployments) applyWritten(change *change, revision uint64) {
	state := deployments.context.State()
	previous, known := state.Revision()
	if known && previous+1 == revision {
		deployments.loader.putInForce(revision, change.applyTo(state.Deployments(), revision), "changed by "+change.operator)
	} else {
		deployments.loader.refresh()
	}
	deployments.finishChange(change, revision)
}

// applyTo returns a copy of the deployments with the change applied.
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
