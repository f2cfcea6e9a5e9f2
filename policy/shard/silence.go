package shard

import "time"

// expire ends the runs whose lease has certainly lapsed on executors that are silent.
// One that answers tells itself what became of them.
func (s *Shard) expireRuns(now time.Time) {
	for _, e := range s.executors {
		if len(e.runs) == 0 || !now.After(e.leaseBound) || !s.unresponsive(e) {
			continue
		}
		for _, r := range e.sortedRuns() {
			if r.phase != decided {
				s.discard(r)
			}
		}
		clear(e.orphans)
	}
}

// silent reports whether the last look at the executor showed nothing, and not because
// this instance was too slow to read the answer. Nobody can look at one without address.
func (s *Shard) unresponsive(e *executorState) bool {
	if e.Address == "" {
		return true
	}
	return !e.polling && e.failedCalls > 0 && e.lastFailedPoll.After(s.resumedAt)
}

// stallGap is how late the shard may be called for answers to be read in time.
const maxTickGap = 300 * time.Millisecond

// Tick notes that the shard is being called. It is told so often that a long gap, which
// is returned, means that this instance was short of processor time, or suspended.
func (s *Shard) Tick(now time.Time) (gap time.Duration) {
	first := s.lastTick.IsZero()
	gap = now.Sub(s.lastTick)
	s.lastTick = now
	if !first && gap <= maxTickGap {
		return 0
	}
	s.resumedAt = now
	if first {
		return 0
	}
	return gap
}
