package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// rackKey names one rack of one availability zone.
type rackKey struct {
	zone fleet.AvailabilityZone
	rack string
}

// wave is the state of a plan's waves, worked out from one input.
type wave struct {
	Input
	due        []Instance // of all zones
	inProgress int
	done       int
	parallel   int
	turn       fleet.AvailabilityZone
	failures   failures
	left       map[string]int
}

func newWave(in Input) *wave {
	w := &wave{Input: in, failures: count(in), left: maps.Clone(in.BudgetLeft)}
	if w.left == nil {
		w.left = make(map[string]int)
	}
	for _, instance := range in.Instances {
		w.tally(instance)
	}
	w.due = w.dueInstances()
	w.parallel = Parallel(in.Plan, len(in.Instances), w.lateness())
	w.turn = w.turnOf()
	return w
}

func (w *wave) tally(instance Instance) {
	if instance.InMaintenance {
		w.inProgress++
	}
	known := !instance.LastMaintained.IsZero()
	if known && w.Now.Sub(instance.LastMaintained) < time.Duration(w.Plan.Period) {
		w.done++
	}
}

// dueInstances returns the serving instances that are due, with the ones that join
// the wave of their rack.
func (w *wave) dueInstances() []Instance {
	racks := make(map[rackKey]bool)
	for _, instance := range w.Instances {
		if !dueAt(instance, w.Plan).After(w.Now) {
			racks[rackKey{instance.Zone, instance.Rack}] = true
		}
	}
	var due []Instance
	for _, instance := range w.Instances {
		if instance.State != fleet.StateServing || !racks[rackKey{instance.Zone, instance.Rack}] {
			continue
		}
		joins := instance.LastMaintained.Add(period(w.Plan, joinShare))
		if instance.LastMaintained.IsZero() || !joins.After(w.Now) {
			due = append(due, instance)
		}
	}
	return due
}

// ownDue returns the due instances of the deciding zone, those of the earliest due
// rack first.
func (w *wave) ownDue() []Instance {
	var due []Instance
	earliest := make(map[string]time.Time) // by rack
	for _, instance := range w.due {
		if instance.Zone != w.Zone {
			continue
		}
		due = append(due, instance)
		at := dueAt(instance, w.Plan)
		if known, found := earliest[instance.Rack]; !found || at.Before(known) {
			earliest[instance.Rack] = at
		}
	}
	slices.SortFunc(due, func(a, b Instance) int {
		return cmp.Or(
			earliest[a.Rack].Compare(earliest[b.Rack]),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return due
}

// lateness is how long the most overdue instance has been due.
func (w *wave) lateness() time.Duration {
	var late time.Duration
	for _, instance := range w.due {
		if at := dueAt(instance, w.Plan); !at.IsZero() {
			late = max(late, w.Now.Sub(at))
		}
	}
	return late
}

// turnOf returns the availability zone whose wave it is. The turn passes with time
// among the zones that have work, so that one whose duty has no holder delays the
// others by its turn at most.
func (w *wave) turnOf() fleet.AvailabilityZone {
	var zones []fleet.AvailabilityZone
	for _, instance := range w.due {
		if !slices.Contains(zones, instance.Zone) && w.ownObstacle(instance) == "" {
			zones = append(zones, instance.Zone)
		}
	}
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	turn := w.Now.UnixNano() / int64(w.turnLength())
	return zones[turn%int64(len(zones))]
}

func (w *wave) turnLength() time.Duration {
	length := time.Duration(w.Plan.Period) / turnsPerPeriod
	return max(length, turnDurations*time.Duration(w.Plan.Duration), time.Second)
}

// obstacle says why a due instance can't start now; empty if it can.
func (w *wave) obstacle(instance Instance) explain.Reason {
	if reason := w.paused(); reason != "" {
		return reason
	}
	if reason := w.ownObstacle(instance); reason != "" {
		return reason
	}
	if instance.Zone != w.turn {
		return explain.ReasonOtherZone
	}
	return ""
}

// paused says why no wave of the plan starts anything; empty if waves run.
func (w *wave) paused() explain.Reason {
	if w.Plan.Paused {
		return explain.ReasonPaused
	}
	return ""
}

// ownObstacle is what stands against one instance whoever's turn it is.
func (w *wave) ownObstacle(instance Instance) explain.Reason {
	left, bounded := w.left[instance.Pool]
	switch {
	case w.failures.zonePaused(instance.Zone):
		return explain.ReasonZoneFailures
	case w.failures.rackPaused(instance.Zone, instance.Rack):
		return explain.ReasonRackFailures
	case w.nearDeadline(instance):
		return explain.ReasonBatchDeadline
	case bounded && left <= 0:
		return explain.ReasonBudgetSpent
	default:
		return ""
	}
}

// take uses up one of a pool's budget, where that is bounded.
func (w *wave) take(pool string) {
	if left, bounded := w.left[pool]; bounded {
		w.left[pool] = left - 1
	}
}

// nearDeadline says whether maintenance could make a batch miss its deadline.
func (w *wave) nearDeadline(instance Instance) bool {
	if instance.Deadline.IsZero() || instance.Deadline.Before(w.Now) {
		return false
	}
	return instance.Deadline.Sub(w.Now) < time.Duration(w.Plan.Duration)+deadlineMargin
}

func (w *wave) status() Status {
	s := Status{
		Plan: w.Plan.Name, Total: len(w.Instances), Done: w.done, InProgress: w.inProgress,
		Due: len(w.due), Parallel: w.parallel, ActiveZone: w.turn, Paused: w.pauseShown(),
	}
	for _, instance := range w.Instances {
		known := !instance.LastMaintained.IsZero()
		if known && (s.Oldest.IsZero() || instance.LastMaintained.Before(s.Oldest)) {
			s.Oldest = instance.LastMaintained
		}
	}
	if s.Paused == "" && w.parallel > 0 {
		waves := (len(w.due) + w.inProgress + w.parallel - 1) / w.parallel
		s.Forecast = w.Now.Add(time.Duration(waves) * time.Duration(w.Plan.Duration))
	}
	return s
}

// pauseShown also names the obstacle that all due instances share.
func (w *wave) pauseShown() explain.Reason {
	if reason := w.paused(); reason != "" || len(w.due) == 0 || w.turn != "" {
		return reason
	}
	return w.ownObstacle(w.due[0])
}
