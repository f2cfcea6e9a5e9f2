// Package dispatch holds the live state of a service's executors and its queue of
// requests, and assigns requests to executors' slots. Time and randomness are arguments,
// so that the same code runs in the gateway and in simulations in virtual time.
package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/policy/health"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// Executor is the live state of one backend server of a service. Taking a slot, and
// releasing it after a success of a healthy executor, use only the atomics; the lock
// guards health and the share of the slots.
type Executor struct {
	ID          fleet.InstanceID
	Address     string // host:port
	Zone        fleet.AvailabilityZone
	Slots       int
	Connections int // this entry instance's share

	inFlight atomic.Int64
	limit    atomic.Int64 // share of the slots, reduced during slow start and after a busy response
	state    atomic.Uint32
	trial    atomic.Bool // a trial request is in flight while on probation
	latency  Average
	ramp     atomic.Uint64 // share of the full load during slow start, up to 1, as float64 bits

	successes           atomic.Int64
	failures            atomic.Int64
	consecutiveFailures atomic.Int64
	lastSuccess         atomic.Int64 // time of the last success, nanoseconds since the epoch
	busyUntil           atomic.Int64 // nanoseconds since the epoch
	busyLimit           atomic.Int64 // upper bound of limit until busyUntil

	mu        sync.Mutex
	member    health.Member
	slowStart time.Time // start of slow start

	// The slots allocated to this entry instance: those usable now, and those usable from
	// growAt.
	share     int
	nextShare int
	growAt    time.Time
}

// Load implements routing.Candidate.
func (e *Executor) Load() routing.Load {
	return routing.Load{
		InFlight: int(e.inFlight.Load()),
		Limit:    int(e.limit.Load()),
		Latency:  e.latency.Value(),
		Ramp:     math.Float64frombits(e.ramp.Load()),
		Usable:   e.State() == health.Healthy,
	}
}

// State returns the executor's health: healthy, ejected or on probation.
func (e *Executor) State() health.State { return health.State(e.state.Load()) }

// InFlight returns the number of this entry instance's requests at the executor.
func (e *Executor) InFlight() int { return int(e.inFlight.Load()) }

// Limit returns the number of concurrent requests that this entry instance may have at
// the executor.
func (e *Executor) Limit() int { return int(e.limit.Load()) }

// RespondedSince reports whether any request at the executor has succeeded since t. If so,
// it is reachable, and an overdue response is only slow.
func (e *Executor) RespondedSince(t time.Time) bool { return e.lastSuccess.Load() >= t.UnixNano() }

// tryAcquire takes a slot and reports whether one was free below the limit.
func (e *Executor) tryAcquire() bool {
	for {
		n := e.inFlight.Load()
		if n >= e.limit.Load() {
			return false
		}
		if e.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// tryTrial takes the only slot of an executor on probation and reports whether it was
// free.
func (e *Executor) tryTrial() bool {
	if e.State() != health.Probation || !e.trial.CompareAndSwap(false, true) {
		return false
	}
	e.inFlight.Add(1)
	return true
}

// window returns the recent outcomes.
func (e *Executor) window() health.Window {
	return health.Window{
		Successes:   int(e.successes.Load()),
		Failures:    int(e.failures.Load()),
		Consecutive: int(e.consecutiveFailures.Load()),
	}
}

// resetWindow clears the recent outcomes.
func (e *Executor) resetWindow() {
	e.successes.Store(0)
	e.failures.Store(0)
	e.consecutiveFailures.Store(0)
}

// decayWindow halves the weight of the outcomes so far.
func (e *Executor) decayWindow() {
	e.successes.Store(e.successes.Load() / 2)
	e.failures.Store(e.failures.Load() / 2)
}

// refreshLimit recomputes the share, ramp and limit at now; the lock is held.
func (e *Executor) refreshLimit(now time.Time) {
	if e.nextShare > e.share && !now.Before(e.growAt) {
		e.share = e.nextShare
	}
	ramp := routing.Ramp(now.Sub(e.slowStart))
	limit := routing.RampedLimit(e.share, ramp)
	if now.UnixNano() < e.busyUntil.Load() {
		limit = min(limit, int(e.busyLimit.Load()))
	}
	e.ramp.Store(math.Float64bits(ramp))
	e.limit.Store(int64(limit))
}
