// Package maintenance decides which instances are maintained next, so that each is
// maintained once in a plan's period. Waves go through the racks of one availability
// zone at a time. A wave pauses while failures correlate or budgets are spent, and
// goes on by itself afterwards.
package maintenance

import (
	"math"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

const (
	// dueShare of the period after its last maintenance, an instance is due; the rest
	// absorbs pauses.
	dueShare = 0.85
	// joinShare of the period after its last maintenance, an instance joins the wave
	// of its rack.
	joinShare = 0.7
	// headroom is how much faster than the mean pace a wave may go.
	headroom = 2
	// lateStep of the period, in lateness, adds the mean pace once more.
	lateStep = 0.02
	// maxHaste bounds that growth.
	maxHaste = 8
	// turnsPerPeriod is how often the availability zone whose turn it is changes.
	turnsPerPeriod = 200
	// turnDurations is the least length of a turn in durations of one maintenance.
	turnDurations = 4
	// deadlineMargin is added to the duration when looking for work near its deadline.
	deadlineMargin = time.Hour
)

// Instance is one instance that a plan covers.
type Instance struct {
	ID    fleet.InstanceID
	Zone  fleet.AvailabilityZone
	Rack  string
	Pool  string
	State fleet.State
	// Since is when it entered the state.
	Since time.Time
	// InMaintenance is set from its drain for maintenance to its return.
	InMaintenance bool
	// Overdue is set on a failed instance that did not come back from maintenance.
	Overdue bool
	// LastMaintained is zero if unknown; the instance is due then.
	LastMaintained time.Time
	// Deadline is the nearest deadline of a batch that it holds; zero for none.
	Deadline time.Time
}

// Input is what a decision is made from.
type Input struct {
	Now  time.Time
	Plan object.MaintenancePlan
	// Zone is the availability zone that decides.
	Zone      fleet.AvailabilityZone
	Instances []Instance
	// BudgetLeft says how many more instances of a pool may leave service; a pool
	// that is not named has room.
	BudgetLeft map[string]int
	Failures   FailureLimits
}

// Choice says what was decided about one due instance.
type Choice struct {
	ID     fleet.InstanceID
	Pool   string
	Start  bool
	Reason explain.Reason
}

// Decision is what the deciding zone does now.
type Decision struct {
	// Choices name the due instances of the deciding zone, rack by rack.
	Choices []Choice
	Status  Status
}

// Status tells how a plan stands.
type Status struct {
	Plan       string                 `json:"plan"`
	Total      int                    `json:"total"`
	Done       int                    `json:"done"` // maintained within the period
	InProgress int                    `json:"inProgress"`
	Due        int                    `json:"due"`
	Parallel   int                    `json:"parallel"`       // how many may be away at once
	ActiveZone fleet.AvailabilityZone `json:"turn,omitempty"` // whose wave it is
	// Paused names why nothing starts anywhere; empty if waves run.
	Paused explain.Reason `json:"paused,omitempty"`
	// Forecast is when the instances that are due now will be done; zero if unknown.
	Forecast time.Time `json:"forecast,omitzero"`
	// Oldest is the earliest last maintenance known.
	Oldest time.Time `json:"oldest,omitzero"`
}

// Decide chooses what the deciding availability zone starts now.
func Decide(in Input) Decision {
	w := newWave(in)
	var out Decision
	room := w.parallel - w.inProgress
	for _, instance := range w.ownDue() {
		choice := Choice{ID: instance.ID, Pool: instance.Pool, Reason: w.obstacle(instance)}
		if choice.Reason == "" && room <= 0 {
			choice.Reason = explain.ReasonPace
		}
		if choice.Reason == "" {
			choice.Start = true
			choice.Reason = explain.ReasonMaintenanceDue
			w.take(instance.Pool)
			room--
		}
		out.Choices = append(out.Choices, choice)
	}
	out.Status = w.status()
	return out
}

// period returns a share of the plan's period.
func period(plan object.MaintenancePlan, share float64) time.Duration {
	return time.Duration(float64(plan.Period) * share)
}

// dueAt returns when an instance is due; the zero time if that is unknown.
func dueAt(instance Instance, plan object.MaintenancePlan) time.Time {
	if instance.LastMaintained.IsZero() {
		return time.Time{}
	}
	return instance.LastMaintained.Add(period(plan, dueShare))
}

// Parallel returns how many instances may be away at once, so that total instances
// are maintained within the period with room for pauses. Lateness of the most
// overdue instance adds haste.
func Parallel(plan object.MaintenancePlan, total int, lateness time.Duration) int {
	if plan.Period <= 0 || total == 0 {
		return 0
	}
	mean := float64(total) * float64(plan.Duration) / (dueShare * float64(plan.Period))
	haste := min(headroom+float64(lateness)/float64(period(plan, lateStep)), maxHaste)
	parallel := max(int(math.Ceil(mean*haste)), 1)
	if plan.MaxParallel > 0 {
		parallel = min(parallel, plan.MaxParallel)
	}
	return parallel
}
