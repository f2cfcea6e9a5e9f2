package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// confirmed reports whether the executor is listed and has itself responded to a poll of this owner. An entry
// alone may be wrong, or be about an executor that doesn't exist: what it states counts in no sum and no mean.
// One that can't be reached for a while remains confirmed.
func (e *executorState) confirmed() bool { return e.listed && !e.ended && e.polled }

// confirmedCapacity returns the capacity of the confirmed executors, and their number.
func (s *Shard) confirmedCapacity() (capacity job.Resources, executors int64) {
	for _, e := range s.executors {
		if e.confirmed() {
			capacity = capacity.Add(e.Capacity)
			executors++
		}
	}
	return capacity, executors
}

// meanCapacity returns the mean capacity of the confirmed executors. While there are none, it is that of those
// that there were last; zero before the first.
func (s *Shard) meanCapacity() job.Resources {
	if sum, n := s.confirmedCapacity(); n > 0 {
		s.lastMeanCapacity = job.Resources{MilliCPU: sum.MilliCPU / n, MemoryMB: sum.MemoryMB / n, GPU: sum.GPU / n}
	}
	return s.lastMeanCapacity
}

// loadWaits reports whether the load is not published yet, since no executor that is listed has responded to this
// owner: without their capacity the need is not known, and what the previous owner has published is better.
// Within maxResponseAge each has been polled at least twice; if none has responded by then, the need counts
// by itself.
func (s *Shard) loadWaits(now time.Time) bool {
	if s.loadDueSince.IsZero() {
		s.loadDueSince = now
	}
	s.loadHeld = now.Sub(s.loadDueSince) < maxResponseAge && s.lastMeanCapacity == (job.Resources{}) && s.hasListed()
	return s.loadHeld
}

// hasListed reports whether any executor is listed.
func (s *Shard) hasListed() bool {
	for _, e := range s.executors {
		if e.listed {
			return true
		}
	}
	return false
}
