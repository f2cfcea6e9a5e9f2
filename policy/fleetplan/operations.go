package fleetplan

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

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

// finishOperations removes the operations that have ended: those whose effect the list
// shows, and those that failed or timed out.
func (p *Planner) finishOperations(v *view) {
	for id, op := range p.operations {
		m, listed := v.byID[id]
		op.noteState(m)
		switch {
		case v.removed(id) && op.calledAt.IsZero():
			delete(p.operations, id)
		case m.State == cluster.MachineUp && m.Executor != "" && m.Executor != op.executor:
			if op.underMaintenance {
				p.waves[op.wave].maintenanceStarted[id] = true
			}
			delete(p.operations, id)
		case op.underMaintenance && m.State == cluster.MachineUp:
			// It is over, and the executor started again under its ID.
			p.waves[op.wave].maintenanceStarted[id] = true
			delete(p.operations, id)
		case op.kind == Move && m.Pool == op.to && m.State == cluster.MachineUp:
			delete(p.operations, id)
		case op.accepted && m.State == cluster.MachineUp && v.ListedAt.Sub(op.calledAt) > maxListLag+p.limits.MaintenanceTime:
			delete(p.operations, id) // assumed done; the list shows no new executor that would confirm it
		case op.kind == Move && op.calledAt.IsZero() && v.runsLongRunning(m):
			delete(p.operations, id) // such tasks have started there meanwhile, and would be stopped
		case op.calledAt.IsZero() && v.Now.Sub(op.startedAt) > evacuationTimeout:
			delete(p.operations, id) // it can't be evacuated now
			p.notEvacuatedUntil[id] = v.Now.Add(evacuationPause)
		case !op.calledAt.IsZero() && (!op.accepted || !listed) && v.Now.Sub(op.calledAt) > p.callEnd(v, listed):
			delete(p.operations, id) // the call can no longer take effect
		}
	}
}

// callEnd is how long after a call without a known effect its operation is over. If the machine may
// be one that an incomplete list lacks, it may also be undergoing the operation until then.
func (p *Planner) callEnd(v *view, listed bool) time.Duration {
	if v.Incomplete && !listed {
		return callExpiry + max(p.limits.MaintenanceTime, p.limits.MoveTime)
	}
	return callExpiry
}

// giveBackLastMachines drops operations of pools without a usable machine whose tasks wait:
// the other machines of the pool may have been lost since the operations were started.
func (p *Planner) giveBackLastMachines(v *view) {
	maps.DeleteFunc(p.notEvacuatedUntil, func(_ cluster.MachineID, until time.Time) bool { return !v.Now.Before(until) })
	for service, load := range v.Loads {
		if load.WaitingCPU == 0 || p.usableInPool(v, service) > 0 {
			continue
		}
		for _, m := range v.members[service] {
			op := p.operations[m.ID]
			if op != nil && op.calledAt.IsZero() && !v.evacuated(m) && v.Now.Sub(op.startedAt) >= lastMachinePatience {
				delete(p.operations, m.ID)
				p.notEvacuatedUntil[m.ID] = v.Now.Add(evacuationPause)
			}
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
	// lastMachinePatience is how long an operation may keep the last machine of a pool from
	// tasks that wait.
	lastMachinePatience = 2 * time.Second
	// evacuationPause is how long a machine that could not be evacuated is not chosen for
	// maintenance: its tasks need that time to spread again.
	evacuationPause = 3 * time.Second
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
		if !wanted[id] && (!known || v.listedExecutors[id] > 0) {
			actions = append(actions, Action{Kind: Uncordon, Executor: id, Service: service})
		}
	}
	return actions
}

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
