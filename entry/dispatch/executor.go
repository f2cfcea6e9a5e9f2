// Package dispatch holds the live state of a service's executors and its queue of
// requests, and matches the two. Time and randomness are arguments, so that the
// same code runs in the gateway and under measurement in virtual time.
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

// Executor is the live state of one backend server of a service. The path of a
// request reads and writes its atomics only; the lock guards changes of health.
type Executor struct {
	ID          fleet.InstanceID
	Address     string // host:port
	Zone        fleet.AvailabilityZone
	Slots       int
	Connections int // this entry instance's share

	inFlight atomic.Int64
	limit    atomic.Int64 // share of the slots, lowered by ramp and busy answers
	state    atomic.Uint32
	trial    atomic.Bool // a request on probation is in flight
	latency  Average
	ramp     atomic.Uint64 // float64 bits

	successes   atomic.Int64
	failures    atomic.Int64
	consecutive atomic.Int64
	answered    atomic.Int64 // time of the last success, nanoseconds since the epoch
	busyUntil   atomic.Int64 // nanoseconds since the epoch
	busyLimit   atomic.Int64 // holds until busyUntil

	mu     sync.Mutex
	member health.Member
	since  time.Time // start of slow start

	// The part of the slots by the division between entry instances: as used now,
	// and as it will be from growAt.
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

// State returns whether the executor is healthy, ejected or on probation.
func (e *Executor) State() health.State { return health.State(e.state.Load()) }

// InFlight returns the requests of this entry instance that run there.
func (e *Executor) InFlight() int { return int(e.inFlight.Load()) }

// Limit returns the requests that this entry instance may run there at once.
func (e *Executor) Limit() int { return int(e.limit.Load()) }

// RespondedSince reports whether the executor has answered any request since t. One
// that has is reachable, so that an overdue answer is a slow one.
func (e *Executor) RespondedSince(t time.Time) bool { return e.answered.Load() >= t.UnixNano() }

// tryAcquire takes a slot below the limit.
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

// tryTrial takes the single slot of an executor on probation.
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
		Consecutive: int(e.consecutive.Load()),
	}
}

// resetWindow forgets recent outcomes.
func (e *Executor) resetWindow() {
	e.successes.Store(0)
	e.failures.Store(0)
	e.consecutive.Store(0)
}

// halveWindow makes older outcomes count less.
func (e *Executor) halveWindow() {
	e.successes.Store(e.successes.Load() / 2)
	e.failures.Store(e.failures.Load() / 2)
}

// refreshLimit recomputes ramp and limit; the lock is held.
func (e *Executor) refreshLimit(now time.Time) {
	if e.nextShare > e.share && !now.Before(e.growAt) {
		e.share = e.nextShare
	}
	ramp := routing.Ramp(now.Sub(e.since))
	limit := routing.RampedLimit(e.share, ramp)
	if now.UnixNano() < e.busyUntil.Load() {
		limit = min(limit, int(e.busyLimit.Load()))
	}
	e.ramp.Store(math.Float64bits(ramp))
	e.limit.Store(int64(limit))
}
