package deploy_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/proof/seeds"
)

const randomHistories = 100

func TestMain(m *testing.M) { seeds.Main(m, randomHistories, 0) }

// history generates random changes and faults and records the changes that were reported as
// accepted.
type history struct {
	cluster  *cluster
	calls    model.AdminCallID
	accepted map[uint64]time.Duration // by revision, the time of the report
	answered map[model.AdminCallID]bool
	down     bool
}

func (history *history) drawProxy(t *rapid.T) *proxy {
	return history.cluster.proxies[rapid.IntRange(0, len(history.cluster.proxies)-1).Draw(t, "proxy")]
}

// change requests a change, sometimes with the change ID of an earlier one.
func (history *history) change(t *rapid.T) {
	proxy := history.drawProxy(t)
	if proxy.paused {
		t.Skip("the proxy is paused")
	}
	history.calls++
	id := rapid.IntRange(max(1, int(history.calls)-2), int(history.calls)).Draw(t, "change")
	expected := uint64(0)
	if deployment, ok := proxy.kernel.State().Deployment("katalog-db"); ok {
		expected = deployment.Revision()
	}
	proxy.call(history.calls, applyCommand(id, expected, fmt.Sprintf("c%d", id), "ana"))
}

func (history *history) wait(t *rapid.T) {
	history.run(time.Duration(rapid.SampledFrom([]int{5, 20, 200, 1000, 6000}).Draw(t, "ms")) * time.Millisecond)
}

func (history *history) platform(t *rapid.T) {
	switch rapid.SampledFrom([]string{"down", "up", "lose", "drop"}).Draw(t, "fault") {
	case "down":
		history.down = true
	case "up":
		history.down = false
	case "lose":
		history.cluster.shelf.LoseAnswers(1)
	case "drop":
		history.cluster.shelf.DropWrites(1)
	}
	history.cluster.shelf.SetDown(history.down)
}

func (history *history) fault(t *rapid.T) {
	proxy := history.drawProxy(t)
	switch rapid.SampledFrom([]string{"cut", "join", "pause", "wake"}).Draw(t, "fault") {
	case "cut":
		proxy.partitioned = true
	case "join":
		proxy.partitioned = false
	case "pause":
		proxy.paused = true
	case "wake":
		proxy.resume()
	}
}

func (history *history) start(t *rapid.T) {
	if len(history.cluster.proxies) >= 5 {
		t.Skip("the maximum number of proxies is running")
	}
	history.cluster.startProxy("proxy-1", "proxy-2")
}

// run advances the cluster step by step, so that the time of each answer is recorded.
func (history *history) run(duration time.Duration) {
	for end := history.cluster.now + duration; history.cluster.now < end; {
		history.cluster.run(step)
		history.recordAnswers()
	}
}

func (history *history) recordAnswers() {
	for _, proxy := range history.cluster.proxies {
		for commandID, result := range proxy.results {
			if history.answered[commandID] {
				continue
			}
			history.answered[commandID] = true
			if change, ok := result.(event.ChangeAccepted); ok {
				if _, known := history.accepted[change.Revision()]; !known {
					history.accepted[change.Revision()] = history.cluster.now
				}
			}
		}
	}
}

// check verifies that each accepted revision, or a higher one, is in force on every
// confirmed proxy within the confirmation time.
func (history *history) check(t *rapid.T) {
	limit := tune.Default().ConfirmLimit + 2*step
	for _, proxy := range history.cluster.proxies {
		if proxy.reverted {
			t.Fatalf("%s applied a lower revision", proxy.id)
		}
		if proxy.paused || !proxy.kernel.State().Confirmed() {
			continue
		}
		for revision, at := range history.accepted {
			if history.cluster.now-at > limit && proxy.revision() < revision {
				t.Fatalf("%s serves revision %d; %d was accepted %s ago", proxy.id, proxy.revision(), revision, history.cluster.now-at)
			}
		}
	}
}

// endFaults ends all faults and verifies that every proxy serves the last revision and that
// every call is answered.
func (history *history) endFaults(t *rapid.T) {
	history.cluster.shelf.SetDown(false)
	for _, proxy := range history.cluster.proxies {
		proxy.partitioned = false
		proxy.resume()
	}
	history.run(20 * time.Second)
	history.check(t)
	highest := uint64(0)
	for _, proxy := range history.cluster.proxies {
		highest = max(highest, proxy.revision())
	}
	for _, proxy := range history.cluster.proxies {
		if proxy.revision() != highest || !proxy.kernel.State().Confirmed() {
			t.Fatalf("%s did not confirm the highest revision: it has %d of %d", proxy.id, proxy.revision(), highest)
		}
	}
	if len(history.answered) != int(history.calls) {
		t.Fatalf("%d of %d calls were answered", len(history.answered), history.calls)
	}
	if rows := len(history.cluster.shelf.Rows("catalog", "history/")); rows != int(highest) {
		t.Fatalf("%d history rows at revision %d", rows, highest)
	}
}

func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := &history{cluster: newCluster(3), accepted: make(map[uint64]time.Duration), answered: make(map[model.AdminCallID]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"":         history.check,
			"change":   history.change,
			"wait":     history.wait,
			"platform": history.platform,
			"fault":    history.fault,
			"start":    history.start,
		})
		history.endFaults(t)
	})
}
