// Package admission decides which waiting request goes next and which request is
// refused because it cannot be answered in time.
//
// A Queue serves levels by priority. Inside a level, tenants share the slots' time
// by weight through start-time fair queueing, and one tenant's requests keep
// their order.
// The package is pure: it holds no lock and reads no clock.
package admission

import (
	"slices"
	"time"
)

// LowestLevelShare is the part of the slots' time that the lowest waiting level gets
// while higher ones wait as well, so that no level starves.
const LowestLevelShare = 0.05

// Waiter is one queued request. Its fields must not change while it is queued.
type Waiter[T any] struct {
	Value    T
	Priority int    // a higher one goes first
	Tenant   string // shares are kept by tenant
	Weight   int    // the tenant's share relative to others; below 1 reads as 1
	// Cost is the expected time in a slot; zero reads as 1 ms.
	Cost time.Duration

	flow       *flow[T]
	prev, next *Waiter[T]
}

// work returns the expected time in a slot.
func (w *Waiter[T]) work() time.Duration { return max(w.Cost, time.Millisecond) }

// cost returns the expected time in a slot, in seconds.
func (w *Waiter[T]) cost() float64 { return w.work().Seconds() }

// Queued reports whether the waiter is in a queue.
func (w *Waiter[T]) Queued() bool { return w.flow != nil }

// Queue holds waiting requests. The zero Queue refuses everything; use New.
type Queue[T any] struct {
	limit  int
	length int
	levels []*level[T] // by falling priority
	credit float64     // seconds that the lowest waiting level has coming
}

// New returns a queue of at most limit waiters.
func New[T any](limit int) *Queue[T] { return &Queue[T]{limit: limit} }

// SetLimit changes the bound; waiters beyond it stay.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.length }

// Push queues the waiter in O(log tenants). A full queue gives up the newest
// waiter of its lowest level if that level is below the new one, and returns it;
// otherwise the new waiter is refused and accepted is false.
func (q *Queue[T]) Push(w *Waiter[T]) (displaced *Waiter[T], accepted bool) {
	if q.length >= q.limit {
		displaced = q.displaceable(w.Priority)
		if displaced == nil {
			return nil, false
		}
		q.Remove(displaced)
	}
	q.level(w.Priority).push(w)
	q.length++
	return displaced, true
}

// displaceable returns the last waiter of the longest flow in the lowest level,
// or nil if that level is not below priority.
func (q *Queue[T]) displaceable(priority int) *Waiter[T] {
	for _, l := range slices.Backward(q.levels) {
		if l.priority >= priority {
			return nil
		}
		if l.length > 0 {
			return l.longest().last
		}
	}
	return nil
}

// Pop removes and returns the next waiter, or nil.
func (q *Queue[T]) Pop() *Waiter[T] {
	l := q.nextLevel()
	if l == nil {
		return nil
	}
	q.length--
	return l.pop()
}

// nextLevel returns the highest waiting level, or the lowest one once its credit
// pays for its next waiter.
func (q *Queue[T]) nextLevel() *level[T] {
	highest, lowest := q.waitingLevels()
	if highest == lowest {
		q.credit = 0
		return highest
	}
	if cost := lowest.head().cost(); q.credit >= cost {
		q.credit -= cost
		return lowest
	}
	q.credit += LowestLevelShare * highest.head().cost()
	return highest
}

// waitingLevels returns the highest and the lowest level with waiters, or nil.
func (q *Queue[T]) waitingLevels() (highest, lowest *level[T]) {
	for _, l := range q.levels {
		if l.length == 0 {
			continue
		}
		if highest == nil {
			highest = l
		}
		lowest = l
	}
	return highest, lowest
}

// Remove takes a waiter out in O(log tenants) and reports whether it was queued.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.flow == nil {
		return false
	}
	w.flow.level.remove(w)
	q.length--
	return true
}

// Ahead estimates the slot time of the waiters that go before a new one: all of
// higher levels, and of its own level as much of each tenant as that tenant's
// weight allows in the meantime.
func (q *Queue[T]) Ahead(w *Waiter[T]) time.Duration {
	ahead := time.Duration(0)
	for _, l := range q.levels {
		switch {
		case l.priority > w.Priority:
			ahead += l.work
		case l.priority == w.Priority:
			ahead += l.ahead(w)
		}
	}
	return ahead
}

// level returns the level of the priority, made where absent.
func (q *Queue[T]) level(priority int) *level[T] {
	at, found := slices.BinarySearchFunc(q.levels, priority, func(l *level[T], p int) int { return p - l.priority })
	if !found {
		q.levels = slices.Insert(q.levels, at, &level[T]{priority: priority, flows: map[string]*flow[T]{}})
	}
	return q.levels[at]
}
