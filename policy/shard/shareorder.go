package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// shareOrder orders the jobs of one service by the shares of their tenants.
type shareOrder struct {
	capacity job.Resources  // of the service
	free     job.Resources  // left by the jobs that are in the order already
	turns    turns          // of the tenants with jobs of the present rank
	touched  []*tenantShare // those with jobs in the order
}

// rankedJob is a job with what its place in the order depends on.
type rankedJob struct {
	job      *jobState
	ready    job.Resources // as readyNeed
	deadline int64         // as queueDeadline
}

// newShareOrder returns an empty order. It reuses the memory of the last one.
func (s *Shard) newShareOrder(now time.Time) *shareOrder {
	capacity, _ := s.confirmedCapacity()
	s.order = shareOrder{
		capacity: capacity, free: s.usableFree(now),
		turns: s.order.turns[:0], touched: s.order.touched[:0],
	}
	return &s.order
}

// appendRank appends the jobs of a rank, which are in the order of their deadlines. They keep it if
// all of their work that could start fits into what is free. Otherwise the next job belongs to the
// tenant that uses least for its weight, by dominant resource fairness.
func (o *shareOrder) appendRank(order, jobs []*jobState, u urgency) []*jobState {
	ready := o.enqueue(jobs)
	fits := ready.Fits(o.free)
	o.free = o.free.Sub(ready)
	if fits {
		o.countAllPlanned()
		return append(order, jobs...)
	}
	o.noteContention(u)
	o.turns.build()
	for len(o.turns) > 0 {
		first := &o.turns[0]
		t := first.share
		next := &t.queue[t.next]
		order = append(order, next.job)
		t.planned = t.planned.Add(next.ready)
		t.next++
		if t.next == len(t.queue) {
			t.clearQueue()
			o.turns.removeFirst()
			continue
		}
		first.key, first.deadline = o.keyOf(t), t.queue[t.next].deadline
		o.turns.fix(0)
	}
	return order
}

// enqueue fills the queues of the tenants with the jobs of a rank, and returns the need of all their
// tasks that could start.
func (o *shareOrder) enqueue(jobs []*jobState) job.Resources {
	var ready job.Resources
	for _, j := range jobs {
		t, need := j.share, j.readyNeed()
		ready = ready.Add(need)
		if len(t.queue) == 0 {
			o.turns = append(o.turns, turn{o.keyOf(t), j.queueDeadline, t})
			o.touched = append(o.touched, t)
		}
		t.queue = append(t.queue, rankedJob{j, need, j.queueDeadline})
	}
	return ready
}

// countAllPlanned counts the need of all queued jobs as used by their tenants, and empties the queues.
func (o *shareOrder) countAllPlanned() {
	for _, first := range o.turns {
		for i := range first.share.queue {
			first.share.planned = first.share.planned.Add(first.share.queue[i].ready)
		}
		first.share.clearQueue()
	}
	o.turns = o.turns[:0]
}

// noteContention marks the tenants with jobs of a rank that does not fit. Work beyond the rates gets what
// is left, and its tenants are owed nothing for waiting.
func (o *shareOrder) noteContention(u urgency) {
	if u >= urgencyExcess {
		return
	}
	for _, first := range o.turns {
		first.share.contending = true
	}
}

// keyOf returns the dominant share of a tenant for its weight, with its surplus.
func (o *shareOrder) keyOf(t *tenantShare) float64 {
	return dominantShare(t.used.Add(t.planned), o.capacity)/t.weight + t.surplus/surplusTime.Seconds()
}

// done resets what the ordering has set.
func (o *shareOrder) done() {
	for _, t := range o.touched {
		t.planned = job.Resources{}
	}
}

func (t *tenantShare) clearQueue() {
	clear(t.queue)
	t.queue, t.next = t.queue[:0], 0
}

// turn is the place of a tenant among those with jobs of the present rank.
type turn struct {
	key      float64 // as keyOf
	deadline int64   // of its next job
	share    *tenantShare
}

// turns is a heap whose first tenant is next.
type turns []turn

func (t turns) less(x, y int) bool {
	a, b := &t[x], &t[y]
	switch {
	case a.key != b.key:
		return a.key < b.key
	case a.deadline != b.deadline:
		return a.deadline < b.deadline
	default:
		return a.share.name < b.share.name
	}
}

// build makes a heap of the turns.
func (t turns) build() {
	for i := len(t)/2 - 1; i >= 0; i-- {
		t.fix(i)
	}
}

// fix restores the heap after the turn at a position, or the first one, has become later. container/heap
// is not used, since its interface calls took a quarter of the ordering time.
func (t turns) fix(i int) {
	for {
		child := 2*i + 1
		if child >= len(t) {
			return
		}
		if child+1 < len(t) && t.less(child+1, child) {
			child++
		}
		if !t.less(child, i) {
			return
		}
		t[i], t[child] = t[child], t[i]
		i = child
	}
}

// removeFirst removes the first turn.
func (t *turns) removeFirst() {
	last := len(*t) - 1
	(*t)[0] = (*t)[last]
	*t = (*t)[:last]
	t.fix(0)
}

// readyNeed returns the need of the job's tasks that could start and have no run.
func (j *jobState) readyNeed() job.Resources {
	if !j.started() && j.Definition.Schedule.Count == 0 {
		return j.initialReady
	}
	var sum job.Resources
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if n := st.tasksLeft - st.runs; st.blockers == 0 && n > 0 {
				sum = sum.Add(multiply(st.def.Reservation(), n))
			}
		}
	}
	return sum
}

// initialReady returns the need of all tasks of the steps that depend on no other.
func initialReady(steps []job.Step) job.Resources {
	var sum job.Resources
	for i := range steps {
		if len(steps[i].After) == 0 {
			sum = sum.Add(multiply(steps[i].Reservation(), steps[i].Count))
		}
	}
	return sum
}
