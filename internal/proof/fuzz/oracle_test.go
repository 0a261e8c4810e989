package fuzz

import (
	"fmt"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	leavingLimit = 5 * time.Second
	inForceLimit = 6 * time.Second
)

// violation is a broken promise.
type violation struct {
	promise string
	detail  string
}

func (violation violation) String() string { return violation.promise + ": " + violation.detail }

// commandRecord is an operator's command and its result.
type commandRecord struct {
	proxy            *proxy
	weight           int
	changeID         string
	deployment       string
	expectedRevision uint64
	result           event.Result
	answeredAt       time.Duration
}

// observedRead is a read and the write that it returned to the caller.
type observedRead struct {
	request *request
	answer  *answer
}

// oracle records the replies to callers and operators and checks the promises
// against them.
type oracle struct {
	simulation       *simulation
	lastSeq          uint64
	lastValue        int
	lastRequestID    uint64
	lastCommandID    model.AdminCallID
	requests         []*request
	observedReads    []observedRead
	commands         map[model.AdminCallID]commandRecord
	answeredCommands []model.AdminCallID
	revisions        map[*proxy]uint64
	changeIDs        map[uint64]string
	acceptedRevision uint64
	violations       []violation
}

func newOracle(simulation *simulation) *oracle {
	return &oracle{
		simulation: simulation,
		commands:   make(map[model.AdminCallID]commandRecord),
		revisions:  make(map[*proxy]uint64),
		changeIDs:  make(map[uint64]string),
	}
}

func (oracle *oracle) reportViolation(promise, format string, args ...any) {
	oracle.violations = append(oracle.violations, violation{promise: promise, detail: fmt.Sprintf(format, args...)})
}

// violated reports whether a violation of the given promise is recorded.
func (oracle *oracle) violated(promise string) bool {
	for _, found := range oracle.violations {
		if found.promise == promise {
			return true
		}
	}
	return false
}

// commandAnswered records the result of an operator's command and checks it.
func (oracle *oracle) commandAnswered(proxy *proxy, action event.AnswerOperator) {
	record := oracle.commands[action.CallID()]
	record.result = action.Result()
	record.answeredAt = oracle.simulation.now
	oracle.commands[action.CallID()] = record
	oracle.answeredCommands = append(oracle.answeredCommands, action.CallID())
	change, ok := action.Result().(event.ChangeAccepted)
	if !ok {
		return
	}
	if earlier, twice := oracle.changeIDs[change.Revision()]; twice && earlier != record.changeID {
		oracle.reportViolation("P9", "revision %d was accepted for %s and for %s through %s", change.Revision(), earlier, record.changeID, proxy.id)
	}
	oracle.changeIDs[change.Revision()] = record.changeID
	oracle.checkConcurrentChanges(record)
	oracle.acceptedRevision = max(oracle.acceptedRevision, change.Revision())
}

// checkConcurrentChanges checks that at most one of several changes to the same
// revision of a deployment is accepted.
func (oracle *oracle) checkConcurrentChanges(accepted commandRecord) {
	for _, commandID := range oracle.answeredCommands {
		other := oracle.commands[commandID]
		if _, ok := other.result.(event.ChangeAccepted); !ok || other.changeID == accepted.changeID {
			continue
		}
		if other.deployment == accepted.deployment && other.expectedRevision == accepted.expectedRevision {
			oracle.reportViolation("P9", "%s and %s were both accepted from revision %d", other.changeID, accepted.changeID, accepted.expectedRevision)
		}
	}
}

// checkStop checks that a draining proxy stops only after it has answered every
// request and every transaction has ended, unless the drain limit has passed.
func (oracle *oracle) checkStop(proxy *proxy) {
	if oracle.simulation.now-proxy.drainedAt >= tune.Default().DrainLimit {
		return
	}
	for _, caller := range proxy.callers {
		if caller.pending != nil {
			oracle.reportViolation("P8", "%s stopped while a request of a %s, sent at %s, was in flight", proxy.id, caller.class, caller.pending.sentAt)
		}
		if caller.inTx {
			oracle.reportViolation("P8", "%s stopped while a %s had a transaction open", proxy.id, caller.class)
		}
	}
}

