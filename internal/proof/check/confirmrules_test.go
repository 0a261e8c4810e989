package check

// confirmers returns the rules that keep what was passed on, with the faults that they survive, and
// variants that lose a commit.
func confirmers() []confirmer {
	return append(keepingRules(), losingRules()...)
}

// confirmerWith returns the rule with all conditions, changed.
func confirmerWith(name string, change func(rule *confirmer)) confirmer {
	rule := confirmer{name: name, byHolder: true, byReplica: true, needsCountedCopy: true, attempts: 1, commits: 1, crashes: 1}
	change(&rule)
	return rule
}

func keepingRules() []confirmer {
	return []confirmer{
		confirmerWith("holder", func(rule *confirmer) { rule.byReplica, rule.needsCountedCopy, rule.commits = false, false, 2 }),
		confirmerWith("holder, promoter lost", func(rule *confirmer) { rule.byReplica, rule.needsCountedCopy, rule.promoterLost = false, false, true }),
		confirmerWith("holder, late orders to stop", func(rule *confirmer) { rule.byReplica, rule.needsCountedCopy, rule.latePauses = false, false, true }),
		confirmerWith("holder, instances that lose their logs", func(rule *confirmer) {
			rule.byReplica, rule.needsCountedCopy, rule.losesLogs = false, false, true
		}),
		confirmerWith("replica", func(rule *confirmer) { rule.byHolder, rule.commits = false, 2 }),
		confirmerWith("replica, promoter lost", func(rule *confirmer) { rule.byHolder, rule.promoterLost = false, true }),
		confirmerWith("both, two commits", func(rule *confirmer) { rule.commits = 2 }),
		confirmerWith("both, late orders to stop", func(rule *confirmer) { rule.latePauses = true }),
		confirmerWith("both, promoter lost, late entries, instances that leave", func(rule *confirmer) {
			rule.promoterLost, rule.registersLate, rule.instancesEnd = true, true, true
		}),
		confirmerWith("both, instances that lose their logs", func(rule *confirmer) { rule.losesLogs = true }),
		confirmerWith("both, no request for the list before an order", func(rule *confirmer) { rule.skipsRefresh = true }),
		confirmerWith("both, two attempts without crashes", func(rule *confirmer) { rule.attempts, rule.crashes = 2, 0 }),
		confirmerWith("both, promoter lost, late orders to stop", func(rule *confirmer) {
			rule.promoterLost, rule.latePauses, rule.large = true, true, true
		}),
		confirmerWith("both, settled for the recorded primary, promoter lost", func(rule *confirmer) {
			rule.settlesAlone, rule.settlesForLeader, rule.lags, rule.promoterLost = true, true, true, true
		}),
		confirmerWith("both, settled for the recorded primary, promoter lost, two attempts without crashes", func(rule *confirmer) {
			rule.settlesAlone, rule.settlesForLeader, rule.lags, rule.restoresLeader = true, true, true, true
			rule.promoterLost, rule.attempts, rule.crashes, rule.large = true, 2, 0, true
		}),
		confirmerWith("both, restores the leader", func(rule *confirmer) { rule.restoresLeader, rule.settlesForLeader = true, true }),
		confirmerWith("both, restores the leader, promoter lost", func(rule *confirmer) {
			rule.restoresLeader, rule.settlesForLeader, rule.lags, rule.promoterLost = true, true, true, true
		}),
		confirmerWith("both, restores the leader, promoter lost, late entries, instances that leave", func(rule *confirmer) {
			rule.restoresLeader, rule.promoterLost, rule.registersLate, rule.instancesEnd, rule.large = true, true, true, true, true
		}),
		confirmerWith("both, restores the leader, promoter lost, two attempts without crashes", func(rule *confirmer) {
			rule.restoresLeader, rule.promoterLost, rule.attempts, rule.crashes, rule.large = true, true, 2, 0, true
		}),
		confirmerWith("both, restores the leader, two attempts without crashes", func(rule *confirmer) {
			rule.restoresLeader, rule.settlesForLeader, rule.lags, rule.attempts, rule.crashes = true, true, true, 2, 0
		}),
		confirmerWith("both, restores the leader, two attempts", func(rule *confirmer) {
			rule.restoresLeader, rule.attempts, rule.large = true, 2, true
		}),
		confirmerWith("holder, two attempts", func(rule *confirmer) {
			rule.byReplica, rule.needsCountedCopy, rule.attempts, rule.large = false, false, 2, true
		}),
		confirmerWith("both, two attempts", func(rule *confirmer) { rule.attempts, rule.large = 2, true }),
		confirmerWith("both, two attempts, no fencing, expects orders to the end", func(rule *confirmer) {
			rule.attempts, rule.withoutFencing, rule.keepsRepeated, rule.large = 2, true, true, true
		}),
	}
}

