package limit

import (
	"slices"

	"almondway.dev/almondway/internal/core/route"
)

// queue serves entrants in weighted round-robin order over a tree of flows: its
// children take turns, each as many times in a row as its weight. A leaf serves
// its entrants in the order of their arrival.
type queue struct {
	name     string
	weight   int
	credit   int
	size     int
	children []*queue
	waiters  []route.SlotWaiter
}

// pathStep is one step of the path to the leaf of an entrant.
type pathStep struct {
	name   string
	weight int
}

func newQueue(hop pathStep) *queue {
	return &queue{name: hop.name, weight: hop.weight, credit: hop.weight}
}

func (queue *queue) push(path []pathStep, entrant route.SlotWaiter) {
	queue.size++
	if len(path) == 0 {
		queue.waiters = append(queue.waiters, entrant)
		return
	}
	queue.child(path[0]).push(path[1:], entrant)
}

// child returns the child of the given name, which joins the end of the round if it is new.
func (queue *queue) child(hop pathStep) *queue {
	for _, child := range queue.children {
		if child.name == hop.name {
			return child
		}
	}
	added := newQueue(hop)
	queue.children = append(queue.children, added)
	return added
}

// pop removes the entrant whose turn it is. The queue must not be empty.
func (queue *queue) pop() route.SlotWaiter {
	queue.size--
	if len(queue.children) == 0 {
		first := queue.waiters[0]
		queue.waiters = slices.Delete(queue.waiters, 0, 1)
		return first
	}
	child := queue.children[0]
	first := child.pop()
	child.credit--
	switch {
	case child.size == 0:
		queue.children = slices.Delete(queue.children, 0, 1)
	case child.credit == 0:
		child.credit = child.weight
		queue.children = append(slices.Delete(queue.children, 0, 1), child)
	}
	return first
}

// remove removes an entrant. It reports false if the queue does not have it.
func (queue *queue) remove(path []pathStep, entrant route.SlotWaiter) bool {
	if len(path) == 0 {
		index := slices.Index(queue.waiters, entrant)
		if index < 0 {
			return false
		}
		queue.waiters = slices.Delete(queue.waiters, index, index+1)
		queue.size--
		return true
	}
	for index, child := range queue.children {
		if child.name != path[0].name || !child.remove(path[1:], entrant) {
			continue
		}
		queue.size--
		if child.size == 0 {
			queue.children = slices.Delete(queue.children, index, index+1)
		}
		return true
	}
	return false
}
