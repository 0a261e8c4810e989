package holder

import (
	"cmp"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// answerMargin is the time before the deadline of a statement at which its forwarding proxy gets
	// an answer, for the way back.
	answerMargin = 15 * time.Millisecond
	// maxStatements and maxStatementBytes limit the forwarded statements that wait or run here.
	maxStatements     = 512
	maxStatementBytes = 16 << 20
	// busyRetryAfter is when a caller may come back whose statement exceeds these limits.
	busyRetryAfter = 250 * time.Millisecond
)

// callKey identifies a call among those of all proxies.
type callKey struct {
	proxy   model.ProxyID
	process uint64
	number  uint64
}

func (key callKey) compare(other callKey) int {
	return cmp.Or(cmp.Compare(key.proxy, other.proxy), cmp.Compare(key.process, other.process), cmp.Compare(key.number, other.number))
}

// served contains the statements and transactions that this proxy runs for others. It counts as
// work in flight during a shutdown.
type served struct {
	holder     *Holder
	statements map[callKey]*statement
	bytes      int // of the statements
	txs        map[model.ForwardTx]*tx
	sweeping   bool
}

func newServed(holder *Holder) served {
	return served{holder: holder, statements: make(map[callKey]*statement), txs: make(map[model.ForwardTx]*tx)}
}

// InFlight returns the number of statements and open transactions of other proxies.
func (served *served) InFlight() int { return len(served.statements) + len(served.txs) }

// receive starts a statement that another proxy has forwarded.
func (served *served) receive(received event.ForwardReceived) {
	context, body := served.holder.context, received.Body()
	key := callKey{proxy: body.From().ID(), process: body.Process(), number: body.Number()}
	if body.To() != context.State().Self().ID() || served.statements[key] != nil {
		context.Emit(event.NewRefuseForward(received.ID(), codes.WrongProxy))
		return
	}
	added := &statement{served: served, id: received.ID(), key: key, body: body, receivedAt: context.Now()}
	added.deadline = added.receivedAt + max(body.Remaining()-answerMargin, body.Remaining()/2)
	if body.Step() == model.StepNext || body.Step() == model.StepCommit {
		served.resume(added)
		return
	}
	if denial := served.checkNew(added); denial.Code != codes.OK {
		added.answer(model.ForwardReplySpec{Outcome: model.ForwardDenied, Code: denial.Code, Reason: denial.Reason, RetryAfter: denial.RetryAfter})
		return
	}
	served.add(added)
	added.direct = newDirect(served.holder, route.SlotRequest{Instance: body.Instance(), Job: added.job}, added)
	added.direct.acquire(added.work())
}

// checkNew makes the job of a statement that continues no transaction. It returns a denial if the
// statement may not run here, else the zero Denial.
func (served *served) checkNew(added *statement) route.Denial {
	context, body := served.holder.context, added.body
	state := context.State()
	if state.Draining() {
		return route.Denial{Code: codes.Draining, Reason: "the holder is shutting down"}
	}
	if len(served.statements) >= maxStatements || served.bytes+body.Statement().Size() > maxStatementBytes {
		return route.Denial{Code: codes.Overloaded, RetryAfter: busyRetryAfter, Reason: "too many forwarded statements wait at the holder"}
	}
	deployment, ok := state.Deployment(body.Deployment())
	if !ok {
		return route.Denial{Code: codes.UnknownDeployment, Reason: "the holder does not know the deployment"}
	}
	kind, ok := deployment.Kind(body.Kind())
	if !ok {
		return route.Denial{Code: codes.UnknownKind, Reason: "the holder does not know the kind"}
	}
	group := state.GroupOf(body.Instance())
	if group == nil || !deployment.HasGroup(group.ID()) {
		return route.Denial{Code: codes.UnknownGroup, Reason: "the holder does not know the instance"}
	}
	team, code := state.Identify(deployment, body.Key(), context.Now(), context.Settings().MaxKeyAge())
	if code != codes.OK {
		return route.Denial{Code: code, RetryAfter: route.UnconfirmedRetryAfter, Reason: "the holder does not know the key, or its configuration is too old"}
	}
	if team == nil || body.Team() != "" && team.Name() != body.Team() {
		return route.Denial{Code: codes.UnknownKey, Reason: "the key belongs to another team in the holder's configuration, or to none"}
	}
	spec := route.JobSpec{
		Request: model.NewRequest(model.RequestSpec{
			Seq: model.RequestSeq(context.NextID()), Op: body.Op(), Kind: body.Kind(), RequestID: body.RequestID(),
			Writes: body.Write(), Statement: body.Statement(),
		}),
		Deployment: deployment,
		Kind:       kind,
		Group:      group.ID(),
		RequestID:  body.RequestID(),
		Team:       team,
		Key:        body.Key(),
		Arrived:    added.receivedAt - body.Waited(),
		Deadline:   added.deadline,
	}
	if classes := deployment.Classes(); len(classes) > 0 {
		spec.Class = classes[0]
	}
	if body.Step() == model.StepFirst {
		spec.Tx = route.NewTx(route.TxSpec{Group: group.ID(), RequestID: body.RequestID(), ReadOnly: !body.Write(), Team: team.Name()})
	}
	added.job = route.NewJob(spec)
	return route.Denial{}
}

