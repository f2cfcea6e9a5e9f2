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

// wave is the state of a plan's waves, computed from one input.
type wave struct {
	Input
	due        []Instance // serving ones to be maintained, of all zones
	inProgress int
	done       int
	parallel   int
	activeZone fleet.AvailabilityZone
	failures   failures
	budgetLeft map[string]int
}

func newWave(in Input) *wave {
	w := &wave{Input: in, failures: countFailures(in), budgetLeft: maps.Clone(in.BudgetLeft)}
	if w.budgetLeft == nil {
		w.budgetLeft = make(map[string]int)
	}
	for _, instance := range in.Instances {
		w.tally(instance)
	}
	w.due = w.dueInstances()
	w.parallel = Parallel(in.Plan, len(in.Instances), w.lateness())
	w.activeZone = w.chooseActiveZone()
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

// dueInstances returns the serving instances that are due, and those that join the wave
// of their rack.
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
		joinAt := instance.LastMaintained.Add(partOfPeriod(w.Plan, joinShare))
		if instance.LastMaintained.IsZero() || !joinAt.After(w.Now) {
			due = append(due, instance)
		}
	}
	return due
}

// ownDue returns the due instances of the deciding zone, ordered by the earliest due time
// in their rack.
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

// lateness returns how long the most overdue instance has been due.
func (w *wave) lateness() time.Duration {
	var lateness time.Duration
	for _, instance := range w.due {
		if at := dueAt(instance, w.Plan); !at.IsZero() {
			lateness = max(lateness, w.Now.Sub(at))
		}
	}
	return lateness
}

// chooseActiveZone returns the only availability zone that may start maintenances now. The
// zones that can start one are active in rotation by time, so that a zone whose duty has no
// holder delays the others by at most one rotation interval.
func (w *wave) chooseActiveZone() fleet.AvailabilityZone {
	var zones []fleet.AvailabilityZone
	for _, instance := range w.due {
		if !slices.Contains(zones, instance.Zone) && w.instanceObstacle(instance) == "" {
			zones = append(zones, instance.Zone)
		}
	}
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	rotation := w.Now.UnixNano() / int64(w.rotationInterval())
	return zones[rotation%int64(len(zones))]
}

func (w *wave) rotationInterval() time.Duration {
	length := time.Duration(w.Plan.Period) / rotationsPerPeriod
	return max(length, minRotationDurations*time.Duration(w.Plan.Duration), time.Second)
}

// obstacle returns why the maintenance of a due instance can't start now; empty if it can.
func (w *wave) obstacle(instance Instance) explain.Reason {
	if reason := w.planPause(); reason != "" {
		return reason
	}
	if reason := w.instanceObstacle(instance); reason != "" {
		return reason
	}
	if instance.Zone != w.activeZone {
		return explain.ReasonOtherZone
	}
	return ""
}

// planPause returns why the whole plan is paused; empty if it isn't.
func (w *wave) planPause() explain.Reason {
	if w.Plan.Paused {
		return explain.ReasonPaused
	}
	return ""
}

// instanceObstacle returns why the maintenance of an instance can't start even while
// its zone is active; empty if it can.
func (w *wave) instanceObstacle(instance Instance) explain.Reason {
	left, bounded := w.budgetLeft[instance.Pool]
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

// useBudget takes one instance from a pool's budget, if the pool is limited.
func (w *wave) useBudget(pool string) {
	if left, bounded := w.budgetLeft[pool]; bounded {
		w.budgetLeft[pool] = left - 1
	}
}

// nearDeadline reports whether maintenance could make a batch miss its deadline.
func (w *wave) nearDeadline(instance Instance) bool {
	if instance.Deadline.IsZero() || instance.Deadline.Before(w.Now) {
		return false
	}
	return instance.Deadline.Sub(w.Now) < time.Duration(w.Plan.Duration)+deadlineMargin
}

func (w *wave) status() Status {
	s := Status{
		Plan: w.Plan.Name, Total: len(w.Instances), Done: w.done, InProgress: w.inProgress,
		Due: len(w.due), Parallel: w.parallel, ActiveZone: w.activeZone, Paused: w.statusPause(),
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

// statusPause returns the reason reported as Status.Paused: that of the whole plan, or,
// if every due instance has an obstacle, that of the first one.
func (w *wave) statusPause() explain.Reason {
	if reason := w.planPause(); reason != "" || len(w.due) == 0 || w.activeZone != "" {
		return reason
	}
	return w.instanceObstacle(w.due[0])
}