// checkNewWork checks that a proxy sends no new work to a reachable instance that
// has been leaving for longer than leavingLimit.
func (oracle *oracle) checkNewWork(proxy *proxy, target *instance, work *model.Work) {
	started := work.Step() == model.StepSingle || work.Step() == model.StepFirst
	if started && target.leaving && oracle.simulation.now-target.leavingAt > leavingLimit && !proxy.partitionedFrom[target.id] {
		oracle.reportViolation("P7", "%s sent new work to %s, which has been leaving for %s", proxy.id, target.id, oracle.simulation.now-target.leavingAt)
	}
}

// checkConnUse checks that a connection with an open transaction carries only
// statements of that transaction.
func (oracle *oracle) checkConnUse(target *instance, key connKey, work *model.Work) {
	opened := target.openTxs[key]
	if opened == nil {
		return
	}
	if work.Step() == model.StepFirst || work.Step() == model.StepSingle {
		oracle.reportViolation("P3", "new work arrived on a connection to %s with an open transaction", target.id)
		return
	}
	requested, _ := work.Statement().(*statement)
	if requested == nil || len(opened.writes) == 0 || work.Step() != model.StepNext {
		return
	}
	if opened.writes[0].owner != requested.owner {
		oracle.reportViolation("P3", "a statement of %s joined the transaction of %s on %s", requested.owner, opened.writes[0].owner, target.id)
	}
}

// checkReply checks a reply when the caller receives it.
func (oracle *oracle) checkReply(request *request) {
	if !request.ok() || request.statement == nil {
		return
	}
	payload, ok := request.reply.Answer().(*answer)
	if !ok {
		if !request.reply.Replayed() && request.spec.Op == model.OpStatement {
			oracle.reportViolation("P4", "%s received a reply without a result", request.kind)
		}
		return
	}
	if payload.statement != request.statement {
		oracle.reportViolation("P4", "a caller received the result of another statement")
	}
	if request.statement.write {
		oracle.checkAcknowledgement(request)
		return
	}
	oracle.observedReads = append(oracle.observedReads, observedRead{request: request, answer: payload})
	oracle.checkRead(request, payload)
}

// checkAcknowledgement checks that the newest primary has an acknowledged write,
// also if another instance ran it.
func (oracle *oracle) checkAcknowledgement(write *request) {
	if write.inTransaction() {
		return
	}
	for _, group := range oracle.simulation.groups {
		primary := oracle.simulation.primaryOf(group.ID())
		if primary == nil || len(oracle.simulation.groups) > 1 {
			continue
		}
		if _, ok := oracle.markOf(write); !ok {
			oracle.reportViolation("P2", "write of %d was acknowledged and the primary %s does not have it", write.statement.value, primary.id)
		}
	}
}

// checkRead checks that a read is not older than the writes that it must reflect:
// those acknowledged before the read was sent or, for a kind with a staleness
// bound and a class without read-your-writes, more than that bound before the reply.
func (oracle *oracle) checkRead(read *request, payload *answer) {
	promise, deadline := "P1", read.sentAt
	if read.kind == "browse" && read.caller.class != "registrar" && read.caller.class != "hotel" {
		promise, deadline = "P11", read.answeredAt-browseStaleness
	}
	for _, write := range oracle.requests {
		if !write.acknowledged() || write.statement == nil || !write.statement.write || write.statement.key != read.statement.key {
			continue
		}
		if write.acknowledgedAt() >= deadline {
			continue
		}
		if mark, ok := oracle.markOf(write); ok && !payload.mark.Covers(mark) {
			oracle.reportViolation(promise, "%s at %s returned value %d at %s and missed the write of %d at %s, acknowledged at %s",
				read.kind, read.answeredAt, payload.value, payload.mark, write.statement.value, mark, write.acknowledgedAt())
		}
	}
}

// markOf returns the mark of a write in the log of the primary that has it.
func (oracle *oracle) markOf(write *request) (model.Mark, bool) {
	for _, instance := range oracle.simulation.instances {
		primary := oracle.simulation.primaryOf(instance.group)
		if primary != instance {
			continue
		}
		for position, entry := range primary.log {
			if entry.contains(write.statement.value) {
				return model.NewMark(entry.term, model.Position(position+1)), true
			}
		}
	}
	return model.Mark{}, false
}

// check checks the promises that hold at every moment.
func (oracle *oracle) check() {
	for _, group := range oracle.simulation.groups {
		if primary := oracle.simulation.primaryOf(group.ID()); primary != nil {
			oracle.checkLog(primary)
		}
	}
	oracle.checkRevisions()
}

