package check

// confirmer is the rule by which a proxy passes on the acknowledgement of a commit, and what the
// instances and the store may do meanwhile.
type confirmer struct {
	name string
	// byPrimary passes on whatever the primary acknowledges.
	byPrimary bool
	// byHolder passes on a commit once the holder of the lease, asked after the primary has acknowledged
	// it, calls the group settled. It models internal/plug/elect (Settlement) and internal/plug/affirm.
	byHolder bool
	// byReplica passes on a commit that is in the log of a replica which the proxy has relied on since a
	// holder called the group settled. It models internal/plug/affirm (canConfirm).
	byReplica bool
	// restoresLeader lets an attempt promote the last known primary again, whatever the others have, if it
	// reports that no other one leads, and each order since it has reported as primary named it.
	restoresLeader bool
	// settlesAlone calls the group settled without a report since the lease was taken, if each order since
	// the last report of a primary, also one in the lease row, named that primary.
	settlesAlone bool
	// needsCountedCopy lets the holder confirm a commit only if a counted replica has it.
	needsCountedCopy bool

	// Each of the following drops a condition.

	// skipsRefresh orders a promotion without asking the store for the list of instances.
	skipsRefresh bool
	// restoresAnyLeader does so after orders for other instances, too.
	restoresAnyLeader bool
	// skipsRecord orders a promotion that the lease row does not list.
	skipsRecord bool
	// usesOldReports uses the end of a log that was reported before the attempt began.
	usesOldReports bool
	// settlesUnseen calls the group settled although the primary has not reported since the lease was
	// taken or an order could no longer be carried out.
	settlesUnseen bool
	// settlesUnrecorded calls the group settled while the lease row lacks a counted instance.
	settlesUnrecorded bool
	// settlesDuringAttempt calls the group settled while an attempt is in progress.
	settlesDuringAttempt bool
	// settlesBeforeOrdersEnd calls the group settled while an order may still be carried out.
	settlesBeforeOrdersEnd bool
	// ignoresTerm confirms commits of an earlier term than the one that the holder knows.
	ignoresTerm bool
	// lags confirms commits of a later term than the one that the holder knows.
	lags bool
	// settlesForLeader calls the group settled while an order may be carried out for the last primary
	// that the holder knows.
	settlesForLeader bool
	// ignoresReplicaRestart and ignoresPrimaryRestart rely on an instance that has restarted since a
	// holder called the group settled.
	ignoresReplicaRestart, ignoresPrimaryRestart bool
	// ignoresReplicaTerm relies on a replica that did not follow the primary of the term when the
	// holder called the group settled.
	ignoresReplicaTerm bool
	// reliesOnOwnList relies on a replica that the proxy has listed and the holder may not count.
	reliesOnOwnList bool

	// The following are faults.

	// registersLate lets the entry of an instance be late at the store, or go before the holder has
	// read it.
	registersLate bool
	// latePauses lets orders to pause or to step down arrive after the attempt.
	latePauses bool
	// promoterLost lets another promoter take the lease.
	promoterLost bool
	// instancesEnd lets an instance leave for good.
	instancesEnd bool
	// losesLogs lets a replica restart without its log.
	losesLogs bool
	// candidateLosesLog lets it do so also while an order names it.
	candidateLosesLog bool
	// withoutFencing lets the platform carry out an order after one with a higher token.
	withoutFencing bool
	// keepsRepeated expects an order until it cannot be carried out any more, also when the instance
	// that it names leads.
	keepsRepeated bool

	attempts, commits, crashes uint8
	// large is set for a search that runs with -check.large alone.
	large bool
	// losesCommits is set if the search must find a lost commit.
	losesCommits bool
}
