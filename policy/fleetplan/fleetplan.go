// Package fleetplan decides what happens to machines: which are evacuated, which
// undergo maintenance, and which change their pool. It does no I/O: it turns a snapshot
// into actions, and the caller reports their results back.
package fleetplan

import (
	"cmp"
	"maps"
	"slices"
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

// operation is a maintenance or a move that was started for a machine.
type operation struct {
	kind      ActionKind // Maintain or Move
	wave      int64
	to        cluster.Service    // the new pool of a Move
	executor  cluster.ExecutorID // of the machine when the operation started
	startedAt time.Time
	// reason is logged.
	reason string
	// preempt is set if late jobs on the machine are to be preempted.
	preempt bool
	// calledAt is when the machine service was called, zero before.
	calledAt time.Time
	// accepted is set once the machine service has accepted the call.
	accepted bool
	// underMaintenance is set once the list has shown the machine under maintenance after
	// the call.
	underMaintenance bool
}

// waveState is the progress of a wave.
type waveState struct {
	startedAt          time.Time
	maintenanceStarted map[cluster.MachineID]bool
	reported           cluster.WaveState
	missingSince       map[cluster.MachineID]time.Time // since when a machine is not in the list
}

// Planner plans the actions of a fleet, and keeps the started operations and the learned
// demand between two snapshots.
type Planner struct {
	limits           Limits
	operations       map[cluster.MachineID]*operation
	waves            map[int64]*waveState
	idleSince        map[cluster.MachineID]time.Time
	demand           map[cluster.Service]*demand
	peaks            *peakSequence
	peakChanges      int // starts and ends of peaks
	lastNeeds        []need
	reservedUntil    map[cluster.MachineID]time.Time // no calls before
	allReservedUntil time.Time                       // no calls for any machine before
	loadsReadAt      time.Time                       // as Snapshot.LoadsReadAt, of the last plan
}

// New returns a planner.
func New(limits Limits) *Planner {
	return &Planner{
		limits:        limits,
		operations:    map[cluster.MachineID]*operation{},
		waves:         map[int64]*waveState{},
		idleSince:     map[cluster.MachineID]time.Time{},
		demand:        map[cluster.Service]*demand{},
		peaks:         newPeakSequence(),
		reservedUntil: map[cluster.MachineID]time.Time{},
	}
}

// RestoreWave loads the progress of a wave that an earlier holder of the duty stored.
func (p *Planner) RestoreWave(number int64, maintenanceStarted []cluster.MachineID, reported cluster.WaveState, startedAt time.Time) {
	w := p.wave(number, startedAt)
	for _, m := range maintenanceStarted {
		w.maintenanceStarted[m] = true
	}
	w.reported = reported
}

// Reserve prevents calls for a machine until the given time: an earlier holder of the
// duty may just have sent one.
func (p *Planner) Reserve(machine cluster.MachineID, until time.Time) {
	p.reservedUntil[machine] = until
}

// ReserveAll prevents calls for all machines until the given time: it is not known which of
// them an earlier holder of the duty has called.
func (p *Planner) ReserveAll(until time.Time) { p.allReservedUntil = until }

// WaveMachinesStarted returns the machines of a wave whose maintenance has started.
func (p *Planner) WaveMachinesStarted(number int64) []cluster.MachineID {
	return slices.Sorted(maps.Keys(p.waves[number].maintenanceStarted))
}

// WaveReported returns the state of a wave that was last reported to the operator, or
// WaveRunning if there is none.
func (p *Planner) WaveReported(number int64) cluster.WaveState {
	return cmp.Or(p.waves[number].reported, cluster.WaveRunning)
}

// WaveStartedAt returns when a wave was first seen.
func (p *Planner) WaveStartedAt(number int64) time.Time { return p.waves[number].startedAt }

func (p *Planner) wave(number int64, now time.Time) *waveState {
	w := p.waves[number]
	if w == nil {
		w = &waveState{startedAt: now, maintenanceStarted: map[cluster.MachineID]bool{}, missingSince: map[cluster.MachineID]time.Time{}}
		p.waves[number] = w
	}
	return w
}

// view is a snapshot with indexes.
type view struct {
	Snapshot
	byID            map[cluster.MachineID]cluster.Machine
	pools           map[cluster.Service]cluster.Pool
	spare           cluster.Service
	members         map[cluster.Service][]cluster.Machine
	listedExecutors map[cluster.ExecutorID]bool // executors of the machines as listed
}

func newView(s Snapshot) *view {
	v := &view{
		Snapshot:        s,
		byID:            map[cluster.MachineID]cluster.Machine{},
		pools:           map[cluster.Service]cluster.Pool{},
		members:         map[cluster.Service][]cluster.Machine{},
		listedExecutors: map[cluster.ExecutorID]bool{},
	}
	slices.SortFunc(v.Machines, func(a, b cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.Machines {
		v.byID[m.ID] = m
		v.members[m.Pool] = append(v.members[m.Pool], m)
		v.listedExecutors[m.Executor] = true
	}
	for _, pool := range s.Pools {
		v.pools[pool.Service] = pool
		if pool.Spare {
			v.spare = pool.Service
		}
	}
	return v
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

// evacuated reports whether nothing runs on the machine and its owner will start nothing
// there. The owner must have confirmed this very cordon: after an earlier one was revoked it
// may have started tasks that its last stored load does not show.
func (v *view) evacuated(m cluster.Machine) bool {
	if v.pools[m.Pool].Spare || m.Executor == "" {
		return true
	}
	l, known := v.load(m)
	cordon, cordoned := v.Cordons[m.Executor]
	return known && cordoned && l.Cordoned && l.CordonID == cordon.ID && l.Runs == 0
}

// Plan returns the actions to carry out now.
func (p *Planner) Plan(s Snapshot) []Action {
	v := newView(s)
	p.finishOperations(v)
	var actions []Action
	actions = append(actions, p.planWaves(v)...)
	p.planMoves(v)
	actions = append(actions, p.cordonMachines(v)...)
	actions = append(actions, p.issueCalls(v)...)
	actions = append(actions, p.releaseCordons(v)...)
	return actions
}

// finishOperations removes the operations that have ended: those whose effect the list
// shows, and those that failed or timed out.
func (p *Planner) finishOperations(v *view) {
	for id, op := range p.operations {
		m, listed := v.byID[id]
		op.noteState(m)
		switch {
		case !listed && op.calledAt.IsZero():
			delete(p.operations, id)
		case m.State == cluster.MachineUp && m.Executor != "" && m.Executor != op.executor:
			if op.underMaintenance {
				p.waves[op.wave].maintenanceStarted[id] = true
			}
			delete(p.operations, id)
		case op.kind == Move && m.Pool == op.to && m.State == cluster.MachineUp:
			delete(p.operations, id)
		case op.accepted && m.State == cluster.MachineUp && v.ListedAt.Sub(op.calledAt) > maxListLag+p.limits.MaintenanceTime:
			delete(p.operations, id) // assumed done; the list shows no new executor that would confirm it
		case op.calledAt.IsZero() && v.Now.Sub(op.startedAt) > evacuationTimeout:
			delete(p.operations, id) // it can't be evacuated now
		case !op.calledAt.IsZero() && (!op.accepted || !listed) && v.Now.Sub(op.calledAt) > callExpiry:
			delete(p.operations, id) // the call can no longer take effect
		}
	}
}

// noteState records that the machine was seen under maintenance. A new executor alone proves
// nothing: the old one may have crashed.
func (op *operation) noteState(m cluster.Machine) {
	if op.kind == Maintain && !op.calledAt.IsZero() && m.State == cluster.MachineMaintenance {
		op.underMaintenance = true
	}
}

const (
	// maxListLag is how long the machine list may lag behind the responses of the machine
	// service.
	maxListLag = 1 * time.Second
	// maxListAge is the age of the machine list from which no calls are made: a machine may
	// have a new executor that is not cordoned.
	maxListAge = 3 * time.Second
	// evacuationTimeout is how long an operation waits for its machine to be evacuated; the
	// machine gets no new work meanwhile, so the operation is then dropped.
	evacuationTimeout = 12 * time.Second
	// callExpiry is the time after which a call without a response can no longer be
	// carried out.
	callExpiry = 13 * time.Second
)

// startOperation records an operation; cordonMachines and issueCalls then evacuate the
// machine and call the machine service.
func (p *Planner) startOperation(v *view, m cluster.Machine, op operation, reason string) {
	op.startedAt = v.Now
	op.executor = m.Executor
	op.reason = reason
	p.operations[m.ID] = &op
}

// cordonMachines returns a Cordon for each machine whose operation needs one. It repeats
// them in each plan until the snapshot contains them.
func (p *Planner) cordonMachines(v *view) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(p.operations)) {
		op := p.operations[id]
		m := v.byID[id]
		if !op.calledAt.IsZero() || m.State != cluster.MachineUp || v.pools[m.Pool].Spare || op.executor == "" || v.cordoned(op.executor) {
			continue
		}
		actions = append(actions, Action{Kind: Cordon, Machine: id, Executor: op.executor, Service: m.Pool, Wave: op.wave, Preempt: op.preempt, Reason: op.reason})
	}
	return actions
}

// issueCalls returns the calls to the machine service for evacuated machines.
func (p *Planner) issueCalls(v *view) []Action {
	if v.Now.Sub(v.ListedAt) > maxListAge || v.Now.Before(p.allReservedUntil) {
		return nil
	}
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(p.operations)) {
		op := p.operations[id]
		m := v.byID[id]
		if !op.calledAt.IsZero() || m.State != cluster.MachineUp || !v.evacuated(m) || v.Now.Before(p.reservedUntil[id]) {
			continue
		}
		op.calledAt = v.Now
		actions = append(actions, Action{Kind: op.kind, Machine: id, Executor: m.Executor, Service: op.to, Wave: op.wave, Reason: "empty", operation: op})
	}
	return actions
}

// releaseCordons revokes the cordons of executors without an operation. An executor that
// no longer exists stays cordoned until its owner has dropped it: otherwise the owner
// would start tasks there.
func (p *Planner) releaseCordons(v *view) []Action {
	wanted := map[cluster.ExecutorID]bool{}
	for _, op := range p.operations {
		wanted[op.executor] = true
	}
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(v.Cordons)) {
		service := v.Cordons[id].Service
		_, known := v.Loads[service].Executors[id]
		if !wanted[id] && (!known || v.listedExecutors[id]) {
			actions = append(actions, Action{Kind: Uncordon, Executor: id, Service: service})
		}
	}
	return actions
}

// WaveReportFailed records that the state of a wave did not reach the operator; the next
// plan reports it again.
func (p *Planner) WaveReportFailed(number int64) { p.waves[number].reported = "" }

// Outcome is the result of a call to the machine service.
type Outcome uint8

// Outcomes of a call.
const (
	Accepted Outcome = iota
	Refused          // the call has no effect
	Unknown          // the call may have had an effect, or may have one seconds later
)

// HandleResult applies the outcome of a Maintain or Move. The result may come after the list
// has shown the effect of the call, when another operation of the machine is in progress.
func (p *Planner) HandleResult(a Action, o Outcome, now time.Time) {
	if a.Kind == Maintain && o == Accepted {
		p.waves[a.Wave].maintenanceStarted[a.Machine] = true
	}
	op := p.operations[a.Machine]
	if op == nil || op != a.operation {
		return
	}
	switch o {
	case Accepted:
		op.accepted = true
	case Refused:
		delete(p.operations, a.Machine)
	case Unknown:
		op.calledAt = now
	}
}
