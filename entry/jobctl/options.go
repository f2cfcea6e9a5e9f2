// Package jobctl places the tasks of jobs on the workers of one availability zone
// and follows them, while it holds the zone's duty. Decisions come from
// policy/placement, policy/tasks and policy/attribution; each effect is a
// compare-and-swap of a job's page followed by an idempotent command to a worker.
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

// Recorder takes decision records.
type Recorder interface {
	Record(record explain.Record)
}

// Options are what a controller works with.
type Options struct {
	Zone fleet.AvailabilityZone
	// Store is the store as the holder of the duty may write it.
	Store platform.Store
	// Cache holds the job pages.
	Cache   *storecache.Cache
	List    platform.InstanceList
	Workers platform.Workers
	Config  func() *object.Config
	// Record returns the fleet's record of an instance, and whether there is one.
	Record   func(id fleet.InstanceID) (fleet.Record, bool)
	Recorder Recorder
	Now      func() time.Time
	// Logger gets changes of state; nil discards them.
	Logger *slog.Logger
}

// ReconcileInterval is the pause between two rounds. It leaves an urgent task three
// rounds within the time in which it must start.
const ReconcileInterval = 500 * time.Millisecond

const (
	// maxJobsLearned bounds the jobs whose use is remembered.
	maxEstimatedJobs = 5000
	// maxPending bounds the tasks that one round places.
	maxPendingTasks = 500
)
