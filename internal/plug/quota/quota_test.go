package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
)

const (
	stepTime = 10 * time.Millisecond
	// copyTime is how long a change of the store's row takes to reach a proxy that is connected.
	copyTime = 100 * time.Millisecond
)

// member is a proxy of a system.
type member struct {
	id          model.ProxyID
	kernel      *kern.Kernel
	quota       *Quota
	startedAt   time.Duration
	frozenUntil time.Duration
	cut         bool // reaches neither the store nor other proxies
	downUntil   time.Duration
	queue       []func()
	lastRefused codes.Code
}

// system is a set of proxies with the plug-in, and the store's row of lenders.
type system struct {
	now      time.Duration
	members  []*member
	team     *model.Team
	value    []byte
	version  uint64
	calls    map[model.BorrowID]borrowed
	starts   map[string]model.Row // when lenders have begun with tokens
	uses     []usedAt
	refused  int
	messages int
	lose     func() bool // whether the next message between proxies is lost
}

// borrowed is a call for tokens on its way.
type borrowed struct {
	from *member
	id   model.BorrowID
}

func newSystem(count int, team *model.Team) *system {
	system := &system{team: team, calls: make(map[model.BorrowID]borrowed), starts: make(map[string]model.Row), lose: func() bool { return false }}
	for index := range count {
		member := &member{id: model.ProxyID(fmt.Sprintf("p-%02d", index))}
		system.members = append(system.members, member)
		system.start(member, true)
	}
	return system
}

// start starts a new process of a proxy.
func (system *system) start(member *member, first bool) {
	spec := tune.Default()
	spec.QuotaWindow, spec.QuotaOverage, spec.QuotaSlack = window, overage, slack
	spec.FirstStart = first
	self := model.NewProxyView(member.id, string(member.id), "z", 0, false, 0)
	member.startedAt = system.now
	member.queue = nil
	member.kernel = kern.NewWithFactories(self, tune.New(spec), time.Time{}, 1, func(context *kern.Context) kern.Plugin {
		member.quota = New(context).(*Quota)
		return member.quota
	})
	teams, err := model.NewTeams([]*model.Team{system.team})
	if err != nil {
		panic(err)
	}
	member.kernel.State().SetTeams(teams)
}

func (system *system) runs(member *member) bool {
	return system.now >= member.downUntil && system.now >= member.frozenUntil
}

// step advances the time: members that are connected get the present row, and all that run
// handle what they have received.
func (system *system) step() {
	system.now += stepTime
	var live []model.ProxyView
	for _, member := range system.members {
		if system.now >= member.downUntil && !member.cut {
			live = append(live, member.kernel.State().Self())
		}
	}
	for _, member := range system.members {
		if member.downUntil > 0 && system.now >= member.downUntil {
			member.downUntil = 0
			system.start(member, false)
		}
		if !system.runs(member) {
			continue
		}
		if !member.cut && system.now%copyTime == 0 {
			member.kernel.State().SetProxies(live)
			member.kernel.State().SetListCheckedAt(model.ListLenders, system.now-member.startedAt)
			system.handle(member, event.NewLendersListed(system.version, system.value))
		}
		system.do(member, member.kernel.Tick(system.now-member.startedAt))
		queue := member.queue
		member.queue = nil
		for _, received := range queue {
			received()
		}
	}
}

func (system *system) run(span time.Duration) {
	for until := system.now + span; system.now < until; {
		system.step()
	}
}

func (system *system) handle(member *member, received event.Event) {
	system.do(member, member.kernel.Handle(system.now-member.startedAt, received))
}

