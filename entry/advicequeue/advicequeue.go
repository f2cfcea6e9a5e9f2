// Package advicequeue shares the calls to the advice service among the owners of one process. The service counts
// the calls by machine, whichever service they are for.
package advicequeue

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/policy/adviceflow"
)

// Queue lets owners call in turn. Its zero value is ready for use, and its methods may be called concurrently.
type Queue struct {
	mu      sync.Mutex
	flow    adviceflow.Flow
	turns   adviceflow.Turns
	waiting [adviceflow.Ahead][]*Member // by class, in the order in which they began to wait
}

// Member is the place of one owner. Its methods may be called concurrently.
type Member struct{ queue *Queue }

// Join returns a place for an owner, which does not wait yet.
func (q *Queue) Join() *Member { return &Member{queue: q} }

// Request is a call that an owner would send next.
type Request struct {
	// Configured is the time that the call takes by the operator's configuration.
	Configured time.Duration
	// Class is the most urgent class of the owner's requests. Those of class Ahead only use the time in which the
	// service has nothing else to do.
	Class adviceflow.Class
}

// Begin reports whether the owner may send the request now. If so, the caller sends it, and calls End of the
// returned call. If not, the owner waits for its turn, and asks again.
func (m *Member) Begin(r Request, now time.Time) (*Call, bool) {
	q := m.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.await(m, r.Class)
	if !q.isTurnOf(m, r.Class) || !q.flow.Admits(r.Configured, now) {
		return nil, false
	}
	q.remove(m)
	q.turns.Took(r.Class)
	return &Call{Call: q.flow.Begin(r.Configured, now), queue: q}, true
}

// await lets the owner wait for a turn of the class, and of no other.
func (q *Queue) await(m *Member, class adviceflow.Class) {
	for c := range q.waiting {
		if adviceflow.Class(c) != class {
			q.waiting[c] = without(q.waiting[c], m)
		} else if !slices.Contains(q.waiting[c], m) {
			q.waiting[c] = append(q.waiting[c], m)
		}
	}
}

// isTurnOf reports whether the owner is the next one to send a request, if the service takes one.
func (q *Queue) isTurnOf(m *Member, class adviceflow.Class) bool {
	var waiting [adviceflow.Classes]bool
	for c, members := range q.waiting {
		waiting[c] = len(members) > 0
	}
	next, found := q.turns.Next(waiting)
	if class == adviceflow.Ahead {
		return !found && q.flow.Idle()
	}
	return next == class && q.waiting[class][0] == m
}

// Withdraw gives up the owner's turn, since it has no request. An owner must withdraw when its term ends.
func (m *Member) Withdraw() {
	m.queue.mu.Lock()
	defer m.queue.mu.Unlock()
	m.queue.remove(m)
}

func (q *Queue) remove(m *Member) {
	for c := range q.waiting {
		q.waiting[c] = without(q.waiting[c], m)
	}
}

func without(members []*Member, m *Member) []*Member {
	return slices.DeleteFunc(members, func(other *Member) bool { return other == m })
}

// Call is a call in flight.
type Call struct {
	adviceflow.Call
	queue *Queue
}

// End records how the call ended. It must be called once.
func (c *Call) End(outcome adviceflow.Outcome, now time.Time) {
	c.queue.mu.Lock()
	defer c.queue.mu.Unlock()
	c.queue.flow.End(c.Call, outcome, now)
}
