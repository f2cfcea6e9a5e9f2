// Package maintenance decides which instances are maintained next, so that each is
// maintained once in a plan's period. Waves go through the racks of one availability
// zone at a time. A wave pauses while failures are correlated or budgets are spent, and
// resumes by itself afterwards.
package maintenance

import (
	"math"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

const (
	// dueShare is the share of the period after which a maintained instance is due
	// again; the rest of the period absorbs pauses.
	dueShare = 0.85
	// joinShare is the share of the period after which a maintained instance joins the
	// wave if another instance of its rack is due.
	joinShare = 0.7
	// baseSpeedup is the concurrency of waves that are not late, as a multiple of the
	// mean concurrency that the period requires.
	baseSpeedup = 2
	// latenessStep is the lateness, as a share of the period, that raises the multiple
	// by one.
	latenessStep = 0.02
	// maxSpeedup bounds the multiple.
	maxSpeedup = 8
	// rotationsPerPeriod is how often the active zone may change in a period.
	rotationsPerPeriod = 200
	// minRotationDurations is the minimum rotation interval, in durations of one maintenance.
	minRotationDurations = 4
	// deadlineMargin is added to the duration of a maintenance in the check whether it
	// could make a batch miss its deadline.
	deadlineMargin = time.Hour
)

// Instance is one instance that a plan covers.
type Instance struct {
	ID    fleet.InstanceID
	Zone  fleet.AvailabilityZone
	Rack  string
	Pool  string
	State fleet.State
	// Since is when the instance entered State.
	Since time.Time
	// InMaintenance is set from the start of the drain for maintenance until the
	// instance returns.
	InMaintenance bool
	// Overdue is set on a failed instance that did not return from maintenance.
	Overdue bool
	// LastMaintained is zero if unknown; the instance is then due.
	LastMaintained time.Time
	// Deadline is the earliest deadline of the batches on the instance; zero for none.
	Deadline time.Time
}

// Input is what a decision is made from.
type Input struct {
	Now  time.Time
	Plan object.MaintenancePlan
	// Zone is the availability zone that decides.
	Zone      fleet.AvailabilityZone
	Instances []Instance
	// BudgetLeft is how many more instances of each pool may leave service; a pool
	// without an entry is not limited.
	BudgetLeft map[string]int
	Failures   FailureLimits
}

// Choice is the decision on one due instance.
type Choice struct {
	ID     fleet.InstanceID
	Pool   string
	Start  bool
	Reason explain.Reason
}

// Decision is the result of Decide for one zone.
type Decision struct {
	// Choices has an entry for each due instance of the deciding zone, rack by rack.
	Choices []Choice
	Status  Status
}

// Status is the progress of a plan.
type Status struct {
	Plan       string                 `json:"plan"`
	Total      int                    `json:"total"`
	Done       int                    `json:"done"` // maintained within the period
	InProgress int                    `json:"inProgress"`
	Due        int                    `json:"due"`
	Parallel   int                    `json:"parallel"`       // how many may be in maintenance at once
	ActiveZone fleet.AvailabilityZone `json:"turn,omitempty"` // the only zone that may start maintenances now; empty if none can
	// Paused is the reason why no zone starts anything; empty if waves run.
	Paused explain.Reason `json:"paused,omitempty"`
	// Forecast is when the instances that are due now will be done; zero if unknown.
	Forecast time.Time `json:"forecast,omitzero"`
	// Oldest is the earliest known LastMaintained; zero if none is known.
	Oldest time.Time `json:"oldest,omitzero"`
}

// Decide returns which maintenances the deciding availability zone starts now.
func Decide(in Input) Decision {
	w := newWave(in)
	var out Decision
	free := w.parallel - w.inProgress
	for _, instance := range w.ownDue() {
		choice := Choice{ID: instance.ID, Pool: instance.Pool, Reason: w.obstacle(instance)}
		if choice.Reason == "" && free <= 0 {
			choice.Reason = explain.ReasonConcurrencyReached
		}
		if choice.Reason == "" {
			choice.Start = true
			choice.Reason = explain.ReasonMaintenanceDue
			w.useBudget(instance.Pool)
			free--
		}
		out.Choices = append(out.Choices, choice)
	}
	out.Status = w.status()
	return out
}

// partOfPeriod returns the given share of the plan's period.
func partOfPeriod(plan object.MaintenancePlan, share float64) time.Duration {
	return time.Duration(float64(plan.Period) * share)
}

// dueAt returns when an instance is due; the zero time if that is unknown.
func dueAt(instance Instance, plan object.MaintenancePlan) time.Time {
	if instance.LastMaintained.IsZero() {
		return time.Time{}
	}
	return instance.LastMaintained.Add(partOfPeriod(plan, dueShare))
}

// Parallel returns how many instances may be in maintenance at once, so that total
// instances are maintained within the period with time left for pauses. lateness is
// that of the most overdue instance and raises the number.
func Parallel(plan object.MaintenancePlan, total int, lateness time.Duration) int {
	if plan.Period <= 0 || total == 0 {
		return 0
	}
	mean := float64(total) * float64(plan.Duration) / (dueShare * float64(plan.Period))
	speedup := min(baseSpeedup+float64(lateness)/float64(partOfPeriod(plan, latenessStep)), maxSpeedup)
	parallel := max(int(math.Ceil(mean*speedup)), 1)
	if plan.MaxParallel > 0 {
		parallel = min(parallel, plan.MaxParallel)
	}
	return parallel
}