// do carries out the actions of a member.
func (system *system) do(from *member, actions []event.Action) {
	var others []event.Action
	others = append(others, actions...)
	for _, action := range others {
		switch action := action.(type) {
		case event.WriteStore:
			system.write(from, action)
		case event.ReadStore:
			system.readStart(from, action)
		case event.Borrow:
			system.messages++
			system.send(from, action)
		case event.AnswerBorrow:
			system.answer(from, action.ID(), func(call borrowed) event.Event { return event.NewBorrowAnswered(call.id, action.Loans()) })
		case event.RefuseBorrow:
			system.answer(from, action.ID(), func(call borrowed) event.Event { return event.NewBorrowFailed(call.id, "refused") })
		}
	}
}

// write carries out a write of the row if its version is the expected one.
func (system *system) write(from *member, action event.WriteStore) {
	if from.cut {
		return
	}
	write := action.Writes()[0]
	kernel := from.kernel
	if write.Table() == route.FleetTable {
		system.writeStart(from, action)
		return
	}
	if write.ExpectedVersion() != system.version {
		from.queue = append(from.queue, func() {
			if from.kernel == kernel {
				system.handle(from, event.NewStoreConflict(action.CallID()))
			}
		})
		return
	}
	system.version += 3
	system.value = write.Value()
	from.queue = append(from.queue, func() {
		if from.kernel == kernel {
			system.handle(from, event.NewStoreWritten(action.CallID()))
		}
	})
}

// readStart answers a read of a lender's start row.
func (system *system) readStart(from *member, action event.ReadStore) {
	if from.cut {
		return
	}
	var rows []model.Row
	if found, ok := system.starts[action.Prefix()]; ok {
		rows = append(rows, found)
	}
	kernel, answeredAt := from.kernel, system.now
	from.queue = append(from.queue, func() {
		if from.kernel == kernel {
			system.handle(from, event.NewStoreRead(action.CallID(), rows).WithAnsweredAt(answeredAt))
		}
	})
}

// writeStart carries out a write of a lender's start row if its version is the expected one.
func (system *system) writeStart(from *member, action event.WriteStore) {
	write := action.Writes()[0]
	kernel := from.kernel
	answer := event.Event(event.NewStoreConflict(action.CallID()))
	if write.ExpectedVersion() == system.starts[write.Key()].Version() {
		system.starts[write.Key()] = model.NewRow(write.Key(), write.ExpectedVersion()+1, write.Value())
		answer = event.NewStoreWritten(action.CallID())
	}
	if system.lose() {
		return
	}
	from.queue = append(from.queue, func() {
		if from.kernel == kernel {
			system.handle(from, answer)
		}
	})
}

func (system *system) send(from *member, action event.Borrow) {
	for _, to := range system.members {
		if to.id != action.Lender().ID() || from.cut || to.cut || system.lose() || system.now < to.downUntil {
			continue
		}
		id := model.BorrowID(len(system.calls) + 1)
		system.calls[id] = borrowed{from: from, id: action.ID()}
		kernel := to.kernel
		to.queue = append(to.queue, func() {
			if to.kernel == kernel {
				system.handle(to, event.NewBorrowReceived(id, to.id, action.Demands()))
			}
		})
	}
}

func (system *system) answer(lender *member, id model.BorrowID, answer func(call borrowed) event.Event) {
	call := system.calls[id]
	if lender.cut || call.from.cut || system.lose() || system.now < call.from.downUntil {
		return
	}
	kernel := call.from.kernel
	call.from.queue = append(call.from.queue, func() {
		if call.from.kernel == kernel {
			system.handle(call.from, answer(call))
		}
	})
}

// operate sends an operation through a member.
func (system *system) operate(member *member) {
	if !system.runs(member) {
		return
	}
	member.quota.context.Timers().After(0, func() {
		member.quota.Acquire(system.team, func(denial *route.Denial) {
			if denial != nil {
				system.refused++
				member.lastRefused = denial.Code
				return
			}
			system.uses = append(system.uses, usedAt{at: system.now, count: 1})
		})
	})
	system.do(member, member.kernel.Tick(system.now-member.startedAt))
}

