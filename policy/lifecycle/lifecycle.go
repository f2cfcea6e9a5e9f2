// Package lifecycle decides the next step of one instance in its life in a pool.
// A move goes serving, draining, released, serving; each step is one change of
// the record, so that another holder of the duty goes on where one stopped.
package lifecycle

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Timings bound the steps of an instance.
type Timings struct {
	// AbsentGrace is how long an instance may miss from the lagging list.
	AbsentGrace time.Duration
	// ForgetAfter is how long a failed instance stays in its pool once absent.
	ForgetAfter time.Duration
	// DrainMinimum is the shortest drain; routing tables are level by then.
	DrainMinimum time.Duration
	// DrainLimit ends a drain whose work does not.
	DrainLimit time.Duration
	// OverdueFactor times the expected duration is when maintenance counts as failed.
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

// Observation is what is known of an instance now.
type Observation struct {
	Listed    bool // named by the platform's list
	Leaving   bool
	Healthy   bool
	AbsentFor time.Duration // since the list last named it; zero while Listed
	Idle      bool          // no work in progress
	// InState is how long the observer has seen the record in its state. It comes
	// from the observer's own clock: the record's time may be another clock's.
	InState time.Duration
}

// Intent is what the plans want of an instance.
type Intent struct {
	// Pool is where it shall serve; empty means in no pool.
	Pool   string
	Reason explain.Reason // why there, or why nowhere
	// Maintain asks for maintenance that takes about Duration.
	Maintain bool
	Duration time.Duration
}

// Step is the next change of a record.
type Step struct {
	Record fleet.Record
	Action explain.Action
	Reason explain.Reason
	// Voluntary says that the step needs a grant of the pool's availability budget.
	Voluntary bool
	// Forget says that the record is to be removed.
	Forget bool
	// Reboot says that the platform shall be asked to start the maintenance.
	Reboot bool
}

// Changed reports whether the step alters the record.
func (s Step) Changed() bool { return s.Action != explain.ActionStay }

// Next returns the next step of the record.
func (t Timings) Next(record fleet.Record, seen Observation, intent Intent, now time.Time) Step {
	s := stepper{Timings: t, record: record, seen: seen, intent: intent, now: now}
	if s.forgotten() {
		return Step{Record: record, Action: explain.ActionForget, Reason: explain.ReasonForgotten, Forget: true}
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
	record fleet.Record
	seen   Observation
	intent Intent
	now    time.Time
}

// stay leaves the record as it is.
func (s stepper) stay(reason explain.Reason) Step {
	return Step{Record: s.record, Action: explain.ActionStay, Reason: reason}
}

// become returns the step to a state, in the pool that the record names.
func (s stepper) become(state fleet.State, action explain.Action, reason explain.Reason) Step {
	next := s.record
	next.State = state
	next.Reason = string(reason)
	next.Epoch++
	next.Since = s.now
	return Step{Record: next, Action: action, Reason: reason}
}

func (s stepper) absent() bool { return !s.seen.Listed && s.seen.AbsentFor >= s.AbsentGrace }

// forgotten says whether the platform gave the instance up. One under maintenance
// is expected to be absent.
func (s stepper) forgotten() bool {
	inUse := s.record.State != fleet.StateReleased && s.record.State != fleet.StateFailed
	return !inUse && !s.seen.Listed && s.seen.AbsentFor >= s.ForgetAfter
}

func (s stepper) fit() bool { return s.seen.Listed && !s.seen.Leaving && s.seen.Healthy }

// wanted says whether the instance shall stay in the pool of its record.
func (s stepper) wanted() bool {
	return s.record.DrainRequested == nil && s.intent.Pool == s.record.Pool
}

func (s stepper) released() Step {
	reason := s.idleReason()
	if reason != "" {
		return s.idle(reason)
	}
	step := s.become(fleet.StateServing, explain.ActionAssign, s.intent.Reason)
	step.Record.Pool = s.intent.Pool
	step.Record.Target = ""
	return step
}

// idleReason says why a released instance is not assigned; empty if it shall be.
func (s stepper) idleReason() explain.Reason {
	switch {
	case s.record.DrainRequested != nil:
		return explain.ReasonOperatorDrain
	case s.absent():
		return explain.ReasonAbsent
	case s.seen.Leaving:
		return explain.ReasonLeaving
	case !s.seen.Healthy:
		return explain.ReasonUnhealthy
	case s.intent.Pool == "":
		return s.intent.Reason
	default:
		return ""
	}
}

// idle keeps an instance in no pool, and notes why if the reason changed.
func (s stepper) idle(reason explain.Reason) Step {
	if s.record.Reason == string(reason) {
		return s.stay(reason)
	}
	step := s.become(fleet.StateReleased, explain.ActionIdle, reason)
	step.Record.Since = s.record.Since
	return step
}

// whyUnhealthy names the reason of an instance that does not count as healthy: the
// platform's list no longer has it, or it does not answer.
func (s stepper) whyUnhealthy() explain.Reason {
	if !s.seen.Listed {
		return explain.ReasonAbsent
	}
	return explain.ReasonUnhealthy
}

func (s stepper) serving() Step {
	switch {
	case s.absent():
		return s.become(fleet.StateFailed, explain.ActionFail, explain.ReasonAbsent)
	case s.seen.Leaving:
		return s.become(fleet.StateDraining, explain.ActionDrain, explain.ReasonLeaving)
	case !s.seen.Healthy:
		return s.become(fleet.StateFailed, explain.ActionFail, s.whyUnhealthy())
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
	step := s.become(fleet.StateDraining, explain.ActionDrain, reason)
	step.Record.Target = target
	step.Voluntary = true
	return step
}

func (s stepper) draining() Step {
	switch {
	case s.absent():
		return s.become(fleet.StateFailed, explain.ActionFail, explain.ReasonAbsent)
	case s.seen.Leaving:
		return s.stay(explain.ReasonLeaving)
	case !s.drained():
		return s.whileDraining()
	case s.forMaintenance() && s.wanted():
		return s.become(fleet.StateMaintenance, explain.ActionMaintain, explain.ReasonMaintenanceDue)
	case s.wanted() && s.seen.Healthy:
		return s.resume(explain.ReasonIntentReverted)
	default:
		return s.release(explain.ReasonDrained)
	}
}

// whileDraining takes a drain back that is no longer wanted.
func (s stepper) whileDraining() Step {
	if s.wanted() && !s.forMaintenance() && s.seen.Healthy {
		return s.resume(explain.ReasonUndrained)
	}
	return s.stay(explain.Reason(s.record.Reason))
}

func (s stepper) forMaintenance() bool {
	return s.record.Reason == string(explain.ReasonMaintenanceDue)
}

func (s stepper) drained() bool {
	if s.seen.InState < s.DrainMinimum {
		return false
	}
	return s.seen.Idle || s.seen.InState >= s.DrainLimit
}

func (s stepper) release(reason explain.Reason) Step {
	step := s.become(fleet.StateReleased, explain.ActionRelease, reason)
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
	step := s.become(fleet.StateServing, explain.ActionResume, reason)
	step.Record.Target = ""
	return step
}

// maintenance asks for the reboot until the platform has taken it, then waits for
// the instance to come back.
func (s stepper) maintenance() Step {
	age := s.seen.InState
	switch {
	case s.forMaintenance():
		step := s.become(fleet.StateMaintenance, explain.ActionMaintain, explain.ReasonMaintenanceRunning)
		step.Reboot = true
		return step
	case age >= s.intent.Duration && s.fit():
		return s.maintained()
	case age >= time.Duration(s.OverdueFactor)*max(s.intent.Duration, s.AbsentGrace):
		return s.become(fleet.StateFailed, explain.ActionFail, explain.ReasonMaintenanceOverdue)
	default:
		return s.stay(explain.ReasonMaintenanceRunning)
	}
}

func (s stepper) maintained() Step {
	s.record.LastMaintained = s.now
	if s.wanted() {
		return s.resume(explain.ReasonMaintenanceDone)
	}
	return s.release(explain.ReasonMaintenanceDone)
}

func (s stepper) failed() Step {
	switch {
	case !s.fit():
		return s.stay(explain.Reason(s.record.Reason))
	case s.wanted():
		return s.resume(explain.ReasonRecovered)
	default:
		return s.release(explain.ReasonRecovered)
	}
}