// resume starts a further statement of an open transaction. A transaction that is not open here, of
// another proxy or process, or with a statement that still runs, fails.
func (served *served) resume(added *statement) {
	found := served.txs[added.body.Tx()]
	if found == nil || found.proxy != added.key.proxy || found.process != added.key.process || found.running != nil {
		added.answer(model.ForwardReplySpec{Outcome: model.ForwardFailed, Class: model.FailureForwardNotRun})
		return
	}
	added.job = found.job
	code, _ := route.CheckKey(served.holder.context, found.job)
	if code != codes.OK || !found.direct.resume() {
		found.rollBack("the key of the transaction was withdrawn, or its connection was lost")
		added.answer(model.ForwardReplySpec{Outcome: model.ForwardFailed, Class: model.FailureForwardNotRun})
		return
	}
	added.tx, added.direct = found, found.direct
	found.start(added)
	served.add(added)
	added.direct.run(added.work())
}

func (served *served) add(added *statement) {
	served.statements[added.key] = added
	served.bytes += added.body.Statement().Size()
	added.timeout = served.holder.context.Timers().After(added.deadline-served.holder.context.Now(), added.expire)
}

func (served *served) remove(ended *statement) {
	if served.statements[ended.key] == ended {
		delete(served.statements, ended.key)
		served.bytes -= ended.body.Statement().Size()
		served.holder.context.Timers().Cancel(ended.timeout)
	}
}

// end gives a statement up or rolls a transaction back, because its proxy no longer needs it.
func (served *served) end(received event.EndForwardReceived) {
	if received.To() != served.holder.context.State().Self().ID() {
		return
	}
	key := callKey{proxy: received.From(), process: received.Process(), number: received.Number()}
	if found := served.statements[key]; found != nil {
		found.giveUp()
		return
	}
	for _, found := range served.sortedTxs() {
		if found.proxy == key.proxy && found.process == key.process && (found.id == received.Tx() || found.lastCall == key.number) && found.running == nil {
			found.end()
		}
	}
}

// refuseWithdrawn refuses the statements that wait, and rolls back the idle transactions, whose
// keys were withdrawn.
func (served *served) refuseWithdrawn() {
	for _, waiting := range served.sortedStatements() {
		if waiting.direct.state != directWaiting {
			continue
		}
		if code, reason := route.CheckKey(served.holder.context, waiting.job); code == codes.UnknownKey {
			waiting.direct.discard()
			waiting.directDenied(route.Denial{Code: code, Reason: reason})
		}
	}
	for _, idle := range served.sortedTxs() {
		if code, _ := route.CheckKey(served.holder.context, idle.job); code == codes.UnknownKey && idle.running == nil {
			idle.rollBack("its key was withdrawn")
		}
	}
}

func (served *served) sortedStatements() []*statement {
	sorted := make([]*statement, 0, len(served.statements))
	for _, one := range served.statements {
		sorted = append(sorted, one)
	}
	slices.SortFunc(sorted, func(left, right *statement) int { return left.key.compare(right.key) })
	return sorted
}

func (served *served) sortedTxs() []*tx {
	sorted := make([]*tx, 0, len(served.txs))
	for _, one := range served.txs {
		sorted = append(sorted, one)
	}
	slices.SortFunc(sorted, func(left, right *tx) int { return cmp.Compare(left.id.Number(), right.id.Number()) })
	return sorted
}
