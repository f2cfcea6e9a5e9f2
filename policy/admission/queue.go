// Package admission decides which waiting request goes next and which request is
// refused because it cannot be answered in time.
//
// A Queue serves levels by priority. Inside a level, tenants share by weight
// through start-time fair queueing, and one tenant's requests keep their order.
// The package is pure: it holds no lock and reads no clock.
package admission

import "slices"

// LowerTurn is how many requests in a row go to higher levels while a lower one
// waits; the next one goes to the lower level, so that no level starves.
const LowerTurn = 20

// Waiter is one queued request. Its fields must not change while it is queued.
type Waiter[T any] struct {
	Value    T
	Priority int    // a higher one goes first
	Tenant   string // shares are kept by tenant
	Weight   int    // the tenant's share relative to others; below 1 reads as 1

	flow       *flow[T]
	prev, next *Waiter[T]
}

// Queued reports whether the waiter is in a queue.
func (w *Waiter[T]) Queued() bool { return w.flow != nil }

// Queue holds waiting requests. The zero Queue refuses everything; use New.
type Queue[T any] struct {
	limit  int
	length int
	levels []*level[T] // by falling priority
	passed int         // requests served in a row while a lower level waited
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

// nextLevel returns the highest waiting level, or each LowerTurn requests the
// lowest one.
func (q *Queue[T]) nextLevel() *level[T] {
	var highest, lowest *level[T]
	for _, l := range q.levels {
		if l.length == 0 {
			continue
		}
		if highest == nil {
			highest = l
		}
		lowest = l
	}
	if highest == lowest {
		q.passed = 0
		return highest
	}
	if q.passed < LowerTurn {
		q.passed++
		return highest
	}
	q.passed = 0
	return lowest
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

// Ahead estimates how many waiters go before a new one of this priority, tenant
// and weight: all of higher levels, and of its own level as many of each tenant
// as that tenant's weight allows in the meantime.
func (q *Queue[T]) Ahead(priority int, tenant string, weight int) int {
	ahead := 0
	for _, l := range q.levels {
		switch {
		case l.priority > priority:
			ahead += l.length
		case l.priority == priority:
			ahead += l.ahead(tenant, max(weight, 1))
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
