// Package lifecycle decides the next state change of one instance. A move to another
// pool goes through the states serving, draining, released, serving; each step is one
// change of the record, so that another holder of the duty can continue at any step.
package lifecycle

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Timings bound the steps of an instance.
type Timings struct {
	// AbsentGrace is how long an instance may be missing from the list, which lags,
	// before it counts as absent.
	AbsentGrace time.Duration
	// ForgetAfter is how long an instance that is failed or released may be missing from
	// the list before its record is removed.
	ForgetAfter time.Duration
	// DrainMinimum is the shortest drain; all routing tables are up to date by then.
	DrainMinimum time.Duration
	// DrainLimit is the longest drain; it ends then even if work is still in progress.
	DrainLimit time.Duration
	// OverdueFactor is the multiple of the expected duration after which maintenance
	// counts as failed.
	OverdueFactor int
}

// DefaultTimings returns the timings of a deployment that sets none.
func DefaultTimings() Timings {
	return Timings{
		AbsentGrace:   15 * time.Second,
		ForgetAfter:   10 * time.Minute,
		DrainMinimum:  5 * time.Second,
		DrainLimit:    10 * time.Minute,
		OverdueFactor: 4,
	}
}

// Observation is the current state of an instance as its observer sees it.
type Observation struct {
	Listed    bool // present in the platform's list
	Leaving   bool
	Healthy   bool
	AbsentFor time.Duration // time since it was last listed; zero while Listed
	Idle      bool          // no work in progress
	// InState is how long the observer has seen the record in its state. It is measured
	// by the observer's own clock, since the record's time may come from another clock.
	InState time.Duration
}

// Intent is the state that the plans require of an instance.
type Intent struct {
	// Pool is the pool in which it should serve; empty for none.
	Pool   string
	Reason explain.Reason // why in this pool, or why in none
	// Maintain requests maintenance that takes about Duration.
	Maintain bool
	Duration time.Duration
}

// Step is the next change of a record.
type Step struct {
	Record fleet.Record
	Action explain.Action
	Reason explain.Reason
	// Voluntary is set if the step needs a grant from the pool's availability budget.
	Voluntary bool
	// Forget is set if the record is to be removed.
	Forget bool
	// Reboot is set if the caller must request the maintenance from the platform.
	Reboot bool
}

// Changed reports whether the step alters the record.
func (s Step) Changed() bool { return s.Action != explain.ActionStay }

// Next returns the next step of the record.
func (t Timings) Next(record fleet.Record, observed Observation, intent Intent, now time.Time) Step {
	s := stepper{Timings: t, record: record, observed: observed, intent: intent, now: now}
	if s.shouldForget() {
		return Step{Record: record, Action: explain.ActionForget, Reason: explain.ReasonAbsentForLong, Forget: true}
	}
	switch record.State {
	case fleet.StateReleased:
		return s.released()
	case fleet.StateServing:
		return s.serving()
	case fleet.StateDraining:
		return s.draining()
	case fleet.StateMaintenance:
		return s.maintenance()
	default:
		return s.failed()
	}
}

type stepper struct {
	Timings
	record   fleet.Record
	observed Observation
	intent   Intent
	now      time.Time
}

// stay leaves the record as it is.
func (s stepper) stay(reason explain.Reason) Step {
	return Step{Record: s.record, Action: explain.ActionStay, Reason: reason}
}

// transition returns the step to a state; the record's pool stays.
func (s stepper) transition(state fleet.State, action explain.Action, reason explain.Reason) Step {
	next := s.record
	next.State = state
	next.Reason = string(reason)
	next.Epoch++
	next.Since = s.now
	return Step{Record: next, Action: action, Reason: reason}
}

func (s stepper) absent() bool { return !s.observed.Listed && s.observed.AbsentFor >= s.AbsentGrace }

// shouldForget reports whether the platform no longer has the instance, so that its
// record can be removed. An instance in maintenance is expected to be absent.
func (s stepper) shouldForget() bool {
	inUse := s.record.State != fleet.StateReleased && s.record.State != fleet.StateFailed
	return !inUse && !s.observed.Listed && s.observed.AbsentFor >= s.ForgetAfter
}

func (s stepper) usable() bool { return s.observed.Listed && !s.observed.Leaving && s.observed.Healthy }

// staysInPool reports whether the instance should stay in the pool of its record.
func (s stepper) staysInPool() bool {
	return s.record.DrainRequested == nil && s.intent.Pool == s.record.Pool
}

func (s stepper) released() Step {
	reason := s.unassignedReason()
	if reason != "" {
		return s.stayReleased(reason)
	}
	step := s.transition(fleet.StateServing, explain.ActionAssign, s.intent.Reason)
	step.Record.Pool = s.intent.Pool
	step.Record.Target = ""
	return step
}

// unassignedReason returns why a released instance is not assigned; empty if it is to be.
func (s stepper) unassignedReason() explain.Reason {
	switch {
	case s.record.DrainRequested != nil:
		return explain.ReasonOperatorDrain
	case s.absent():
		return explain.ReasonAbsent
	case s.observed.Leaving:
		return explain.ReasonLeaving
	case !s.observed.Healthy:
		return explain.ReasonUnhealthy
	case s.intent.Pool == "":
		return s.intent.Reason
	default:
		return ""
	}
}

