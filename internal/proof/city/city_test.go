package city

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
)

// traffic lets sessions of all kinds work for a time. A session whose proxy was
// killed connects anew.
func traffic(world *world, span time.Duration) {
	var sessions []*session
	for _, node := range world.nodes {
		for _, kind := range []string{"primary", "bounded", "own"} {
			sessions = append(sessions, world.connect(node, kind))
		}
	}
	until := world.now + span
	var turn func(index int)
	turn = func(index int) {
		if world.now >= until {
			return
		}
		session := sessions[index]
		if session.ended() {
			sessions[index] = world.connect(session.node, session.kind)
			session = sessions[index]
		}
		if !session.busy && !session.inTx {
			switch choice := world.random.IntN(10); {
			case choice < 2:
				session.write()
			case choice < 3:
				session.transact()
			default:
				session.read()
			}
		}
		world.after(5*time.Millisecond+time.Duration(world.random.Int64N(int64(20*time.Millisecond))), func() { turn(index) })
	}
	for index := range sessions {
		world.after(hop, func() { turn(index) })
	}
}

// fault is something that goes wrong at a time.
type fault struct {
	name string
	run  func(world *world)
}

var faults = []fault{
	{"primary crashes and comes back", func(world *world) {
		if crashed := world.leader; crashed != nil {
			crashed.crash(4 * time.Second)
		}
	}},
	{"replica crashes and comes back", func(world *world) {
		for _, instance := range world.instances {
			if !instance.leads() && instance.up {
				instance.crash(2 * time.Second)
				return
			}
		}
	}},
	{"a replica receives nothing", func(world *world) {
		deaf := world.instances[world.random.IntN(len(world.instances))]
		deaf.deaf = true
		world.after(2*time.Second, func() { deaf.deaf = false })
	}},
	{"the replicas apply nothing", func(world *world) {
		for _, instance := range world.instances {
			instance.slow = true
			world.after(time.Second, func() { instance.slow = false })
		}
	}},
	{"the primary is cut from its replicas", func(world *world) {
		if primary := world.leader; primary != nil {
			primary.apart = true
			world.after(3*time.Second, func() { primary.apart = false })
		}
	}},
	{"the primary is cut from most proxies", func(world *world) {
		if primary := world.leader; primary != nil {
			for _, node := range world.nodes[1:] {
				primary.cut[node] = true
				world.after(4*time.Second, func() { delete(primary.cut, node) })
			}
		}
	}},
	{"a proxy is killed", func(world *world) {
		node := world.nodes[world.random.IntN(len(world.nodes))]
		node.kill()
		node.start()
	}},
	{"a proxy stands still", func(world *world) {
		world.nodes[world.random.IntN(len(world.nodes))].pause(2 * time.Second)
	}},
	{"the store is away", func(world *world) {
		world.storeDown = true
		world.after(3*time.Second, func() { world.storeDown = false })
	}},
	{"promotion calls come late", func(world *world) {
		world.late = 0.5
		world.after(5*time.Second, func() { world.late = 0 })
	}},
}

func (instance *instance) crash(span time.Duration) {
	instance.up = false
	instance.paused = 0
	world := instance.world
	for _, node := range world.nodes {
		for _, conn := range node.conns {
			if conn.instance == instance {
				conn.rollBack()
			}
		}
	}
	world.relist()
	world.after(span, func() {
		instance.up = true
		if world.leader != nil && world.leader != instance {
			instance.truncate(world.leader)
		}
		world.relist()
	})
}

// busy returns a world whose sessions have begun to work for a time. Where the test
// fails, it is explained.
func busy(t *testing.T, seed uint64, span time.Duration) *world {
	t.Helper()
	world := newWorld(seed)
	t.Cleanup(func() { explain(t, world) })
	world.run(2 * time.Second)
	traffic(world, span)
	return world
}

// Each fault alone, and then every one with every other.
func TestFaults(t *testing.T) {
	for first := range faults {
		for second := first; second < len(faults); second++ {
			t.Run(faults[first].name+", "+faults[second].name, func(t *testing.T) {
				is := is.New(t)
				world := busy(t, uint64(1000*first+second), 14*time.Second)
				world.run(time.Second)
				faults[first].run(world)
				world.run(400 * time.Millisecond)
				faults[second].run(world)
				world.run(14 * time.Second)
				is.Equal(world.oracle.broken, nil)
				served, asked := world.oracle.served, world.oracle.asked
				traffic(world, 2*time.Second)
				world.run(4 * time.Second)
				// Once all is well again, nearly everything is served.
				is.True(100*(world.oracle.served-served) >= 95*(world.oracle.asked-asked))
				is.Equal(world.oracle.broken, nil)
			})
		}
	}
}

// The promoter loses the store and the primary ends, and no other proxy but one
// reaches the store to say that it cannot work with the primary either. The entry
// of the primary is gone after a few seconds, which is enough.
func TestPromoterWithoutStore(t *testing.T) {
	is := is.New(t)
	world := busy(t, 7, 12*time.Second)
	world.run(time.Second)
	former := world.leader
	for _, node := range world.nodes[:2] {
		node.noStore = true
	}
	former.up = false
	world.after(3600*time.Millisecond, world.relist)
	world.run(5600 * time.Millisecond)
	is.True(world.leader != former)
	is.Equal(world.oracle.broken, nil)
}

