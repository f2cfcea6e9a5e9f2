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

// MachineList holds the current executor of each machine, as the platform lists it. An
// executor is one life of its machine: one that no machine has any more has ended, and
// nothing runs there. A partitioned executor remains listed.
type MachineList struct {
	Executors   map[cluster.ExecutorID]bool
	RequestedAt time.Time // the list shows no older state, except by maxMachineListLag
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

// NeedsMachineList reports whether a machine list could show that runs are over: their
// executor does not respond.
func (s *Shard) NeedsMachineList() bool {
	for _, e := range s.executors {
		if e.mayHaveEnded() {
			return true
		}
	}
	return false
}

// mayHaveEnded reports whether the executor has runs but did not respond to the last call.
func (e *executorState) mayHaveEnded() bool {
	return len(e.runs) > 0 && !e.replaced && (e.unresponsive || e.Address == "")
}

// noteDelivery records whether the executor responded to a call. A response shows that it had not
// ended when earlier lists lacked it.
func (e *executorState) noteDelivery(d Delivery) {
	e.unresponsive = d != Responded
	if d == Responded {
		e.missingLists = 0
	}
}

// ApplyMachineList discards the runs on unresponsive executors that have ended, and returns
// these executors. Without a list, the runs are discarded when their leases have certainly
// expired.
func (s *Shard) ApplyMachineList(list MachineList) (ended []cluster.ExecutorID) {
	if len(list.Executors) == 0 {
		return nil // more likely a fault of the list than the end of all executors
	}
	for _, e := range s.sortedExecutors() {
		if list.RequestedAt.Before(e.knownSince.Add(maxMachineListLag)) {
			continue
		}
		if list.Executors[e.ID] || !e.mayHaveEnded() {
			e.missingLists = 0
			continue
		}
		e.missingLists++
		if e.missingLists >= endedAfterLists {
			s.discardAll(e)
			ended = append(ended, e.ID)
		}
	}
	return ended
}