func losingRules() []confirmer {
	rules := []confirmer{
		confirmerWith("passes on what the primary acknowledges", func(rule *confirmer) {
			rule.byPrimary, rule.byHolder, rule.byReplica = true, false, false
		}),
		confirmerWith("holder, late entries", func(rule *confirmer) { rule.byReplica, rule.needsCountedCopy, rule.registersLate = false, false, true }),
		confirmerWith("holder, instances that leave before they are listed", func(rule *confirmer) {
			rule.byReplica, rule.needsCountedCopy, rule.instancesEnd = false, false, true
		}),
		confirmerWith("holder, no request for the list before an order", func(rule *confirmer) {
			rule.byReplica, rule.needsCountedCopy, rule.skipsRefresh = false, false, true
		}),
		confirmerWith("sends an order that is not recorded", func(rule *confirmer) { rule.skipsRecord, rule.promoterLost = true, true }),
		confirmerWith("uses reports from before the attempt", func(rule *confirmer) { rule.usesOldReports = true }),
		confirmerWith("restores the leader after an order for another instance", func(rule *confirmer) {
			rule.restoresAnyLeader, rule.attempts, rule.crashes, rule.promoterLost = true, 2, 0, true
		}),
		confirmerWith("settled without a report of the primary", func(rule *confirmer) { rule.settlesUnseen = true }),
		confirmerWith("settled without a record of the counted instances", func(rule *confirmer) {
			rule.settlesUnrecorded, rule.promoterLost, rule.registersLate = true, true, true
		}),
		confirmerWith("settled during an attempt", func(rule *confirmer) { rule.settlesDuringAttempt = true }),
		confirmerWith("settled while an order may be carried out", func(rule *confirmer) { rule.settlesBeforeOrdersEnd = true }),
		confirmerWith("confirms commits of an earlier term", func(rule *confirmer) { rule.ignoresTerm = true }),
		confirmerWith("replica, compares logs of different terms", func(rule *confirmer) { rule.byHolder, rule.ignoresTerm, rule.commits = false, true, 2 }),
		confirmerWith("relies on a replica that has restarted", func(rule *confirmer) { rule.ignoresReplicaRestart = true }),
		confirmerWith("relies on a primary that has restarted", func(rule *confirmer) { rule.ignoresPrimaryRestart = true }),
		confirmerWith("relies on a replica that the holder does not count", func(rule *confirmer) { rule.reliesOnOwnList, rule.registersLate = true, true }),
		confirmerWith("relies on a replica of an earlier term", func(rule *confirmer) { rule.ignoresReplicaTerm, rule.attempts, rule.crashes = true, 2, 0 }),
		confirmerWith("candidate loses its log", func(rule *confirmer) { rule.losesLogs, rule.candidateLosesLog = true, true }),
		confirmerWith("no fencing", func(rule *confirmer) { rule.attempts, rule.withoutFencing, rule.large = 2, true, true }),
	}
	for index := range rules {
		rules[index].losesCommits = true
	}
	return rules
}
