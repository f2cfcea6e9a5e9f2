// Package fleetplan decides what happens to machines: which are emptied, which
// undergo maintenance, and which change their pool. It is pure: a snapshot goes in,
// actions come out, and the caller reports what became of them.
package fleetplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Limits are the figures of a deployment.
type Limits struct {
	MaintenanceTime time.Duration // of one machine
	MoveTime        time.Duration // of one machine
	// MoveCost and MachineSecondCost weigh a change of pool against keeping a
	// machine in a pool for a second.
	MoveCost          float64
	MachineSecondCost float64
}

// Snapshot is what is known of the fleet.
type Snapshot struct {
	Now      time.Time
	Machines []cluster.Machine
	Pools    []cluster.Pool
	Loads    map[cluster.Service]shard.Load
	Waves    []cluster.Wave
	Cordons  map[cluster.ExecutorID]cluster.Service // in force
}

// ActionKind says what is to be done.
type ActionKind uint8

// The kinds of actions.
const (
	// Cordon asks the owner of a service to empty an executor.
	Cordon ActionKind = iota
	// Uncordon takes that back.
	Uncordon
	// Maintain begins the maintenance of a machine.
	Maintain
	// Move takes a machine to another pool.
	Move
	// Report tells the operator the state of a wave.
	Report
)

// String returns the kind's name in logs.
func (k ActionKind) String() string {
	return [...]string{"cordon", "uncordon", "maintain", "move", "report"}[k]
}

// Action is one thing to do.
type Action struct {
	Kind     ActionKind
	Machine  cluster.MachineID
	Executor cluster.ExecutorID
	Service  cluster.Service // of the cordon; the new pool of a move
	Wave     int64
	State    cluster.WaveState
	// Preempt is set on a Cordon where jobs of another service need the machine to
	// be in time: late jobs give way.
	Preempt bool
	Reason  string // for the log
}

// operation is what was begun with a machine.
type operation struct {
	kind      ActionKind // Maintain or Move
	wave      int64
	to        cluster.Service
	executor  cluster.ExecutorID // the executor before it
	startedAt time.Time
	// reason is why, for the log.
	reason string
	// forOthers is set where late jobs give way.
	preempt bool
	// called is when the machine service was told, zero before.
	calledAt time.Time
	// answered is whether it agreed.
	accepted bool
}

// waveState is how far a wave has come.
type waveState struct {
	startedAt    time.Time
	done         map[cluster.MachineID]bool // maintenance has begun
	reported     cluster.WaveState
	missingSince map[cluster.MachineID]time.Time // not in the list since
}

