package limit

import (
	"slices"

	"almondway.dev/almondway/internal/core/route"
)

// queue orders waiters by weighted round-robin over a tree of flows. In each round, a
// child is served as many times in a row as its weight. A leaf serves its waiters in the
// order of their arrival.
type queue struct {
	name     string
	weight   int
	credit   int
	size     int
	children []*queue
	waiters  []route.SlotWaiter
}

// pathStep is one step of the path to the leaf of a waiter.
type pathStep struct {
	name   string
	weight int
}

func newQueue(step pathStep) *queue {
	return &queue{name: step.name, weight: step.weight, credit: step.weight}
}

func (queue *queue) push(path []pathStep, waiter route.SlotWaiter) {
	queue.size++
	if len(path) == 0 {
		queue.waiters = append(queue.waiters, waiter)
		return
	}
	queue.child(path[0]).push(path[1:], waiter)
}

// child returns the child of the given name. A new child is added at the end of the round.
func (queue *queue) child(step pathStep) *queue {
	for _, child := range queue.children {
		if child.name == step.name {
			return child
		}
	}
	added := newQueue(step)
	queue.children = append(queue.children, added)
	return added
}

// pop removes the next waiter and returns it. The queue must not be empty.
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

// remove removes a waiter. It reports false if the waiter is not in the queue.
func (queue *queue) remove(path []pathStep, waiter route.SlotWaiter) bool {
	if len(path) == 0 {
		index := slices.Index(queue.waiters, waiter)
		if index < 0 {
			return false
		}
		queue.waiters = slices.Delete(queue.waiters, index, index+1)
		queue.size--
		return true
	}
	for index, child := range queue.children {
		if child.name != path[0].name || !child.remove(path[1:], waiter) {
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
