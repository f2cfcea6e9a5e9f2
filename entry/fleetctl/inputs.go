package fleetctl

import (
	"errors"
	"log/slog"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/entry/rounds"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/policy/capacity"
	"github.com/tarragonreach/tarragonreach/policy/lifecycle"
	"github.com/tarragonreach/tarragonreach/policy/maintenance"
)

// Errors of controllers and operations.
var (
	ErrSuperseded       = errors.New("a later holder of the duty wrote the fleet record")
	ErrUnknownInstance  = errors.New("instance is not in the fleet record")
	ErrTooManyConflicts = errors.New("the record kept changing; try again")
)

// Term is one term of a duty.
type Term = rounds.Term

// Health reports the health of instances as observed by the request path.
type Health interface {
	// Healthy returns whether the instance responds; known is false without observations.
	Healthy(id fleet.InstanceID) (healthy, known bool)
}

// Work reports the work in progress on instances.
type Work interface {
	// Idle reports whether no work is in progress on the instance.
	Idle(id fleet.InstanceID) bool
	// Deadline returns the nearest deadline of a batch on the instance; zero if none.
	Deadline(id fleet.InstanceID) time.Time
}

// Demand reports how much of a pool is in use.
type Demand interface {
	// Demand returns the demand in one availability zone, in busy instances, and
	// whether it is known.
	Demand(pool string, zone fleet.AvailabilityZone) (instances float64, known bool)
}

// Recorder stores decision records.
type Recorder interface {
	Record(record explain.Record)
}

// Options configure a controller. Health, Work and Demand may be nil: without Health
// every listed instance counts as healthy, without Work a drain lasts until its time
// limit, and without Demand a pool takes every instance that its selector matches.
type Options struct {
	Zone      fleet.AvailabilityZone
	Store     platform.Store
	View      *fleetview.View
	List      platform.InstanceList
	Instances platform.Instances
	Config    func() *object.Config
	Health    Health
	Work      Work
	Demand    Demand
	Recorder  Recorder
	Now       func() time.Time
	// Logger receives changes of state; nil discards them.
	Logger   *slog.Logger
	Timings  lifecycle.Timings
	Failures maintenance.FailureLimits
	// Hysteresis and HalfLife control how fast a pool's need follows its demand.
	Hysteresis capacity.Hysteresis
	HalfLife   time.Duration
	// Quantile is the quantile of the demand that a pool is sized for.
	Quantile float64
	// GrantTTL is the time after which an unused grant is revoked.
	GrantTTL time.Duration
	// ReplaceAfter is how long the plan still counts a failed instance in its pool.
	ReplaceAfter time.Duration
}

// WithDefaults returns the options with every unset timing at its default.
func (o Options) WithDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Timings == (lifecycle.Timings{}) {
		o.Timings = lifecycle.DefaultTimings()
	}
	if o.Failures == (maintenance.FailureLimits{}) {
		o.Failures = maintenance.DefaultFailureLimits()
	}
	if o.Hysteresis == (capacity.Hysteresis{}) {
		o.Hysteresis = capacity.DefaultHysteresis()
	}
	if o.HalfLife == 0 {
		o.HalfLife = capacity.DefaultHalfLife
	}
	if o.Quantile == 0 {
		o.Quantile = capacity.DefaultQuantile
	}
	if o.GrantTTL == 0 {
		o.GrantTTL = defaultGrantTTL
	}
	if o.ReplaceAfter == 0 {
		o.ReplaceAfter = defaultReplaceAfter
	}
	return o
}

const (
	defaultGrantTTL     = 2 * time.Minute
	defaultReplaceAfter = 10 * time.Minute
)
