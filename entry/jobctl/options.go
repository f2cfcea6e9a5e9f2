// Package jobctl places the tasks of jobs on the workers of one availability zone and
// tracks them until they end. Its controller runs on the instance that holds the
// zone's duty. Decisions come from policy/placement, policy/tasks and
// policy/attribution. A start is a compare-and-swap of a job's page, followed by an
// idempotent command to a worker.
package jobctl

import (
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/rounds"
	"github.com/tarragonreach/tarragonreach/entry/storecache"
	"github.com/tarragonreach/tarragonreach/platform"
)

// Term is one term of a duty.
type Term = rounds.Term

// Recorder stores decision records.
type Recorder interface {
	Record(record explain.Record)
}

// Options configure a controller.
type Options struct {
	Zone fleet.AvailabilityZone
	// Store is the store with writes fenced to the term of the duty.
	Store platform.Store
	// Cache holds the job pages.
	Cache   *storecache.Cache
	List    platform.InstanceList
	Workers platform.Workers
	Config  func() *object.Config
	// FleetRecord returns an instance's record in the fleet record, and whether there is one.
	FleetRecord func(id fleet.InstanceID) (fleet.Record, bool)
	Recorder    Recorder
	Now         func() time.Time
	// Logger receives changes of state; nil discards them.
	Logger *slog.Logger
}

// ReconcileInterval is the time between the starts of two reconciliations. It allows
// three reconciliations within the time in which an urgent task must start.
const ReconcileInterval = 500 * time.Millisecond

const (
	// maxEstimatedJobs bounds the jobs whose resource use is estimated from their usage.
	maxEstimatedJobs = 5000
	// maxPendingTasks bounds the waiting tasks that one reconciliation considers.
	maxPendingTasks = 500
)
