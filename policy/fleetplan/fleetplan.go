// Package fleetplan decides what happens to machines: which are evacuated, which
// undergo maintenance, and which change their pool. It does no I/O: it turns a snapshot
// into actions, and the caller reports their results back.
package fleetplan

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Limits are the times and costs of a deployment.
type Limits struct {
	MaintenanceTime time.Duration // of one machine
	MoveTime        time.Duration // of one machine
	// MoveCost and MachineSecondCost are the costs of one change of pool and of keeping
	// a machine in a pool for a second, in the same unit.
	MoveCost          float64
	MachineSecondCost float64
}

// Snapshot is the state of the fleet that a plan is made from.
type Snapshot struct {
	Now      time.Time
	Machines []cluster.Machine
	// Incomplete is set if Machines may lack machines, or executors of its machines: those that it
	// lacks don't count as removed.
	Incomplete bool
	// ListedAt is when the list of machines was requested: it shows no older state.
	ListedAt time.Time
	Pools    []cluster.Pool
	Loads    map[cluster.Service]shard.Load
	// LoadsReadAt is when the store was last known to hold no newer loads.
	LoadsReadAt time.Time
	Waves       []cluster.Wave
	Cordons     map[cluster.ExecutorID]ActiveCordon // those in force
}

// ActiveCordon is a cordon in force.
type ActiveCordon struct {
	Service cluster.Service // of the executor
	ID      string          // as shard.Cordon.ID
}

// ActionKind is what an action does.
type ActionKind uint8

// The kinds of actions.
const (
	// Cordon requests that the owner of a service evacuate an executor.
	Cordon ActionKind = iota
	// Uncordon revokes a Cordon.
	Uncordon
	// Maintain starts the maintenance of a machine.
	Maintain
	// Move moves a machine to another pool.
	Move
	// Report reports the state of a wave to the operator.
	Report
)

// String returns the kind's name in logs.
func (k ActionKind) String() string {
	return [...]string{"cordon", "uncordon", "maintain", "move", "report"}[k]
}

// Action is one step for the caller to carry out.
type Action struct {
	Kind     ActionKind
	Machine  cluster.MachineID
	Executor cluster.ExecutorID
	Service  cluster.Service // of the cordon; the new pool of a move
	Wave     int64
	State    cluster.WaveState
	// Preempt is set on a Cordon if jobs of another service need the machine to be in
	// time: late jobs on it are then preempted.
	Preempt bool
	Reason  string // for the log

	operation *operation // that a Maintain or Move belongs to
}

// Planner plans the actions of a fleet, and keeps the started operations and the learned
// demand between two snapshots.
type Planner struct {
	limits        Limits
	operations    map[cluster.MachineID]*operation
	waves         map[int64]*waveState
	idleSince     map[cluster.MachineID]time.Time
	unusableSince map[cluster.Incarnation]time.Time // since when owners can't use executors
	demand        map[cluster.Service]*demand
	peaks         *peakSequence
	peakChanges   int // starts and ends of peaks
	lastNeeds     []need
	// notEvacuatedUntil is the time before which no maintenance of a machine starts, since it
	// could not be evacuated for the last one.
	notEvacuatedUntil map[cluster.MachineID]time.Time
	reservedUntil     map[cluster.MachineID]time.Time // no calls before
	allReservedUntil  time.Time                       // no calls for any machine before
	loadsReadAt       time.Time                       // as Snapshot.LoadsReadAt, of the last plan
}

// New returns a planner.
func New(limits Limits) *Planner {
	return &Planner{
		limits:            limits,
		operations:        map[cluster.MachineID]*operation{},
		waves:             map[int64]*waveState{},
		idleSince:         map[cluster.MachineID]time.Time{},
		demand:            map[cluster.Service]*demand{},
		peaks:             newPeakSequence(),
		notEvacuatedUntil: map[cluster.MachineID]time.Time{},
		reservedUntil:     map[cluster.MachineID]time.Time{},
	}
}

// Reserve prevents calls for a machine until the given time: an earlier holder of the
// duty may just have sent one.
func (p *Planner) Reserve(machine cluster.MachineID, until time.Time) {
	p.reservedUntil[machine] = until
}

// ReserveAll prevents calls for all machines until the given time: it is not known which of
// them an earlier holder of the duty has called.
func (p *Planner) ReserveAll(until time.Time) { p.allReservedUntil = until }

// Plan returns the actions to carry out now.
func (p *Planner) Plan(s Snapshot) []Action {
	v := newView(s)
	p.finishOperations(v)
	p.giveBackLastMachines(v)
	var actions []Action
	actions = append(actions, p.planWaves(v)...)
	p.planMoves(v)
	actions = append(actions, p.cordonMachines(v)...)
	actions = append(actions, p.issueCalls(v)...)
	actions = append(actions, p.releaseCordons(v)...)
	return actions
}
