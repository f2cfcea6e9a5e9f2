package shard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// minSentLease is the minimum rest of its first lease with which a start is sent for the first time. The
// executor would refuse one that arrives later, and its task is better planned anew.
const minSentLease = 500 * time.Millisecond

// SetCommandWindow bounds the commands in flight to all executors; zero stands for no bound.
func (s *Shard) SetCommandWindow(n int) { s.commandWindow = n }

// CommandsInFlight returns the number of commands in flight to the executors.
func (s *Shard) CommandsInFlight() int {
	n := 0
	for _, e := range s.executors {
		n += e.commandsInFlight
	}
	return n
}

// freeCommands returns how many commands may be sent now.
func (s *Shard) freeCommands() int {
	if s.commandWindow == 0 {
		return math.MaxInt
	}
	return s.commandWindow - s.CommandsInFlight()
}

// nextCommanded returns the position of the executor whose commands come first. It is the first one that the
// window left out last time, so that none starves.
func (s *Shard) nextCommanded(executors []*executorState) int {
	i, _ := slices.BinarySearchFunc(executors, s.commandsFrom, func(e *executorState, id cluster.ExecutorID) int {
		return cmp.Compare(e.ID, id)
	})
	if i == len(executors) {
		return 0
	}
	return i
}

// startBudget returns how many starts may be decided now. As many as the window may wait to be sent: enough that
// none is missing when commands are answered, and not so many that their leases run out meanwhile.
func (s *Shard) startBudget() int {
	if s.commandWindow == 0 {
		return math.MaxInt
	}
	budget := s.commandWindow
	for _, e := range s.executors {
		for _, r := range e.runOrder {
			if r.phase <= unconfirmed && r.startAttempts == 0 {
				budget--
			}
		}
	}
	return budget
}
