package shard

import (
	"cmp"
	"slices"
	"time"
)

// standing is how much a job can still earn; lower comes first.
type standing int

const (
	standingLasting  standing = iota // serves users already
	standingExpiring                 // late, and soon worth nothing
	standingInTime                   // can still meet its objective
	standingLate                     // worth less, but something
	standingTooLate                  // worth nothing to its caller
)

// tooLateFactor is how many objectives after its acceptance a job is worth nothing.
const tooLateFactor = 3

// expiringSlack is how long before that a late job goes first: estimates are rough,
// and tasks wait for each other.
const expiringSlack = 1500 * time.Millisecond

func (j *jobState) standing(now time.Time) standing {
	if j.lasts() {
		return standingLasting
	}
	if j.Definition.Schedule.Count > 0 {
		return standingInTime
	}
	end := now.Add(j.remaining(now))
	last := j.Accepted.Add(tooLateFactor * j.objective())
	switch {
	case !end.After(j.deadline()):
		return standingInTime
	case !end.Add(expiringSlack).After(last):
		return standingLate
	case !end.After(last):
		return standingExpiring
	default:
		return standingTooLate
	}
}

// ranked is a job with what its place in the order depends on.
type ranked struct {
	job      *jobState
	standing standing
	begun    bool  // work is already invested
	deadline int64 // nanoseconds since 1970
}

// compareRanked puts jobs that start earlier first.
func compareRanked(x, y ranked) int {
	switch {
	case x.standing != y.standing:
		return cmp.Compare(x.standing, y.standing)
	case x.job.Queue.Priority != y.job.Queue.Priority:
		return cmp.Compare(x.job.Queue.Priority, y.job.Queue.Priority)
	case x.begun != y.begun && x.begun:
		return -1
	case x.begun != y.begun:
		return 1
	case x.deadline != y.deadline:
		return cmp.Compare(x.deadline, y.deadline)
	default:
		return cmp.Compare(x.job.ID, y.job.ID)
	}
}

// startOrder returns the jobs in the order in which they may start tasks: lasting
// ones, those that can still be in time, late ones; among equals by priority, begun
// jobs before new ones, then by deadline.
func (s *Shard) startOrder(now time.Time) []*jobState {
	list := make([]ranked, 0, len(s.jobs))
	for _, j := range s.jobs {
		if j.ended() || j.state.Final() {
			continue
		}
		list = append(list, ranked{job: j, standing: j.standing(now), begun: j.begun(), deadline: j.deadline().UnixNano()})
	}
	s.limitExpiring(list)
	slices.SortFunc(list, compareRanked)
	jobs := make([]*jobState, len(list))
	for i, r := range list {
		jobs[i] = r.job
	}
	return jobs
}

// expiringShare bounds the share of the processor room for which late jobs go before
// jobs that can still be in time.
const expiringShare = 0.15

// limitExpiring lets only so many expiring jobs go first, those closest to their
// objective's end first: otherwise, under load beyond the room, each would make
// another job late, which in turn would expire.
func (s *Shard) limitExpiring(list []ranked) {
	var expiring []*ranked
	for i := range list {
		if list[i].standing == standingExpiring {
			expiring = append(expiring, &list[i])
		}
	}
	slices.SortFunc(expiring, func(x, y *ranked) int {
		return cmp.Or(x.job.deadline().Compare(y.job.deadline()), cmp.Compare(x.job.ID, y.job.ID))
	})
	room := expiringShare * float64(s.capacityCPU())
	for _, r := range expiring {
		room -= float64(r.job.openCPU())
		if room < 0 {
			r.standing = standingLate
		}
	}
}

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
			if st.blocked == 0 {
				sum += int64(st.left) * st.def.Room().MilliCPU
			}
		}
	}
	return sum
}