// stayReleased keeps an instance out of all pools, and records the reason if it changed.
func (s stepper) stayReleased(reason explain.Reason) Step {
	if s.record.Reason == string(reason) {
		return s.stay(reason)
	}
	step := s.transition(fleet.StateReleased, explain.ActionIdle, reason)
	step.Record.Since = s.record.Since
	return step
}

// unhealthyReason returns why an instance does not count as healthy: it is missing from
// the platform's list, or it does not respond.
func (s stepper) unhealthyReason() explain.Reason {
	if !s.observed.Listed {
		return explain.ReasonAbsent
	}
	return explain.ReasonUnhealthy
}

func (s stepper) serving() Step {
	switch {
	case s.absent():
		return s.transition(fleet.StateFailed, explain.ActionFail, explain.ReasonAbsent)
	case s.observed.Leaving:
		return s.transition(fleet.StateDraining, explain.ActionDrain, explain.ReasonLeaving)
	case !s.observed.Healthy:
		return s.transition(fleet.StateFailed, explain.ActionFail, s.unhealthyReason())
	case s.record.DrainRequested != nil:
		return s.drain("", explain.ReasonOperatorDrain)
	case s.intent.Pool != s.record.Pool:
		return s.drain(s.intent.Pool, s.intent.Reason)
	case s.intent.Maintain:
		return s.drain(s.record.Pool, explain.ReasonMaintenanceDue)
	default:
		return s.stay(s.intent.Reason)
	}
}

func (s stepper) drain(target string, reason explain.Reason) Step {
	step := s.transition(fleet.StateDraining, explain.ActionDrain, reason)
	step.Record.Target = target
	step.Voluntary = true
	return step
}

func (s stepper) draining() Step {
	switch {
	case s.absent():
		return s.transition(fleet.StateFailed, explain.ActionFail, explain.ReasonAbsent)
	case s.observed.Leaving:
		return s.stay(explain.ReasonLeaving)
	case !s.drained():
		return s.continueDrain()
	case s.forMaintenance() && s.staysInPool():
		return s.transition(fleet.StateMaintenance, explain.ActionMaintain, explain.ReasonMaintenanceDue)
	case s.staysInPool() && s.observed.Healthy:
		return s.resume(explain.ReasonIntentReverted)
	default:
		return s.release(explain.ReasonDrained)
	}
}

// continueDrain continues a drain, or cancels it if it is no longer wanted.
func (s stepper) continueDrain() Step {
	if s.staysInPool() && !s.forMaintenance() && s.observed.Healthy {
		return s.resume(explain.ReasonUndrained)
	}
	return s.stay(explain.Reason(s.record.Reason))
}

func (s stepper) forMaintenance() bool {
	return s.record.Reason == string(explain.ReasonMaintenanceDue)
}

func (s stepper) drained() bool {
	if s.observed.InState < s.DrainMinimum {
		return false
	}
	return s.observed.Idle || s.observed.InState >= s.DrainLimit
}

func (s stepper) release(reason explain.Reason) Step {
	step := s.transition(fleet.StateReleased, explain.ActionRelease, reason)
	step.Record.Pool = ""
	step.Record.Target = s.intent.Pool
	if s.intent.Pool == "" && s.intent.Reason != "" {
		step.Record.Reason = string(s.intent.Reason)
	}
	if s.record.DrainRequested != nil {
		step.Record.Target = ""
		step.Record.Reason = string(explain.ReasonOperatorDrain)
	}
	return step
}

func (s stepper) resume(reason explain.Reason) Step {
	step := s.transition(fleet.StateServing, explain.ActionResume, reason)
	step.Record.Target = ""
	return step
}

// maintenance requests the reboot until the platform has accepted it, then waits for the
// instance to return.
func (s stepper) maintenance() Step {
	age := s.observed.InState
	switch {
	case s.forMaintenance():
		step := s.transition(fleet.StateMaintenance, explain.ActionMaintain, explain.ReasonMaintenanceRunning)
		step.Reboot = true
		return step
	case age >= s.intent.Duration && s.usable():
		return s.endMaintenance()
	case age >= time.Duration(s.OverdueFactor)*max(s.intent.Duration, s.AbsentGrace):
		return s.transition(fleet.StateFailed, explain.ActionFail, explain.ReasonMaintenanceOverdue)
	default:
		return s.stay(explain.ReasonMaintenanceRunning)
	}
}

func (s stepper) endMaintenance() Step {
	s.record.LastMaintained = s.now
	if s.staysInPool() {
		return s.resume(explain.ReasonMaintenanceDone)
	}
	return s.release(explain.ReasonMaintenanceDone)
}

func (s stepper) failed() Step {
	switch {
	case !s.usable():
		return s.stay(explain.Reason(s.record.Reason))
	case s.staysInPool():
		return s.resume(explain.ReasonRecovered)
	default:
		return s.release(explain.ReasonRecovered)
	}
}