// checkLog compares the log of the newest primary with the replies to callers.
func (oracle *oracle) checkLog(primary *instance) {
	counts := make(map[int]int)
	for _, entry := range primary.log {
		for _, write := range entry.writes {
			counts[write.value]++
		}
	}
	for _, request := range oracle.requests {
		if request.statement == nil || !request.statement.write {
			continue
		}
		if oracle.groupOf(request) != primary.group {
			continue
		}
		count := counts[request.statement.value]
		switch {
		case count > 1:
			oracle.reportViolation("P6", "write of %d is %d times in the log of %s", request.statement.value, count, primary.id)
		case request.acknowledged() && count == 0:
			oracle.reportViolation("P10", "write of %d was acknowledged and is not in the log of %s", request.statement.value, primary.id)
		case request.notRun() && count > 0 && !oracle.otherAttemptMayHaveRun(request):
			oracle.reportViolation("P5", "write of %d was reported as not run (%s) and is in the log of %s", request.statement.value, request.reply.Code(), primary.id)
		}
	}
}

// otherAttemptMayHaveRun reports whether another attempt with the same request ID
// ran or may have run.
func (oracle *oracle) otherAttemptMayHaveRun(request *request) bool {
	for _, other := range oracle.requests {
		if other != request && other.statement == request.statement && !other.notRun() {
			return true
		}
	}
	return false
}

// groupOf returns the group of a write: the only group, or the group with the
// write in one of its logs. It returns the empty string if there is none.
func (oracle *oracle) groupOf(request *request) model.GroupID {
	if len(oracle.simulation.groups) == 1 {
		return oracle.simulation.groups[0].ID()
	}
	for _, instance := range oracle.simulation.instances {
		for _, entry := range instance.log {
			if entry.contains(request.statement.value) {
				return instance.group
			}
		}
	}
	return ""
}

// checkRevisions checks that the revision in force on a proxy never decreases.
func (oracle *oracle) checkRevisions() {
	for _, proxy := range oracle.simulation.proxies {
		revision, ok := proxy.revision()
		if !ok || !proxy.alive {
			continue
		}
		if revision < oracle.revisions[proxy] {
			oracle.reportViolation("P9", "%s went from revision %d to %d", proxy.id, oracle.revisions[proxy], revision)
		}
		oracle.revisions[proxy] = revision
	}
}

// checkEnd checks the conditions that hold some time after every fault has ended.
func (oracle *oracle) checkEnd() {
	oracle.check()
	for _, group := range oracle.simulation.groups {
		oracle.checkConverged(group.ID())
	}
	for _, read := range oracle.observedReads {
		oracle.checkStillVisible(read)
	}
	for _, request := range oracle.requests {
		if !request.answered() && !request.connLost {
			oracle.reportViolation("P4", "%s sent at %s was never answered", request.kind, request.sentAt)
		}
	}
	oracle.checkInForce()
}

func (oracle *oracle) checkConverged(group model.GroupID) {
	primary := oracle.simulation.primaryOf(group)
	if primary == nil {
		oracle.reportViolation("P10", "group %s has no primary after all faults ended", group)
		return
	}
	for _, member := range oracle.simulation.members(group) {
		if member.alive && member.tail() != primary.tail() {
			oracle.reportViolation("P10", "log of %s ends at %s and that of %s at %s after all faults ended", member.id, member.tail(), primary.id, primary.tail())
		}
	}
}

// checkStillVisible checks that no promotion discarded a write that a read returned.
func (oracle *oracle) checkStillVisible(read observedRead) {
	if read.answer.mark.IsZero() {
		return
	}
	for _, instance := range oracle.simulation.instances {
		position := int(read.answer.mark.Position())
		if oracle.simulation.primaryOf(instance.group) != instance || position > len(instance.log) {
			continue
		}
		if instance.log[position-1].contains(read.answer.value) {
			return
		}
	}
	oracle.reportViolation("P1", "%s returned value %d, which a promotion discarded", read.request.kind, read.answer.value)
}

func (oracle *oracle) checkInForce() {
	for _, proxy := range oracle.simulation.proxies {
		revision, ok := proxy.revision()
		if proxy.alive && ok && revision < oracle.acceptedRevision {
			oracle.reportViolation("P9", "%s has revision %d in force, %d was accepted", proxy.id, revision, oracle.acceptedRevision)
		}
	}
}
