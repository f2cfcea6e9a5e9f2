// Package placement decides which tasks start on which workers and from which running
// tasks resources are reclaimed. It takes a snapshot and returns a plan; it keeps no
// state.
package placement

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
)

// Worker is one worker with the tasks that run on it.
type Worker struct {
	ID       fleet.InstanceID
	Zone     fleet.AvailabilityZone
	Rack     string
	Labels   label.Set
	Capacity fleet.Resources
	// Unusable is the reason why the worker accepts no new tasks, empty if it accepts them.
	Unusable string
	// Trust ranges from 1, for a worker without recorded failures, down to 0.
	Trust float64
	Tasks []Task
}

// Task is a task that runs on a worker.
type Task struct {
	ID     fleet.TaskID
	Job    string
	Tenant string
	// Need is the estimated peak usage.
	Need   fleet.Resources
	Urgent bool
	// Checkpointed is the time of the last checkpoint, or of the start.
	Checkpointed time.Time
	// Deadline is zero if there is none; Remaining is the estimated remaining run time.
	Deadline  time.Time
	Remaining time.Duration
	// Throttled reports whether the task's CPU share is already reduced.
	Throttled bool
}

// usage returns the resources that the task uses now: its need less what throttling saves.
func (t Task) usage() fleet.Resources {
	if t.Throttled {
		return t.Need.Sub(throttleSavings(t))
	}
	return t.Need
}

// Pending is a task that waits for a worker.
type Pending struct {
	Job      string
	Tenant   string
	Index    int
	Need     fleet.Resources
	Selector label.Selector
	Urgent   bool
	Priority int
	Deadline time.Time
	// Remaining is the declared remaining run time, zero if none is declared.
	Remaining time.Duration
	Since     time.Time
	// Avoid lists the workers on which the task has failed.
	Avoid []fleet.InstanceID
}

// late reports whether the task would miss its deadline even if it started now.
func (p Pending) late(now time.Time) bool {
	return !p.Deadline.IsZero() && now.Add(p.Remaining).After(p.Deadline)
}

// Tenant is a tenant's quota and the estimated resources allocated to its tasks.
type Tenant struct {
	Name      string
	Quota     fleet.Resources
	Allocated fleet.Resources
}

// Snapshot is the complete input of a decision.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Pending []Pending
	Tenants []Tenant
}

// Start assigns a pending task to a worker.
type Start struct {
	Pending Pending
	Worker  fleet.InstanceID
	// Borrowed reports whether this start exceeds the tenant's quota.
	Borrowed bool
	Reason   string
}

// ReclaimKind is the way in which resources of a running task are reclaimed.
type ReclaimKind string

// The kinds of reclaim. Throttling is milder than checkpointing.
const (
	ReclaimThrottle   ReclaimKind = "throttle"
	ReclaimCheckpoint ReclaimKind = "checkpoint"
	// ReclaimRestore ends throttling.
	ReclaimRestore ReclaimKind = "restore"
)

// Reclaim takes resources from a running task or, for ReclaimRestore, returns them.
type Reclaim struct {
	Kind   ReclaimKind
	Task   fleet.TaskID
	Worker fleet.InstanceID
	// Percent is the CPU share that a throttled or restored task gets.
	Percent int
	Reason  string
}

// Refusal is the reason why a pending task does not start.
type Refusal struct {
	Job   string
	Index int
	// Unsatisfiable reports that no worker of the fleet could run the task even when empty.
	Unsatisfiable bool
	Reason        string
}

// Plan is the result of a decision. Reclaims come before the starts that need them.
type Plan struct {
	Reclaims []Reclaim
	Starts   []Start
	Refusals []Refusal
}

// Decide returns the plan for a snapshot. It is deterministic.
func Decide(s Snapshot) Plan {
	p := newPlanner(s)
	p.reclaimOvercommitted()
	p.placeUrgent()
	p.restoreThrottled()
	p.placeWithinQuota()
	p.placeBorrowed()
	return p.plan
}
