package fleetplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// waveShare is the share of a wave's duration within which it should be over.
	waveShare = 0.75
	// evacuationTime is the approximate time that it takes to evacuate a machine.
	evacuationTime = 2500 * time.Millisecond
	// missingTimeout is how long a machine must be missing from the lists to count as
	// removed. It is the time between two lists: while no new list arrives, an incomplete one
	// proves nothing.
	missingTimeout = 3 * time.Second
	// maxPoolShareDown is the share of a pool's machines that may be unavailable after a
	// wave has taken another one; one machine is always allowed.
	maxPoolShareDown = 0.25
	// maxUrgentPoolShareDown is the same for an urgent wave.
	maxUrgentPoolShareDown = 0.5
)

// waveState is the progress of a wave.
type waveState struct {
	startedAt          time.Time
	maintenanceStarted map[cluster.MachineID]bool
	reported           cluster.WaveState
	missingSince       map[cluster.MachineID]time.Time // since when a machine is not in the list
}

// RestoreWave loads the progress of a wave that an earlier holder of the duty stored.
func (p *Planner) RestoreWave(number int64, maintenanceStarted []cluster.MachineID, reported cluster.WaveState, startedAt time.Time) {
	w := p.wave(number, startedAt)
	for _, m := range maintenanceStarted {
		w.maintenanceStarted[m] = true
	}
	w.reported = reported
}

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

// WaveReportFailed records that the state of a wave did not reach the operator; the next
// plan reports it again.
func (p *Planner) WaveReportFailed(number int64) { p.waves[number].reported = "" }

func (p *Planner) planWaves(v *view) []Action {
	var actions []Action
	for _, wave := range v.Waves {
		w := p.wave(wave.Number, v.Now)
		if w.reported == cluster.WaveCompleted {
			continue
		}
		remaining := p.remainingMachines(v, wave, w)
		state := cluster.WaveRunning
		if len(remaining) == 0 {
			state = cluster.WaveCompleted
		}
		if state != w.reported {
			w.reported = state
			actions = append(actions, Action{Kind: Report, Wave: wave.Number, State: state})
		}
		p.startMaintenance(v, wave, w, remaining)
	}
	return actions
}

// remainingMachines returns the machines of a wave whose maintenance has not started and
// that are not removed.
func (p *Planner) remainingMachines(v *view, wave cluster.Wave, w *waveState) []cluster.MachineID {
	var remaining []cluster.MachineID
	for _, id := range wave.Machines {
		_, listed := v.byID[id]
		switch {
		case w.maintenanceStarted[id]:
		case listed:
			delete(w.missingSince, id)
			remaining = append(remaining, id)
		case v.Incomplete:
			remaining = append(remaining, id) // it may still be there
		case w.missingSince[id].IsZero():
			w.missingSince[id] = v.ListedAt
			remaining = append(remaining, id)
		case v.ListedAt.Sub(w.missingSince[id]) < missingTimeout:
			remaining = append(remaining, id)
		}
	}
	return remaining
}

// startMaintenance starts the maintenance of further machines of a wave.
func (p *Planner) startMaintenance(v *view, wave cluster.Wave, w *waveState, remaining []cluster.MachineID) {
	down := p.underMaintenance(v, wave)
	listed := 0
	for _, id := range remaining {
		if _, known := v.byID[id]; known {
			listed++
		}
	}
	allowed := min(wave.MaxDown, p.requiredConcurrency(v, wave, w, listed)) - down
	var candidates []cluster.Machine
	urgent := p.urgent(v, wave, w)
	for _, id := range remaining {
		m, listed := v.byID[id]
		if listed && m.State == cluster.MachineUp && p.mayMaintain(id, urgent) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b cluster.Machine) int {
		return cmp.Compare(v.evacuationRank(a), v.evacuationRank(b))
	})
	for _, m := range candidates {
		if allowed <= 0 {
			break
		}
		if p.operations[m.ID] == nil && !p.poolAllowsMaintenance(v, m, urgent) {
			continue
		}
		allowed--
		p.startOperation(v, m, operation{kind: Maintain, wave: wave.Number}, "maintenance")
	}
	p.maintainSurplus(v, wave, candidates)
}

// surplusShare is the share of the spare machines that no service lacks which may be under
// maintenance ahead of time; the others remain for a sudden rise of demand.
const surplusShare = 0.5

// maintainSurplus starts the maintenance of spare machines ahead of the wave's pace, as far as no
// service lacks machines: the wave then takes fewer machines from the services at their peaks.
func (p *Planner) maintainSurplus(v *view, wave cluster.Wave, candidates []cluster.Machine) {
	allowed := min(maxMovesPerPlan, wave.MaxDown-p.underMaintenance(v, wave), p.surplus(v))
	for _, m := range candidates {
		if allowed <= 0 {
			return
		}
		if m.Pool == v.spare && p.operations[m.ID] == nil {
			allowed--
			p.startOperation(v, m, operation{kind: Maintain, wave: wave.Number}, "maintenance ahead of time")
		}
	}
}

