package city

import "almondway.dev/almondway/internal/core/event"

// traffic counts what a proxy sends to the others and reads from the store, and how often its
// process is woken up by a timer or an event.
type traffic struct {
	polls   int
	replies int
	members int // in the replies
	reads   int
	wakeUps int
}

func (traffic *traffic) count(action event.Action) {
	switch action := action.(type) {
	case event.SendPoll:
		traffic.polls++
	case event.AnswerPoll:
		traffic.replies++
		changes := action.Reply().Changes()
		traffic.members += len(action.Reply().Members()) + len(changes.Changed()) + len(changes.Removed())
	case event.ReadStore, event.ReadList, event.AwaitChanges:
		traffic.reads++
	}
}

// add adds the counts of another proxy.
func (traffic *traffic) add(other traffic) {
	traffic.polls += other.polls
	traffic.replies += other.replies
	traffic.members += other.members
	traffic.reads += other.reads
	traffic.wakeUps += other.wakeUps
}

// busiest replaces each count by that of another proxy if that is higher.
func (traffic *traffic) busiest(other traffic) {
	traffic.polls = max(traffic.polls, other.polls)
	traffic.replies = max(traffic.replies, other.replies)
	traffic.members = max(traffic.members, other.members)
	traffic.reads = max(traffic.reads, other.reads)
	traffic.wakeUps = max(traffic.wakeUps, other.wakeUps)
}
