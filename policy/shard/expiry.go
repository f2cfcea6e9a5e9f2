package shard

import (
	"slices"
	"time"
)

// expireRuns discards the runs on unresponsive executors whose leases have certainly
// expired. The poll responses of other executors show what became of their runs. An executor
// that does not respond to this instance, while the instance may be at fault, counts as responsive:
// a completion that it has listed may be on its way.
//
// A run of a long-running task is discarded as soon as polls fail: a response that came
// unread can't hold a completion of the task, since it has none.
func (s *Shard) expireRuns(now time.Time) {
	for _, e := range s.sortedExecutors() {
		s.expireFormer(e, now)
		if len(e.runs) == 0 || !now.After(e.leaseBound) {
			continue
		}
		unresponsive := s.unresponsive(e)
		if unresponsive && !s.atFault(e, now) {
			s.searchWitnesses(e, now)
			unresponsive = false
		}
		mayLast := slices.ContainsFunc(e.runOrder, func(r *run) bool { return r.leaseMayLast(s.limits, now) })
		if unresponsive && !e.listed && !mayLast {
			s.recordCrash(e)
		}
		for _, r := range e.sortedRuns() {
			lost := unresponsive || r.task.step.def.LongRunning && e.failedCalls > 0
			if r.phase != decided && lost && !r.leaseMayLast(s.limits, now) {
				s.discard(r, GivenUpExpired)
			}
		}
		if unresponsive {
			clear(e.orphans)
		}
	}
}

// unresponsive reports whether the last poll of the executor failed although this instance
// has run without a long gap since the poll was sent: after a gap, a response may
// have come unread. An executor without address can't be polled and counts as unresponsive.
func (s *Shard) unresponsive(e *executorState) bool {
	if e.Address == "" {
		return true
	}
	return !e.polling && e.failedCalls > 0 && e.lastFailedPoll.After(s.resumedAt)
}

// maxTickGap is the longest time between two ticks at which responses are still read in
// time.
const maxTickGap = 300 * time.Millisecond

// Tick records that the owner's loop runs. It returns the time since the last call if that
// exceeds maxTickGap, and otherwise 0. The owner calls it so often that a longer gap means
// that this instance was CPU-starved or suspended.
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