// surplus returns how many further spare machines may be under maintenance ahead of time.
func (p *Planner) surplus(v *view) int {
	if v.spare == "" {
		return 0
	}
	usable, unusable := 0, 0
	for _, m := range v.members[v.spare] {
		if m.State == cluster.MachineUp && p.operations[m.ID] == nil {
			usable++
		} else if m.State == cluster.MachineMaintenance || p.operations[m.ID] != nil {
			unusable++
		}
	}
	for _, n := range p.lastNeeds {
		usable -= max(0, n.share-n.have)
	}
	return int(surplusShare*float64(usable+unusable)) - unusable
}

// underMaintenance counts the machines of a wave that are down or may go down.
func (p *Planner) underMaintenance(v *view, wave cluster.Wave) int {
	n := 0
	for _, id := range wave.Machines {
		op := p.operations[id]
		if op != nil && op.kind == Maintain || v.byID[id].State == cluster.MachineMaintenance {
			n++
		}
	}
	return n
}

// urgentFactor is the remaining time from which a wave is urgent, as a multiple of the
// time that one machine takes to be evacuated and maintained.
const urgentFactor = 2

// urgent reports whether a wave has priority over the limits of pools and over moves.
func (p *Planner) urgent(v *view, wave cluster.Wave, w *waveState) bool {
	return p.waveDeadline(wave, w).Sub(v.Now) <= urgentFactor*(p.limits.MaintenanceTime+evacuationTime)
}

// waveDeadline returns when a wave should be over.
func (p *Planner) waveDeadline(wave cluster.Wave, w *waveState) time.Time {
	return w.startedAt.Add(time.Duration(waveShare * float64(wave.Duration)))
}

// mayMaintain reports whether the maintenance of a machine may start; an urgent wave
// replaces a move for which the machine service has not been called yet.
func (p *Planner) mayMaintain(id cluster.MachineID, urgent bool) bool {
	if _, paused := p.notEvacuatedUntil[id]; paused {
		return false
	}
	op := p.operations[id]
	return op == nil || urgent && op.kind == Move && op.calledAt.IsZero()
}

// requiredConcurrency returns how many machines have to be down at once for the wave to
// be over by its deadline.
func (p *Planner) requiredConcurrency(v *view, wave cluster.Wave, w *waveState, machines int) int {
	timeLeft := p.waveDeadline(wave, w).Sub(v.Now)
	perMachine := p.limits.MaintenanceTime + evacuationTime
	if timeLeft <= perMachine {
		return wave.MaxDown
	}
	return int(math.Ceil(float64(machines) * float64(perMachine) / float64(timeLeft)))
}

// evacuationRank orders machines for maintenance: first those that an earlier holder of
// the duty has cordoned; then those with long-running tasks, which take longest to
// evacuate and can't be evacuated while other tasks of their steps are unavailable; then
// spare ones, then idle ones, then by their number of short tasks, which end by
// themselves.
func (v *view) evacuationRank(m cluster.Machine) int {
	l, _ := v.load(m)
	switch {
	case v.pools[m.Pool].Spare:
		return rankSpare
	case v.cordoned(m.Executor):
		return rankCordoned
	case l.LongRunning > 0:
		return rankLongRunning
	case l.Runs == 0:
		return rankIdle
	default:
		return rankBusy + l.Runs
	}
}

const (
	rankCordoned = iota
	rankLongRunning
	rankSpare
	rankIdle
	rankBusy
)

// poolAllowsMaintenance reports whether a further machine of its pool may be maintained. Also
// in an urgent wave a pool keeps machines for its tasks: long-running ones can't leave a
// machine that has no other to go to.
func (p *Planner) poolAllowsMaintenance(v *view, m cluster.Machine, urgent bool) bool {
	if v.pools[m.Pool].Spare {
		return true
	}
	share := maxPoolShareDown
	if urgent {
		share = maxUrgentPoolShareDown
	}
	size := len(v.members[m.Pool])
	if size == 1 {
		return !v.runsLongRunning(m)
	}
	unavailable := size - p.usableInPool(v, m.Pool)
	return unavailable < max(1, int(share*float64(size)))
}

// usableInPool counts the machines of a pool that are up and without an operation.
func (p *Planner) usableInPool(v *view, pool cluster.Service) int {
	n := 0
	for _, m := range v.members[pool] {
		if p.operations[m.ID] == nil && m.State == cluster.MachineUp {
			n++
		}
	}
	return n
}
