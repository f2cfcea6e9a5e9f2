package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// standing is how much a job can still earn; lower comes first.
type urgency int

const (
	urgencyLongRunning urgency = iota // serves users already
	urgencyExpiring                   // late, and soon worth nothing
	urgencyInTime                     // can still meet its objective
	urgencyLate                       // worth less, but something
	urgencyTooLate                    // worth nothing to its caller
)

// tooLateFactor is how many objectives after its acceptance a job is worth nothing.
const tooLateFactor = 3

// expiringSlack is how long before that a late job goes first: estimates are rough,
// and tasks wait for each other.
const expiringSlack = 1500 * time.Millisecond

func (j *jobState) urgency(now time.Time) urgency {
	if j.isLongRunning() {
		return urgencyLongRunning
	}
	if j.Definition.Schedule.Count > 0 {
		return urgencyInTime
	}
	end := now.Add(j.remaining(now))
	last := j.Accepted.Add(tooLateFactor * j.objective())
	switch {
	case !end.After(j.deadline()):
		return urgencyInTime
	case !end.Add(expiringSlack).After(last):
		return urgencyLate
	case !end.After(last):
		return urgencyExpiring
	default:
		return urgencyTooLate
	}
}

// rank is the part of a job's place in the order that changes with time; among equals the
// earlier deadline comes first.
type rank struct {
	urgency   urgency
	priority  int
	unstarted int // 0 where work is already invested
}

func compareRank(x, y rank) int {
	return cmp.Or(
		cmp.Compare(x.urgency, y.urgency),
		cmp.Compare(x.priority, y.priority),
		cmp.Compare(x.unstarted, y.unstarted),
	)
}

// startOrder returns the jobs in the order in which they may start tasks: lasting
// ones, those that can still be in time, late ones; among equals by priority, begun
// jobs before new ones, then by deadline.
func (s *Shard) startOrder(now time.Time) []*jobState {
	groups := map[rank][]*jobState{}
	expiring := expiringShare * float64(s.capacityCPU())
	count := 0
	for _, j := range s.queue.jobs {
		if j.terminating() || j.state.Final() {
			continue
		}
		r := rank{urgency: j.urgency(now), priority: j.Queue.Priority, unstarted: 1}
		if j.started() {
			r.unstarted = 0
		}
		if r.urgency == urgencyExpiring {
			expiring -= float64(j.openCPU())
			if expiring < 0 {
				r.urgency = urgencyLate
			}
		}
		groups[r] = append(groups[r], j)
		count++
	}
	ranks := slices.SortedFunc(maps.Keys(groups), compareRank)
	jobs := make([]*jobState, 0, count)
	for _, r := range ranks {
		jobs = append(jobs, groups[r]...)
	}
	return jobs
}

// expiringShare bounds the share of the processor room for which late jobs go before
// jobs that can still be in time, those closest to their objective's end first: otherwise,
// under load beyond the room, each would make another job late, which in turn would expire.
const expiringShare = 0.15

// capacityCPU is the processor room of all executors in use.
func (s *Shard) capacityCPU() int64 {
	var sum int64
	for _, e := range s.executors {
		if e.listed {
			sum += e.Capacity.MilliCPU
		}
	}
	return sum
}

// openCPU is the need of the job's tasks that run or could start.
func (j *jobState) openCPU() int64 {
	var sum int64
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.blockers == 0 {
				sum += int64(st.tasksLeft) * st.def.Reservation().MilliCPU
			}
		}
	}
	return sum
}
