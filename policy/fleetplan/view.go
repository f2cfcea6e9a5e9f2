package fleetplan

import (
	"cmp"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// view is a snapshot with indexes.
type view struct {
	Snapshot
	byID            map[cluster.MachineID]cluster.Machine
	pools           map[cluster.Service]cluster.Pool
	spare           cluster.Service
	members         map[cluster.Service][]cluster.Machine
	listedExecutors map[cluster.ExecutorID]int // how many machines are listed with each executor
}

func newView(s Snapshot) *view {
	v := &view{
		Snapshot:        s,
		byID:            map[cluster.MachineID]cluster.Machine{},
		pools:           map[cluster.Service]cluster.Pool{},
		members:         map[cluster.Service][]cluster.Machine{},
		listedExecutors: map[cluster.ExecutorID]int{},
	}
	slices.SortFunc(v.Machines, func(a, b cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.Machines {
		v.byID[m.ID] = m
		v.members[m.Pool] = append(v.members[m.Pool], m)
		v.listedExecutors[m.Executor]++
	}
	for _, pool := range s.Pools {
		v.pools[pool.Service] = pool
		if pool.Spare {
			v.spare = pool.Service
		}
	}
	return v
}

// removed reports whether the list shows that a machine has been removed.
func (v *view) removed(id cluster.MachineID) bool {
	_, listed := v.byID[id]
	return !listed && !v.Incomplete
}

// cordoned reports whether a cordon of the executor is in force.
func (v *view) cordoned(id cluster.ExecutorID) bool {
	_, cordoned := v.Cordons[id]
	return cordoned
}

// load returns what runs on a machine, and whether its owner lists the executor.
func (v *view) load(m cluster.Machine) (shard.ExecutorLoad, bool) {
	l, known := v.Loads[m.Pool].Executors[m.Executor]
	return l, known
}

// incarnation returns which incarnation of its executor a machine has, as far as the owner knows.
func (v *view) incarnation(m cluster.Machine) cluster.Incarnation {
	l, _ := v.load(m)
	return cluster.Incarnation{ID: m.Executor, Born: l.Born}
}

// runsLongRunning reports whether long-running tasks run on a machine.
func (v *view) runsLongRunning(m cluster.Machine) bool {
	l, _ := v.load(m)
	return l.LongRunning > 0
}

// evacuated reports whether nothing runs on the machine and its owner will start nothing
// there. The owner must have confirmed this very cordon: after an earlier one was revoked it
// may have started tasks that its last stored load does not show. An executor with which two machines are listed
// shows nothing about either.
func (v *view) evacuated(m cluster.Machine) bool {
	if v.pools[m.Pool].Spare || m.Executor == "" {
		return true
	}
	l, known := v.load(m)
	cordon, cordoned := v.Cordons[m.Executor]
	return v.listedExecutors[m.Executor] == 1 && known && cordoned && l.Cordoned && l.CordonID == cordon.ID && l.Runs == 0
}
