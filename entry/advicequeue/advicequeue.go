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
	waiting []*Member // in the order in which they began to wait
}

// Member is the place of one owner. Its methods may be called concurrently.
type Member struct{ queue *Queue }

// Join returns a place for an owner, which does not wait yet.
func (q *Queue) Join() *Member { return &Member{queue: q} }

// Request is a call that an owner would send next.
type Request struct {
	// Configured is the time that the call takes by the operator's configuration.
	Configured time.Duration
	// Ahead is set if the step that needs the tickets can't start now. Such calls only use the time in which the
	// service has nothing else to do.
	Ahead bool
}

// Begin reports whether the owner may send the request now. If so, the caller sends it, and calls End of the
// returned call. If not, the owner waits for its turn, and asks again.
func (m *Member) Begin(r Request, now time.Time) (*Call, bool) {
	q := m.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Ahead {
		q.remove(m)
		if len(q.waiting) > 0 || !q.flow.Idle() || !q.flow.Admits(r.Configured, now) {
			return nil, false
		}
		return q.begin(r, now), true
	}
	if !slices.Contains(q.waiting, m) {
		q.waiting = append(q.waiting, m)
	}
	if q.waiting[0] != m || !q.flow.Admits(r.Configured, now) {
		return nil, false
	}
	q.remove(m)
	return q.begin(r, now), true
}

// Withdraw gives up the owner's turn, since it has no request. An owner must withdraw when its term ends.
func (m *Member) Withdraw() {
	m.queue.mu.Lock()
	defer m.queue.mu.Unlock()
	m.queue.remove(m)
}

func (q *Queue) begin(r Request, now time.Time) *Call {
	return &Call{Call: q.flow.Begin(r.Configured, now), queue: q}
}

func (q *Queue) remove(m *Member) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Member) bool { return other == m })
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
