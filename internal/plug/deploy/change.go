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
	maxAttempts     = 6
	attemptPause    = 30 * time.Millisecond
	maxChangeID     = 200
	storeRetryAfter = time.Second
)

// change is an operator's change that is being made.
type change struct {
	ask        model.AdminCallID
	name       string
	expected   uint64
	changeID   string
	operator   string
	digest     string
	deployment *model.Deployment // nil deletes the deployment
	attempts   int
	unanswered bool // a write got no answer and may yet take effect
}

// view is what the store holds of the rows that a change concerns.
type view struct {
	headRow    model.Row
	head       headRecord
	deployment model.Row
	history    []model.Row
	change     model.Row
	trimmed    model.Row // the change row of the oldest history row, if that one is to go
}

func (deploy *Deploy) apply(ask model.AdminCallID, command event.ApplyDeployment) {
	if len(deploy.context.State().Groups()) == 0 {
		deploy.refuse(ask, codes.StoreUnavailable, "the platform has not listed its groups yet")
		return
	}
	if faults := deploy.validate(command.Deployment()); len(faults) > 0 {
		deploy.refuse(ask, codes.InvalidDeployment, strings.Join(faults, "; "))
		return
	}
	deploy.begin(&change{
		ask:        ask,
		name:       command.Deployment().Name(),
		expected:   command.ExpectedRevision(),
		changeID:   command.ChangeID(),
		operator:   command.Operator(),
		deployment: command.Deployment(),
	})
}

func (deploy *Deploy) remove(ask model.AdminCallID, command event.DeleteDeployment) {
	deploy.begin(&change{
		ask:      ask,
		name:     command.Name(),
		expected: command.ExpectedRevision(),
		changeID: command.ChangeID(),
		operator: command.Operator(),
	})
}

func (deploy *Deploy) validate(deployment *model.Deployment) []string {
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

func (deploy *Deploy) begin(change *change) {
	deploy.changes++
	if change.changeID == "" || len(change.changeID) > maxChangeID {
		deploy.reject(change, codes.InvalidDeployment, fmt.Sprintf("change_id: must have 1 to %d bytes", maxChangeID))
		return
	}
	hashed, err := digest(change.name, change.expected, change.deployment)
	if err != nil {
		deploy.reject(change, codes.Internal, err.Error())
		return
	}
	change.digest = hashed
	deploy.attempt(change)
}

// reject ends a change that was not made.
func (deploy *Deploy) reject(change *change, code codes.Code, detail string) {
	deploy.changes--
	deploy.refuse(change.ask, code, detail)
}

// settle ends a change that is stored; its operator is answered once it is in force.
func (deploy *Deploy) settle(change *change, revision uint64) {
	deploy.changes--
	deploy.spread.await(change.ask, revision)
}

// attempt reads the rows and writes the change. It runs again after a conflict
// and after a lost answer, which the row of the change decides.
func (deploy *Deploy) attempt(change *change) {
	if change.attempts == maxAttempts {
		deploy.giveUp(change)
		return
	}
	change.attempts++
	deploy.read(change, func(view view, ok bool) {
		if !ok {
			deploy.again(change)
			return
		}
		deploy.decide(change, view)
	})
}

func (deploy *Deploy) again(change *change) {
	pause := time.Duration(change.attempts) * attemptPause
	jitter := time.Duration(deploy.context.Random().Int64N(int64(pause)))
	deploy.context.Timers().After(pause/2+jitter, func() { deploy.attempt(change) })
}

func (deploy *Deploy) giveUp(change *change) {
	if change.unanswered {
		deploy.reject(change, codes.AcceptanceUnknown, "the store did not answer the change")
		return
	}
	deploy.reject(change, codes.StoreUnavailable, "the store did not answer or others kept changing the catalog")
}

// decide refuses the change, finds that it was made already, or writes it. The
// row of the change was read last: if it is missing, no other row shows it.
func (deploy *Deploy) decide(change *change, view view) {
	if view.change.Version() > 0 {
		deploy.recognize(change, view.change)
		return
	}
	current, err := currentRevision(view.deployment)
	if err != nil {
		deploy.reject(change, codes.Internal, err.Error())
		return
	}
	if current != change.expected {
		deploy.conflict(change, view, current)
		return
	}
	if change.deployment == nil && current == 0 {
		deploy.reject(change, codes.DeploymentNotFound, fmt.Sprintf("deployment %q does not exist", change.name))
		return
	}
	deploy.write(change, view)
}

// recognize answers a change whose id the store holds.
func (deploy *Deploy) recognize(change *change, row model.Row) {
	record, err := decodeChange(row)
	if err != nil {
		deploy.reject(change, codes.Internal, err.Error())
		return
	}
	if record.Digest != change.digest {
		detail := fmt.Sprintf("change id %q made revision %d of deployment %q", record.ChangeID, record.Revision, record.Name)
		deploy.reject(change, codes.ChangeIDReused, detail)
		return
	}
	deploy.loader.hurry()
	deploy.settle(change, record.Revision)
}

func (deploy *Deploy) conflict(change *change, view view, current uint64) {
	detail := fmt.Sprintf("deployment %q does not exist", change.name)
	if current > 0 {
		detail = fmt.Sprintf("deployment %q is at revision %d, not %d", change.name, current, change.expected)
	}
	if len(view.history) > 0 {
		if last, err := decodeChange(view.history[len(view.history)-1]); err == nil {
			detail += fmt.Sprintf("; revision %d was set by %q with change %q at %s", last.Revision, last.Operator, last.ChangeID, last.At.Format(time.RFC3339))
		}
	}
	deploy.reject(change, codes.RevisionConflict, detail)
}

func (deploy *Deploy) write(change *change, view view) {
	revision := view.head.Revision + 1
	writes, err := deploy.rows(change, view, revision)
	if err != nil {
		deploy.reject(change, codes.Internal, err.Error())
		return
	}
	deploy.client.Write(writes, func(outcome table.Outcome) {
		if outcome == table.Written {
			deploy.accept(change, revision)
			return
		}
		change.unanswered = change.unanswered || outcome == table.Failed
		deploy.again(change)
	})
}

// accept puts the change in force here and spreads it. The store need not
// answer any more if this proxy had the revision before in force.
func (deploy *Deploy) accept(change *change, revision uint64) {
	state := deploy.context.State()
	before, known := state.Revision()
	if known && before+1 == revision {
		deploy.loader.put(revision, change.applyTo(state.Deployments(), revision), "changed by "+change.operator)
	} else {
		deploy.loader.hurry()
	}
	deploy.settle(change, revision)
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
