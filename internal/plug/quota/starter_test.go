package quota

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// restart ends the processes of all members for a time.
func (system *system) restart(down time.Duration) {
	for _, member := range system.members {
		member.downUntil = system.now + down
	}
	system.run(down + 2*copyTime)
}

// Guards against a return of power after which the operations of all teams are refused until the
// lenders' empty buckets have filled again.
func TestReturnOfPower(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		burst float64
		least int // operations that come at once and have to be served
	}{
		{name: "small team", rate: 5, burst: 5, least: 5},
		{name: "large team", rate: 60, burst: 60, least: 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			system := newSystem(8, limitedTeam(test.rate, test.burst))
			system.run(10 * time.Second)
			system.restart(1200 * time.Millisecond)
			system.refused = 0
			for operation := range test.least {
				system.operate(system.members[operation%len(system.members)])
			}
			system.run(300 * time.Millisecond)
			is.Equal(system.refused, 0)
			is.Equal(len(system.uses), test.least)
		})
	}
}

// Guards against a lender that gets tokens at its start again and again within a window, after a
// loss of the row, or without the confirmation of the store.
func TestStartWithTokens(t *testing.T) {
	tests := []struct {
		name   string
		change func(system *system) // before the last restart
		state  startState
	}{
		{name: "long after the last start", change: func(system *system) { system.run(8 * time.Second) }, state: startGranted},
		{name: "soon after the last start", change: func(*system) {}, state: startEmpty},
		{name: "no row", change: func(system *system) {
			system.run(8 * time.Second)
			clear(system.starts)
		}, state: startEmpty},
		{name: "unreadable row", change: func(system *system) {
			system.run(8 * time.Second)
			for key, row := range system.starts {
				system.starts[key] = model.NewRow(key, row.Version(), []byte("{"))
			}
		}, state: startEmpty},
		{name: "row of an earlier era of the store", change: func(system *system) {
			system.run(8 * time.Second)
			for key, row := range system.starts {
				value, _ := json.Marshal(startRow{Era: 3})
				system.starts[key] = model.NewRow(key, row.Version(), value)
			}
		}, state: startEmpty},
		{name: "the write is not confirmed", change: func(system *system) {
			system.run(8 * time.Second)
			system.lose = func() bool { return true }
		}, state: startEmpty},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			system := newSystem(3, limitedTeam(20, 20))
			system.run(10 * time.Second)
			system.restart(time.Second)
			is.Equal(system.members[0].quota.starter.state, startGranted)
			test.change(system)
			system.restart(time.Second)
			system.run(3 * time.Second)
			is.Equal(system.members[0].quota.starter.state, test.state)
		})
	}
}

// Guards against a host that was suspended between the read of its row and the confirmation of
// the write: the time in the row is too early then.
func TestLateConfirmation(t *testing.T) {
	is := is.New(t)
	system := newSystem(1, limitedTeam(20, 20))
	member := system.members[0]
	starter := member.quota.starter
	member.quota.context.Timers().After(0, func() { starter.begin(1) })
	now := system.now + maxDecisionTime/2
	read := readCall(member.kernel.Tick(now))
	actions := member.kernel.Handle(now, event.NewStoreRead(read, nil).WithAnsweredAt(time.Minute))
	for _, action := range actions {
		if write, ok := action.(event.WriteStore); ok {
			member.kernel.Handle(now+maxDecisionTime+time.Millisecond, event.NewStoreWritten(write.CallID()))
		}
	}
	is.Equal(starter.state, startEmpty)
}

func readCall(actions []event.Action) model.PlatformCallID {
	for _, action := range actions {
		if read, ok := action.(event.ReadStore); ok {
			return read.CallID()
		}
	}
	return 0
}