// Planner keeps what was begun between two snapshots.
type Planner struct {
	limits        Limits
	operations    map[cluster.MachineID]*operation
	waves         map[int64]*waveState
	idleSince     map[cluster.MachineID]time.Time
	demand        map[cluster.Service]*demand
	peaks         *peakSequence
	peakChanges   int // beginnings and ends of peaks
	lastNeeds     []need
	reservedUntil map[cluster.MachineID]time.Time // not to be ordered before
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

// RestoreWave takes in what an earlier holder of the duty stored of a wave.
func (p *Planner) RestoreWave(number int64, done []cluster.MachineID, reported cluster.WaveState, startedAt time.Time) {
	w := p.wave(number, startedAt)
	for _, m := range done {
		w.done[m] = true
	}
	w.reported = reported
}

// Reserve keeps a machine from any order until a time: an earlier holder of the duty
// may have ordered something for it just now.
func (p *Planner) Reserve(machine cluster.MachineID, until time.Time) {
	p.reservedUntil[machine] = until
}

// WaveMachinesDone returns the machines of a wave whose maintenance has begun.
func (p *Planner) WaveMachinesDone(number int64) []cluster.MachineID {
	return slices.Sorted(maps.Keys(p.waves[number].done))
}

// WaveStartedAt returns when a wave was first seen.
func (p *Planner) WaveStartedAt(number int64) time.Time { return p.waves[number].startedAt }

func (p *Planner) wave(number int64, now time.Time) *waveState {
	w := p.waves[number]
	if w == nil {
		w = &waveState{startedAt: now, done: map[cluster.MachineID]bool{}, missingSince: map[cluster.MachineID]time.Time{}}
		p.waves[number] = w
	}
	return w
}

// view is a snapshot, indexed.
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

// load returns what runs on a machine, and whether its owner knows it.
func (v *view) load(m cluster.Machine) (shard.ExecutorLoad, bool) {
	l, known := v.Loads[m.Pool].Executors[m.Executor]
	return l, known
}

// emptied reports whether the owner has said that nothing runs on the machine and
// nothing will.
func (v *view) evacuated(m cluster.Machine) bool {
	if v.pools[m.Pool].Spare || m.Executor == "" {
		return true
	}
	l, known := v.load(m)
	return known && l.Cordoned && l.Runs == 0
}

// Plan returns what to do now.
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

// settle ends the operations whose effect the list shows.
func (p *Planner) finishOperations(v *view) {
	for id, op := range p.operations {
		m, listed := v.byID[id]
		switch {
		case !listed:
			delete(p.operations, id)
		case m.State == cluster.MachineUp && m.Executor != "" && m.Executor != op.executor:
			if op.kind == Maintain && !op.calledAt.IsZero() {
				p.waves[op.wave].done[id] = true
			}
			delete(p.operations, id)
		case op.kind == Move && m.Pool == op.to && m.State == cluster.MachineUp:
			delete(p.operations, id)
		case op.accepted && m.State == cluster.MachineUp && v.Now.Sub(op.calledAt) > maxListLag+p.limits.MaintenanceTime:
			delete(p.operations, id) // done, and the machine has no executor to tell by
		case op.calledAt.IsZero() && v.Now.Sub(op.startedAt) > evacuationTimeout:
			delete(p.operations, id) // it can't be emptied now
		case !op.calledAt.IsZero() && !op.accepted && v.Now.Sub(op.calledAt) > callExpiry:
			delete(p.operations, id) // the call certainly had no effect
		}
	}
}

const (
	// settleAfter is how long the list may lag behind an answer.
	maxListLag = 1 * time.Second
	// emptyWithin bounds how long a machine is kept from work to be emptied.
	evacuationTimeout = 12 * time.Second
	// lateCall is after which a call without an answer is no longer carried out.
	callExpiry = 13 * time.Second
)

// begin notes an operation; carryOn then empties the machine.
func (p *Planner) startOperation(v *view, m cluster.Machine, op operation, reason string) {
	op.startedAt = v.Now
	op.executor = m.Executor
	op.reason = reason
	p.operations[m.ID] = &op
}

// emptyOut asks for the machines of operations to be emptied, until that is stored.
func (p *Planner) cordonMachines(v *view) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(p.operations)) {
		op := p.operations[id]
		m := v.byID[id]
		if !op.calledAt.IsZero() || m.State != cluster.MachineUp || v.pools[m.Pool].Spare || op.executor == "" || v.Cordons[op.executor] != "" {
			continue
		}
		actions = append(actions, Action{Kind: Cordon, Machine: id, Executor: op.executor, Service: m.Pool, Wave: op.wave, Preempt: op.preempt, Reason: op.reason})
	}
	return actions
}

// carryOn calls the machine service for the machines that are empty.
func (p *Planner) issueCalls(v *view) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(p.operations)) {
		op := p.operations[id]
		m := v.byID[id]
		if !op.calledAt.IsZero() || m.State != cluster.MachineUp || !v.evacuated(m) || v.Now.Before(p.reservedUntil[id]) {
			continue
		}
		op.calledAt = v.Now
		actions = append(actions, Action{Kind: op.kind, Machine: id, Executor: m.Executor, Service: op.to, Wave: op.wave, Reason: "empty"})
	}
	return actions
}

// releaseCordons takes back the cordons of executors that nothing is planned for. One
// that is gone stays under its cordon until its owner has noticed: otherwise the owner
// would start tasks there.
func (p *Planner) releaseCordons(v *view) []Action {
	wanted := map[cluster.ExecutorID]bool{}
	for _, op := range p.operations {
		wanted[op.executor] = true
	}
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(v.Cordons)) {
		_, known := v.Loads[v.Cordons[id]].Executors[id]
		if !wanted[id] && (!known || v.listedExecutors[id]) {
			actions = append(actions, Action{Kind: Uncordon, Executor: id, Service: v.Cordons[id]})
		}
	}
	return actions
}

// WaveReportFailed notes that the operator was not told the state of a wave.
func (p *Planner) WaveReportFailed(number int64) { p.waves[number].reported = "" }

// Outcome says what became of a call to the machine service.
type Outcome uint8

// Outcomes of a call.
const (
	Accepted Outcome = iota
	Refused          // nothing was done
	Unknown          // it may have been done, or may be seconds later
)

// HandleResult takes in what became of a Maintain or Move.
func (p *Planner) HandleResult(a Action, o Outcome, now time.Time) {
	op := p.operations[a.Machine]
	if op == nil {
		return
	}
	switch o {
	case Accepted:
		op.accepted = true
		if op.kind == Maintain {
			p.waves[op.wave].done[a.Machine] = true
		}
	case Refused:
		delete(p.operations, a.Machine)
	case Unknown:
		op.calledAt = now
	}
}
