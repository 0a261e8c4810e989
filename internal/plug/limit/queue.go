package limit

import (
	"slices"

	"almondway.dev/almondway/internal/core/route"
)

// queue orders waiters by round-robin over a tree of flows. A leaf serves its waiters in
// the order of their arrival.
type queue struct {
	name     string
	size     int
	children []*queue
	waiters  []route.SlotWaiter
}

func newQueue(name string) *queue { return &queue{name: name} }

// push adds a waiter. path holds the names of the children from the root to its leaf.
func (queue *queue) push(path []string, waiter route.SlotWaiter) {
	queue.size++
	if len(path) == 0 {
		queue.waiters = append(queue.waiters, waiter)
		return
	}
	queue.child(path[0]).push(path[1:], waiter)
}

// child returns the child of the given name. A new child is added at the end of the round.
func (queue *queue) child(name string) *queue {
	for _, child := range queue.children {
		if child.name == name {
			return child
		}
	}
	added := newQueue(name)
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
	queue.children = slices.Delete(queue.children, 0, 1)
	first := child.pop()
	if child.size > 0 {
		queue.children = append(queue.children, child)
	}
	return first
}

// remove removes a waiter. It reports false if the waiter is not in the queue.
func (queue *queue) remove(path []string, waiter route.SlotWaiter) bool {
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
		if child.name != path[0] || !child.remove(path[1:], waiter) {
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