// A primary that leaves is replaced once, by an instance that stays, whenever the
// promoter last asked it for its status.
func TestPrimaryLeaves(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			world := busy(t, uint64(index), 14*time.Second)
			world.run(4*time.Second + time.Duration(index)*500*time.Millisecond)
			former := world.leader
			former.leaving = true
			world.relist()
			world.run(2 * time.Second)
			is.True(world.leader != nil && world.leader != former)
			is.Equal(world.term, model.Term(2))
			is.Equal(world.oracle.broken, nil)
		})
	}
}

// A primary comes back whose promoter has never seen it. Its replicas are paused, so
// that its commits wait and hold all slots, and it has none for a status.
func TestPrimaryWithoutSlots(t *testing.T) {
	is := is.New(t)
	world := busy(t, 133, 20*time.Second)
	world.run(time.Second)
	former := world.leader
	former.crash(3 * time.Second)
	former.full = true
	for _, node := range world.nodes {
		node.kill()
		node.start()
	}
	world.run(10 * time.Second)
	is.True(world.leader != nil && world.leader != former)
	is.Equal(world.oracle.broken, nil)
}

// A replica is lost for good, and soon afterwards the primary. The last instance has
// all commits, which is known once the first one is left out.
func TestTwoLosses(t *testing.T) {
	for index := range 8 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			world := busy(t, uint64(index), 20*time.Second)
			world.run(time.Second + time.Duration(index)*500*time.Millisecond)
			world.instances[2].up = false
			world.relist()
			// The entry lapses after 2.5 s, and the instance is left out after 2 s of silence.
			world.run(5500 * time.Millisecond)
			world.instances[0].up = false
			world.relist()
			world.run(8 * time.Second)
			is.True(world.leader == world.instances[1])
			is.Equal(world.oracle.broken, nil)
		})
	}
}

// The primary ends while the store is away. What the proxies say of it is written as
// soon as the store is back, not at their next beat.
func TestPrimaryLostWithStore(t *testing.T) {
	for index := range 6 {
		t.Run(strconv.Itoa(index), func(t *testing.T) {
			is := is.New(t)
			world := busy(t, uint64(index), 20*time.Second)
			world.run(time.Duration(index) * time.Second)
			world.storeDown = true
			world.run(time.Second)
			former := world.leader
			former.up = false
			world.run(7 * time.Second)
			is.True(world.leader == former) // nobody may promote without the lease
			world.storeDown = false
			world.run(2 * time.Second)
			is.True(world.leader != former)
			is.Equal(world.oracle.broken, nil)
		})
	}
}

// The primary is lost for good, and all proxies are killed before one promotes. Those
// that follow have not seen it lead; the row of the lease says that it did.
func TestPrimaryGoneWithAllProxies(t *testing.T) {
	is := is.New(t)
	world := busy(t, 2006, 20*time.Second)
	world.run(6 * time.Second)
	former := world.leader
	former.up = false
	world.relist()
	world.run(300 * time.Millisecond)
	for _, node := range world.nodes {
		node.kill()
		node.start()
	}
	world.run(8 * time.Second)
	is.True(world.leader != former)
	is.Equal(world.oracle.broken, nil)
}

// What finds no slot is refused at once.
func TestSlotsTakenForLong(t *testing.T) {
	is := is.New(t)
	world := busy(t, 9, time.Second)
	for _, instance := range world.instances {
		instance.busyUntil = world.now + 10*time.Second
	}
	world.run(2 * time.Second)
	is.True(world.oracle.asked > 10)
	is.Equal(world.oracle.served, 0)
	for _, node := range world.nodes {
		is.Equal(len(node.waiting), 0)
	}
}

// Random histories: faults of every kind at random times, some at once. A seed
// that ever broke a promise stays in the list.
func TestRandomHistories(t *testing.T) {
	for _, seed := range histories(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			is := is.New(t)
			world := busy(t, seed, 20*time.Second)
			for range 8 {
				world.run(time.Duration(world.random.Int64N(int64(2500 * time.Millisecond))))
				chosen := faults[world.random.IntN(len(faults))]
				world.lines = append(world.lines, world.now.String()+" FAULT "+chosen.name)
				chosen.run(world)
			}
			world.run(20 * time.Second)
			is.Equal(world.oracle.broken, nil)
			served, asked := world.oracle.served, world.oracle.asked
			traffic(world, 2*time.Second)
			world.run(4 * time.Second)
			is.True(100*(world.oracle.served-served) >= 95*(world.oracle.asked-asked))
			is.Equal(world.oracle.broken, nil)
		})
	}
}

// explain prints what the proxies logged in a history that failed.
func explain(t *testing.T, world *world) {
	if !t.Failed() {
		return
	}
	for _, line := range world.lines {
		t.Log(line)
	}
	for _, instance := range world.instances {
		t.Logf("%s up %v leads %v paused %d log %d", instance.id, instance.up, instance.leads(), instance.paused, len(instance.log))
	}
}

// histories returns the fixed seeds, and more where the environment asks for them.
func histories(t *testing.T) []uint64 {
	if fixed, err := strconv.ParseUint(os.Getenv("CITY_SEED"), 10, 64); err == nil {
		return []uint64{fixed}
	}
	seeds := []uint64{1796338088815364219, 1796338088815364326, 20261203, 20261204, 20261205, 20261206, 20261207, 20261208, 20261209, 20261210}
	count, _ := strconv.Atoi(os.Getenv("CITY_HISTORIES"))
	fresh := uint64(time.Now().UnixNano())
	for index := range count {
		seeds = append(seeds, fresh+uint64(index))
	}
	t.Logf("fresh seeds from %d", fresh)
	return seeds
}
