// Package placement decides which tasks start on which workers, and which running
// tasks make way. It takes a snapshot and returns a plan; it keeps no state.
package placement

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
)

// Worker is one worker with what runs on it.
type Worker struct {
	ID       fleet.InstanceID
	Zone     fleet.AvailabilityZone
	Rack     string
	Labels   label.Set
	Capacity fleet.Resources
	// Unusable says why the worker takes no new tasks; empty where it does.
	Unusable string
	// Trust is 1 for a worker without a record of failures and falls to 0.
	Trust float64
	Tasks []Task
}

// Task is a task on a worker.
type Task struct {
	ID     fleet.TaskID
	Job    string
	Tenant string
	// Need is the estimated peak use.
	Need   fleet.Resources
	Urgent bool
	// Checkpointed is the time of the last checkpoint, or of the start.
	Checkpointed time.Time
	// Deadline is zero where there is none; Remaining is the estimated run time left.
	Deadline  time.Time
	Remaining time.Duration
	// Throttled says that the task's processor share is cut already.
	Throttled bool
}

// use is what the task takes now: its need, less what throttling saves.
func (t Task) use() fleet.Resources {
	if t.Throttled {
		return t.Need.Sub(saving(t))
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
	// Remaining is the declared run time left, zero where none is declared.
	Remaining time.Duration
	Since     time.Time
	// Avoid lists workers on which the task failed.
	Avoid []fleet.InstanceID
}

// late reports whether the task would miss its deadline even if it started now.
func (p Pending) late(now time.Time) bool {
	return !p.Deadline.IsZero() && now.Add(p.Remaining).After(p.Deadline)
}

// Tenant is a tenant's quota and what its tasks hold, estimated.
type Tenant struct {
	Name      string
	Quota     fleet.Resources
	Allocated fleet.Resources
}

// Snapshot is all that a decision rests on.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Pending []Pending
	Tenants []Tenant
}

// Start says where a pending task starts.
type Start struct {
	Pending Pending
	Worker  fleet.InstanceID
	// Borrowed says that the tenant goes beyond its quota with this start.
	Borrowed bool
	Reason   string
}

// ReclaimKind says how a running task makes way.
type ReclaimKind string

// The kinds of relief, from the mildest.
const (
	ReclaimThrottle   ReclaimKind = "throttle"
	ReclaimCheckpoint ReclaimKind = "checkpoint"
	// ReclaimRestore ends a throttling.
	ReclaimRestore ReclaimKind = "restore"
)

// Reclaim makes a running task give resources back.
type Reclaim struct {
	Kind   ReclaimKind
	Task   fleet.TaskID
	Worker fleet.InstanceID
	// Percent is the processor share that a throttled or restored task gets.
	Percent int
	Reason  string
}

// Refusal says why a pending task did not start.
type Refusal struct {
	Job   string
	Index int
	// Unsatisfiable says that no worker of the fleet could run the task even when empty.
	Unsatisfiable bool
	Reason        string
}

// Plan is the decision. Reliefs come before the starts that need them.
type Plan struct {
	Reclaims []Reclaim
	Starts   []Start
	Refusals []Refusal
}

// Decide returns the plan for a snapshot. The same snapshot gives the same plan.
func Decide(s Snapshot) Plan {
	p := newPlanner(s)
	p.relieveOvercommitted()
	p.placeUrgent()
	p.restoreThrottled()
	p.placeWithinQuota()
	p.placeBorrowed()
	return p.plan
}
