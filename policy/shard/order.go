package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// urgency is the class of a job by what its completion is still worth; lower starts
// first.
type urgency int

const (
	urgencyLongRunning urgency = iota // long-running: serves users already
	urgencyExpiring                   // late, and soon too late
	urgencyInTime                     // can still meet its objective
	urgencyLate                       // misses its objective, but is still of some use
	urgencyExcess                     // beyond the rate of its tenant, and of some use
	urgencyTooLate                    // of no use to its caller any more
)

// tooLateFactor is the age of a job, in multiples of its objective, beyond which it is of no
// use any more.
const tooLateFactor = 3

// expiringSlack is how close to being too late a late job may come before it goes first:
// estimates are rough, and tasks wait for each other.
const expiringSlack = 1500 * time.Millisecond

func (j *jobState) urgency(now time.Time) urgency {
	u := j.urgencyWithinRate(now)
	if j.excess && u != urgencyTooLate {
		return urgencyExcess
	}
	return u
}

// urgencyWithinRate returns the urgency that the job has if it is not excess.
func (j *jobState) urgencyWithinRate(now time.Time) urgency {
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

// rank is the part of a job's place in the start order that changes with time. Jobs of
// equal rank are in the order of their deadlines.
type rank struct {
	urgency   urgency
	priority  int
	unstarted int // 0 for started jobs, in which work is invested; 1 for others
}

func compareRank(x, y rank) int {
	return cmp.Or(
		cmp.Compare(x.urgency, y.urgency),
		cmp.Compare(x.priority, y.priority),
		cmp.Compare(x.unstarted, y.unstarted),
	)
}

// startOrder returns the jobs in the order in which they may start tasks: by urgency, by
// priority, started jobs before new ones, then by deadline. Where tenants are configured and the work
// of a rank does not fit into the free capacity, it is ordered by their shares.
func (s *Shard) startOrder(now time.Time) []*jobState {
	groups := map[rank][]*jobState{}
	expiringCPULeft := s.expiringCPU()
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
			expiringCPULeft -= float64(j.openCPU())
			if expiringCPULeft < 0 {
				r.urgency = urgencyLate
			}
		}
		groups[r] = append(groups[r], j)
		count++
	}
	ranks := slices.SortedFunc(maps.Keys(groups), compareRank)
	jobs := make([]*jobState, 0, count)
	if s.sharesApply() {
		return s.orderByShares(jobs, ranks, groups, now)
	}
	for _, r := range ranks {
		jobs = append(jobs, groups[r]...)
	}
	return jobs
}

// orderByShares appends the jobs of all ranks.
func (s *Shard) orderByShares(jobs []*jobState, ranks []rank, groups map[rank][]*jobState, now time.Time) []*jobState {
	order := s.newShareOrder(now)
	defer order.done()
	for _, r := range ranks {
		jobs = order.appendRank(jobs, groups[r], r.urgency)
	}
	return jobs
}

// expiringShare is the share of CPU capacity up to which expiring jobs, the earliest
// deadline first, go before jobs that can still be in time. Without this bound, under load
// beyond the capacity, each would make another job late, which in turn would expire.
const expiringShare = 0.15

// expiringCPU returns the CPU capacity up to which expiring jobs go first, in thousandths of a core.
func (s *Shard) expiringCPU() float64 {
	capacity, _ := s.confirmedCapacity()
	return expiringShare * float64(capacity.MilliCPU)
}

// openCPU returns the need of the job's tasks that run or could start, in thousandths of
// a core.
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
