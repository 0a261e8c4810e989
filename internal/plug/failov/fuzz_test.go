package failov_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proof/seeds"
)

const randomHistories = 250

func TestMain(m *testing.M) { seeds.Main(m, randomHistories, 0) }

// history applies random faults and records which entries were acknowledged: those that a
// majority held while it was fenced with the term of the entry.
type history struct {
	cluster      *cluster
	acknowledged map[model.Mark]bool
	commands     model.AdminCallID
}

func (history *history) drawInstance(t *rapid.T) *instance {
	return history.cluster.instances[rapid.IntRange(0, 2).Draw(t, "instance")]
}

func (history *history) drawProxy(t *rapid.T) *proxy {
	return history.cluster.proxies[rapid.IntRange(0, len(history.cluster.proxies)-1).Draw(t, "proxy")]
}

func (history *history) write(*rapid.T) {
	for _, instance := range history.cluster.instances {
		instance.write()
	}
}

func (history *history) wait(t *rapid.T) {
	history.run(time.Duration(rapid.SampledFrom([]int{2, 10, 50, 200, 700}).Draw(t, "ms")) * time.Millisecond)
}

func (history *history) run(duration time.Duration) {
	history.cluster.runUntil(duration, func() bool {
		history.recordAcknowledged()
		return false
	})
}

// recordAcknowledged records the entries that are acknowledged at this time.
func (history *history) recordAcknowledged() {
	for _, candidate := range history.cluster.instances {
		if !candidate.primary {
			continue
		}
		for index, term := range candidate.log {
			holders := 0
			for _, other := range history.cluster.instances {
				if other.fence == term && len(other.log) > index && other.log[index] == term {
					holders++
				}
			}
			if holders >= 2 {
				history.acknowledged[model.NewMark(term, model.Position(index+1))] = true
			}
		}
	}
}

func (history *history) fault(t *rapid.T) {
	instance := history.drawInstance(t)
	switch rapid.SampledFrom([]string{"kill", "restart", "freeze", "thaw", "lag", "catch up", "leave", "stay"}).Draw(t, "fault") {
	case "kill":
		instance.kill()
	case "restart":
		if instance.dead {
			instance.restart(false)
		}
	case "freeze":
		instance.frozen = !instance.dead
	case "thaw":
		instance.thaw()
	case "lag":
		instance.copyPaused = true
	case "catch up":
		instance.copyPaused = false
	case "leave":
		instance.leaving = true
	case "stay":
		instance.leaving = false
	}
}

func (history *history) partition(t *rapid.T) {
	names := []string{"a", "b", "c"}
	for _, proxy := range history.cluster.proxies {
		names = append(names, string(proxy.id))
	}
	left := rapid.SampledFrom(names[:3]).Draw(t, "left")
	right := rapid.SampledFrom(names).Draw(t, "right")
	if left != right {
		history.cluster.setPartitioned(left, right, rapid.Bool().Draw(t, "apart"))
	}
}

func (history *history) togglePause(t *rapid.T) {
	proxy := history.drawProxy(t)
	if proxy.paused {
		proxy.resume()
		return
	}
	proxy.paused = true
}

func (history *history) switchover(t *rapid.T) {
	history.commands++
	target := rapid.SampledFrom([]model.InstanceID{"", "a", "b", "c"}).Draw(t, "target")
	history.drawProxy(t).post(event.NewCommandReceived(history.commands, event.NewSwitchover(group, target)))
}

// check fails if a term has several primaries, or if an acknowledged entry is missing from
// the log of a primary whose term is the fence of a majority.
func (history *history) check(t *rapid.T) {
	for term, primaries := range history.cluster.primariesByTerm {
		if len(primaries) > 1 {
			t.Fatalf("term %d has the primaries %v", term, primaries)
		}
	}
	primary := history.cluster.primary()
	if primary == nil || primary.log[len(primary.log)-1] != primary.fence {
		return
	}
	for mark := range history.acknowledged {
		index := int(mark.Position()) - 1
		if mark.Term() <= primary.fence && (len(primary.log) <= index || primary.log[index] != mark.Term()) {
			t.Fatalf("acknowledged entry %s is not in the log of the primary of term %d", mark, primary.fence)
		}
	}
}

// endFaults ends all faults. The group must then get a primary that every instance follows, and
// every operator command must have exactly one answer.
func (history *history) endFaults(t *rapid.T) {
	clear(history.cluster.partitioned)
	for _, instance := range history.cluster.instances {
		if instance.dead {
			instance.restart(false)
		}
		instance.thaw()
		instance.copyPaused = false
		instance.leaving = false
	}
	for _, proxy := range history.cluster.proxies {
		if proxy.paused {
			proxy.resume()
		}
	}
	history.run(8 * time.Second)
	history.check(t)
	primary := history.cluster.primary()
	if primary == nil {
		t.Fatalf("the group has no primary after all faults ended")
	}
	for _, instance := range history.cluster.instances {
		if !slices.Equal(instance.log, primary.log) {
			t.Fatalf("instance %s does not follow %s", instance.self.ID(), primary.self.ID())
		}
	}
	for index := range history.commands {
		answers := 0
		for _, proxy := range history.cluster.proxies {
			if proxy.results[index+1] != nil {
				answers++
			}
		}
		if answers != 1 {
			t.Fatalf("command %d has %d answers", index+1, answers)
		}
	}
}

func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := &history{cluster: newCluster(3), acknowledged: make(map[model.Mark]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"":      history.check,
			"write": history.write,
			"wait":  history.wait,
			"pause": history.togglePause,
			"cut":   history.partition,
			"move":  history.switchover,
			"fault": history.fault,
		})
		history.endFaults(t)
	})
}
