package fleetplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

const (
	// waveShare is the share of a wave's time within which it is to be over.
	waveShare = 0.75
	// emptyTime is how long it takes to empty a machine, roughly.
	emptyTime = 2500 * time.Millisecond
	// goneAfter is how long a machine must be missing from the list to be gone.
	goneAfter = 3 * time.Second
	// poolShareDown bounds the share of a pool's machines that a wave takes at once.
	poolShareDown = 0.25
)

func (p *Planner) planWaves(v *view) []Action {
	var actions []Action
	for _, wave := range v.Waves {
		w := p.wave(wave.Number, v.Now)
		if w.reported == cluster.WaveCompleted {
			continue
		}
		left := p.left(v, wave, w)
		state := cluster.WaveRunning
		if len(left) == 0 {
			state = cluster.WaveCompleted
		}
		if state != w.reported {
			w.reported = state
			actions = append(actions, Action{Kind: Report, Wave: wave.Number, State: state})
		}
		p.advance(v, wave, w, left)
	}
	return actions
}

// left returns the machines of a wave whose maintenance has not begun and that are
// not gone for good.
func (p *Planner) left(v *view, wave cluster.Wave, w *waveState) []cluster.MachineID {
	var left []cluster.MachineID
	for _, id := range wave.Machines {
		_, listed := v.byID[id]
		switch {
		case w.done[id]:
		case listed:
			delete(w.gone, id)
			left = append(left, id)
		case w.gone[id].IsZero():
			w.gone[id] = v.Now
			left = append(left, id)
		case v.Now.Sub(w.gone[id]) < goneAfter:
			left = append(left, id)
		}
	}
	return left
}

// advance begins the maintenance of further machines of a wave.
func (p *Planner) advance(v *view, wave cluster.Wave, w *waveState, left []cluster.MachineID) {
	down := p.underMaintenance(v, wave)
	room := min(wave.MaxDown, p.pace(v, wave, w, len(left))) - down
	var candidates []cluster.Machine
	urgent := p.urgent(v, wave, w)
	for _, id := range left {
		m, listed := v.byID[id]
		if listed && m.State == cluster.MachineUp && p.mayMaintain(id, urgent) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b cluster.Machine) int {
		return cmp.Compare(v.effort(a), v.effort(b))
	})
	for _, m := range candidates {
		if room <= 0 {
			break
		}
		if !urgent && !p.poolHasRoom(v, m.Pool) {
			continue
		}
		room--
		p.begin(v, m, operation{kind: Maintain, wave: wave.Number}, "maintenance")
	}
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

// urgentTurns is how many times a machine's maintenance must still fit into a wave's
// time for pools to be spared.
const urgentTurns = 2

// urgent reports whether a wave comes before pools and moves.
func (p *Planner) urgent(v *view, wave cluster.Wave, w *waveState) bool {
	return p.waveEnd(wave, w).Sub(v.Now) <= urgentTurns*(p.limits.MaintenanceTime+emptyTime)
}

// waveEnd is when a wave is to be over.
func (p *Planner) waveEnd(wave cluster.Wave, w *waveState) time.Time {
	return w.begun.Add(time.Duration(waveShare * float64(wave.Duration)))
}

// mayMaintain reports whether the maintenance of a machine may begin; an urgent wave takes
// it from a move that has not been called for.
func (p *Planner) mayMaintain(id cluster.MachineID, urgent bool) bool {
	op := p.operations[id]
	return op == nil || urgent && op.kind == Move && op.called.IsZero()
}

// pace is how many machines have to be down at once for the wave to be over in time.
func (p *Planner) pace(v *view, wave cluster.Wave, w *waveState, left int) int {
	remaining := p.waveEnd(wave, w).Sub(v.Now)
	each := p.limits.MaintenanceTime + emptyTime
	if remaining <= each {
		return wave.MaxDown
	}
	return int(math.Ceil(float64(left) * float64(each) / float64(remaining)))
}

// effort orders machines for maintenance: first those that an earlier holder of the duty
// has begun to empty; then those with lasting tasks, which take
// longest to empty and can't be emptied while other tasks of their steps are away; then
// those that are off or empty, then by their short tasks, which end by themselves.
func (v *view) effort(m cluster.Machine) int {
	l, _ := v.load(m)
	switch {
	case v.pools[m.Pool].Spare:
		return effortOff
	case v.Cordons[m.Executor] != "":
		return effortBegun
	case l.LongRunning > 0:
		return effortLasting
	case l.Runs == 0:
		return effortIdle
	default:
		return effortBusy + l.Runs
	}
}

const (
	effortBegun = iota
	effortLasting
	effortOff
	effortIdle
	effortBusy
)

// poolHasRoom reports whether another machine of the pool may be taken.
func (p *Planner) poolHasRoom(v *view, pool cluster.Service) bool {
	if v.pools[pool].Spare {
		return true
	}
	away := 0
	for _, m := range v.members[pool] {
		if p.operations[m.ID] != nil || m.State != cluster.MachineUp {
			away++
		}
	}
	return away < max(1, int(poolShareDown*float64(len(v.members[pool]))))
}
