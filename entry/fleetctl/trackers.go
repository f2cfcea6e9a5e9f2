package fleetctl

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// absenceTracker holds since when instances have been absent from the platform's list.
type absenceTracker map[fleet.InstanceID]time.Time

// update records whether the instance is listed and returns how long it has been absent.
func (a absenceTracker) update(id fleet.InstanceID, listed bool, now time.Time) time.Duration {
	if listed {
		delete(a, id)
		return 0
	}
	if _, known := a[id]; !known {
		a[id] = now
	}
	return now.Sub(a[id])
}

// stateTracker holds since when this holder has observed instances in their states.
type stateTracker map[fleet.InstanceID]observedState

type observedState struct {
	state       fleet.State
	recordSince time.Time // the record's time, from the writer's clock; only compared for equality
	firstSeen   time.Time
}

// update returns how long this holder has observed the record in its state. It uses
// only this holder's clock, since the record's times may come from another holder.
func (s stateTracker) update(record fleet.Record, now time.Time) time.Duration {
	seen, known := s[record.ID]
	if !known || seen.state != record.State || !seen.recordSince.Equal(record.Since) {
		seen = observedState{record.State, record.Since, now}
		s[record.ID] = seen
	}
	return now.Sub(seen.firstSeen)
}

// forget drops the tracked times of an instance that was removed from the fleet record.
func (c *Controller) forget(id fleet.InstanceID) {
	delete(c.absences, id)
	delete(c.states, id)
}