// A random history of loads, cuts, freezes, kills and lost messages exceeds no window.
func TestWindowHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 60).Draw(t, "rate"))
		burst := float64(rapid.IntRange(0, 60).Draw(t, "burst"))
		team := model.NewTeam(model.TeamSpec{Name: "faculty", Rate: rate, Burst: burst})
		system := newSystem(rapid.IntRange(1, 12).Draw(t, "proxies"), team)
		lossShare := rapid.IntRange(0, 10).Draw(t, "loss")
		lost := 0
		system.lose = func() bool {
			lost++
			return lost%(lossShare+2) == 1 && lossShare > 0
		}
		pick := func(name string) *member {
			return system.members[rapid.IntRange(0, len(system.members)-1).Draw(t, name)]
		}
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				pick("frozen").frozenUntil = system.now + time.Duration(rapid.IntRange(100, 9000).Draw(t, "frozen_ms"))*time.Millisecond
			case 1:
				pick("killed").downUntil = system.now + time.Duration(rapid.IntRange(100, 12000).Draw(t, "down_ms"))*time.Millisecond
			case 2:
				member := pick("cut")
				member.cut = !member.cut
			case 3:
				for _, member := range system.members {
					member.downUntil = system.now + time.Second
				}
			}
			flood := rapid.IntRange(0, 30).Draw(t, "flood")
			spread := rapid.IntRange(1, len(system.members)).Draw(t, "spread")
			for index := range rapid.IntRange(10, 300).Draw(t, "steps") {
				for operation := range flood {
					system.operate(system.members[(index+operation)%spread])
				}
				system.step()
			}
		}
		if most := mostInWindow(system.uses); float64(most) > allowed(rate, burst) {
			t.Fatalf("%d operations in a window, %.1f allowed", most, allowed(rate, burst))
		}
	})
}

// Callers of a team are spread unevenly over the proxies. As long as all of them together stay
// within the limit, none is refused, and the messages do not exceed one for each operation.
func TestWithinTheLimitNothingIsRefused(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		load func(step int) []int // the proxies through which an operation goes in a step
	}{
		{name: "one proxy", rate: 100, load: func(int) []int { return []int{3} }},
		{name: "uneven", rate: 100, load: func(step int) []int {
			if step%10 == 0 {
				return []int{0, 1}
			}
			return []int{step % 2}
		}},
		{name: "moves from one proxy to another", rate: 100, load: func(step int) []int { return []int{step / 200 % 8} }},
		{name: "few operations", rate: 2, load: func(step int) []int {
			if step%100 == 0 {
				return []int{step / 100 % 8}
			}
			return nil
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			system := newSystem(8, limitedTeam(test.rate*1.6, test.rate))
			system.run(4 * time.Second)
			operations := 0
			for step := range 2000 {
				for _, index := range test.load(step) {
					system.operate(system.members[index])
					operations++
				}
				system.step()
			}
			system.run(time.Second)
			is.Equal(system.refused, 0)
			is.Equal(len(system.uses), operations)
			is.True(system.messages <= operations)
		})
	}
}

// A team that floods gets its limit, and is refused at once beyond it.
func TestFloodGetsTheLimit(t *testing.T) {
	is := is.New(t)
	const rate, span = 40, 20
	system := newSystem(8, limitedTeam(rate, rate))
	system.run(4 * time.Second)
	for step := range span * 100 {
		for operation := range 3 { // 7.5 times the limit
			system.operate(system.members[(step+operation)%5])
		}
		system.step()
	}
	is.True(len(system.uses) >= rate*span*9/10)
	is.True(float64(mostInWindow(system.uses)) <= allowed(rate, rate))
	is.Equal(system.members[0].lastRefused, codes.TeamLimit)
}

