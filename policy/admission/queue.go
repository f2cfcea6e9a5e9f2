// Package admission decides which waiting request is served next and which request
// is refused because it cannot complete within its timeout.
//
// A Queue serves priority levels from high to low. Within a level, tenants share the
// slot time by weight through start-time fair queueing, and the requests of one
// tenant are served in order of arrival.
// The package is pure: it takes no locks and reads no clock.
package admission

import (
	"slices"
	"time"
)

// LowestLevelShare is the share of the slot time that the lowest waiting level gets
// while higher levels wait as well, so that no level starves.
const LowestLevelShare = 0.05

// Waiter is one queued request. Its fields must not change while it is queued.
type Waiter[T any] struct {
	Value    T
	Priority int    // higher priorities are served first
	Tenant   string // slot time is shared fairly between tenants
	Weight   int    // the tenant's share relative to other tenants; below 1 counts as 1
	// Cost is the expected time in a slot; below 1 ms counts as 1 ms.
	Cost time.Duration

	flow       *flow[T]
	prev, next *Waiter[T]
}

// slotTime returns the expected time in a slot, at least 1 ms.
func (w *Waiter[T]) slotTime() time.Duration { return max(w.Cost, time.Millisecond) }

// slotSeconds returns slotTime in seconds.
func (w *Waiter[T]) slotSeconds() float64 { return w.slotTime().Seconds() }

// Queued reports whether the waiter is in a queue.
func (w *Waiter[T]) Queued() bool { return w.flow != nil }

// Queue holds waiting requests. The zero Queue refuses everything; use New.
type Queue[T any] struct {
	limit  int
	length int
	levels []*level[T] // by descending priority
	credit float64     // slot time owed to the lowest waiting level, in seconds
}

// New returns a queue of at most limit waiters.
func New[T any](limit int) *Queue[T] { return &Queue[T]{limit: limit} }

// SetLimit changes the maximum length; waiters already queued beyond it stay.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.length }

// Push queues the waiter in O(log tenants). If the queue is full and its lowest level
// is below the priority of the new waiter, Push removes and returns the last waiter of
// the longest flow of that level; otherwise it refuses the new waiter and accepted is
// false.
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
			return l.longestFlow().last
		}
	}
	return nil
}

// Pop removes and returns the next waiter, or nil if the queue is empty.
func (q *Queue[T]) Pop() *Waiter[T] {
	l := q.nextLevel()
	if l == nil {
		return nil
	}
	q.length--
	return l.pop()
}

// nextLevel returns the highest waiting level, or the lowest one once its credit
// covers the slot time of its next waiter.
func (q *Queue[T]) nextLevel() *level[T] {
	highest, lowest := q.waitingLevels()
	if highest == lowest {
		q.credit = 0
		return highest
	}
	if cost := lowest.head().slotSeconds(); q.credit >= cost {
		q.credit -= cost
		return lowest
	}
	q.credit += LowestLevelShare * highest.head().slotSeconds()
	return highest
}

// waitingLevels returns the highest and the lowest level with waiters, nil if there
// are none.
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

// Remove removes the waiter in O(log tenants) and reports whether it was queued.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.flow == nil {
		return false
	}
	w.flow.level.remove(w)
	q.length--
	return true
}

// Ahead estimates the total slot time of the waiters that are served before a new one:
// all waiters of higher levels, those of its own tenant at its own level, and as much
// of each other tenant at that level as the weights allow until the new one is served.
func (q *Queue[T]) Ahead(w *Waiter[T]) time.Duration {
	ahead := time.Duration(0)
	for _, l := range q.levels {
		switch {
		case l.priority > w.Priority:
			ahead += l.slotTime
		case l.priority == w.Priority:
			ahead += l.ahead(w)
		}
	}
	return ahead
}

// level returns the level of the priority and creates it if it doesn't exist.
func (q *Queue[T]) level(priority int) *level[T] {
	at, found := slices.BinarySearchFunc(q.levels, priority, func(l *level[T], p int) int { return p - l.priority })
	if !found {
		q.levels = slices.Insert(q.levels, at, &level[T]{priority: priority, flows: map[string]*flow[T]{}})
	}
	return q.levels[at]
}
