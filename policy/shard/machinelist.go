package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// maxMachineListLag is how long the machine list may lag behind the start of an executor.
	maxMachineListLag = 1 * time.Second
	// endedAfterLists is how many machine lists in a row an executor must be missing from to
	// count as ended: the pages of one list are not a snapshot.
	endedAfterLists = 2
)

// MachineList holds the current executor of each machine, as the platform lists it. One that no
// machine has any more has ended, and nothing runs there. A partitioned executor remains listed. The
// list does not say which incarnation it has.
type MachineList struct {
	Executors map[cluster.ExecutorID]bool
	// RequestedAt is when the list was requested. It shows the state at that time or later, but
	// may still lack executors that started up to maxMachineListLag before.
	RequestedAt time.Time
	// Incomplete is set if the list may lack executors that some machine has.
	Incomplete bool
}

// NewMachineList returns the list of the executors of all machines, requested at the given
// time.
func NewMachineList(machines []cluster.Machine, requestedAt time.Time) MachineList {
	list := MachineList{Executors: make(map[cluster.ExecutorID]bool, len(machines)), RequestedAt: requestedAt}
	for _, m := range machines {
		if m.Executor != "" {
			list.Executors[m.Executor] = true
		}
	}
	return list
}

// NeedsMachineList reports whether a machine list that is requested now could show that runs
// are over: their executor does not respond.
func (s *Shard) NeedsMachineList(now time.Time) bool {
	for _, e := range s.executors {
		if e.mayHaveEnded() && e.knownToLists(now) {
			return true
		}
	}
	return false
}

// mayHaveEnded reports whether the executor has runs but did not respond to the last call, or
// can't be called for lack of an address.
func (e *executorState) mayHaveEnded() bool {
	return len(e.runs)+e.formerRuns() > 0 && !e.ended && (e.unansweredCalls > 0 || e.Address == "")
}

// knownToLists reports whether a list that is requested at the given time would have the
// executor, if it lives.
func (e *executorState) knownToLists(requestedAt time.Time) bool {
	since := e.knownSince
	if e.doubtedAt.After(since) {
		since = e.doubtedAt
	}
	return !requestedAt.Before(since.Add(maxMachineListLag))
}

// ApplyMachineList discards the runs on unresponsive executors that have ended, and returns
// these executors. Without a complete list, the runs are discarded when their leases have certainly
// expired.
func (s *Shard) ApplyMachineList(list MachineList) (ended []cluster.ExecutorID) {
	if !list.Incomplete && !s.plausible(list) {
		return nil
	}
	for _, e := range s.sortedExecutors() {
		if !e.knownToLists(list.RequestedAt) {
			continue
		}
		if list.Executors[e.ID] {
			e.missingLists = 0
			continue
		}
		if list.Incomplete || !e.mayHaveEnded() {
			continue
		}
		if e.mayHaveArrivedSince(list.RequestedAt.Add(-maxMachineListLag)) {
			continue // the executor may have started again since, and have the run
		}
		e.missingLists++
		if e.missingLists >= endedAfterLists {
			s.discardAll(e)
			ended = append(ended, e.ID)
		}
	}
	return ended
}

// plausible reports whether the list has an executor that responded shortly before it was
// requested, if there is one. A list without any is truncated rather than right.
func (s *Shard) plausible(list MachineList) bool {
	responding := false
	for _, e := range s.executors {
		responds := !e.ended && e.unansweredCalls == 0 && list.RequestedAt.Sub(e.lastResponse) <= maxResponseAge
		if !responds || !e.knownToLists(list.RequestedAt) {
			continue
		}
		if list.Executors[e.ID] {
			return true
		}
		responding = true
	}
	return !responding && len(list.Executors) > 0
}