// The lender of the team is lost for good. Another one lends after the list has changed.
func TestLostLenderIsReplaced(t *testing.T) {
	is := is.New(t)
	const rate = 40
	system := newSystem(8, limitedTeam(rate, rate))
	system.run(4 * time.Second)
	lender := system.members[0].quota.lenders.of("faculty")[0]
	var others []*member
	for _, member := range system.members {
		if member.id == lender.ID() {
			member.downUntil = time.Hour
			continue
		}
		others = append(others, member)
	}
	for step := range 3000 {
		if step%5 == 0 {
			system.operate(others[step%len(others)])
		}
		system.step()
	}
	system.refused = 0
	before := len(system.uses)
	for step := range 200 {
		if step%5 == 0 {
			system.operate(others[step%len(others)])
		}
		system.step()
	}
	system.run(time.Second)
	is.Equal(system.refused, 0)
	is.Equal(len(system.uses)-before, 40)
}

// While one of the lenders of a team is away, the others lend enough for two thirds of its limit.
func TestLossOfALender(t *testing.T) {
	is := is.New(t)
	const load, steps = 50, 1000 // operations a second, steps of 10 ms
	system := newSystem(8, limitedTeam(1.6*load, load))
	system.run(4 * time.Second)
	lost := system.members[0].quota.lenders.of("faculty")[0].ID()
	var others []*member
	for _, member := range system.members {
		if member.id == lost {
			member.downUntil = time.Hour
			continue
		}
		others = append(others, member)
	}
	for step := range steps {
		if step%2 == 0 {
			system.operate(others[step/2%len(others)])
		}
		system.step()
	}
	system.run(time.Second)
	is.Equal(system.refused, 0)
	is.Equal(len(system.uses), steps/2)
}

// Guards against two lenders that are cut off at once: an operation has to reach the third one
// before the time-outs of both have passed.
func TestTwoLendersAreCutOff(t *testing.T) {
	is := is.New(t)
	system := newSystem(8, limitedTeam(90, 30))
	system.run(4 * time.Second)
	lenders := system.members[0].quota.lenders.of("faculty")
	last := (system.members[0].quota.firstLender + len(lenders) - 1) % len(lenders)
	var others []*member
	for _, member := range system.members {
		index := slices.IndexFunc(lenders, func(view model.ProxyView) bool { return view.ID() == member.id })
		member.cut = index >= 0 && index != last
		if index < 0 {
			others = append(others, member)
		}
	}
	for index, member := range others {
		system.operate(member)
		system.run(200 * time.Millisecond)
		is.Equal(len(system.uses), index+1)
	}
	is.Equal(system.refused, 0)
}

// Demands that make no sense get nothing, and the lender goes on.
func TestMalformedDemands(t *testing.T) {
	tests := []struct {
		name   string
		demand model.TokenDemand
		most   int
	}{
		{name: "unknown team", demand: model.NewTokenDemand("nobody", 5)},
		{name: "no team", demand: model.NewTokenDemand("", 5)},
		{name: "no tokens", demand: model.NewTokenDemand("faculty", 0)},
		{name: "less than none", demand: model.NewTokenDemand("faculty", -5)},
		{name: "too many", demand: model.NewTokenDemand("faculty", 1<<40), most: 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			system := newSystem(1, limitedTeam(10, 10))
			system.run(4 * time.Second)
			loans := system.members[0].quota.lend([]model.TokenDemand{test.demand})
			is.Equal(len(loans), 1)
			is.True(loans[0].Tokens() >= 0 && loans[0].Tokens() <= test.most)
		})
	}
}

// A proxy that reaches no lender refuses, and says when to come back.
func TestNoLenderIsReachable(t *testing.T) {
	is := is.New(t)
	system := newSystem(4, limitedTeam(10, 10))
	system.run(4 * time.Second)
	system.lose = func() bool { return true }
	for _, member := range system.members {
		if !member.quota.lenders.lendsNow("faculty", member.id) {
			system.operate(member)
		}
	}
	system.run(time.Second)
	is.Equal(system.refused, 1)
	is.Equal(len(system.uses), 0)
}
