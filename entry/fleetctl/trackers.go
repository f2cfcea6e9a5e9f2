package fleetctl

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// absence says since when instances miss from the platform's list.
type absenceTracker map[fleet.InstanceID]time.Time

// note returns for how long an instance has been missing.
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

// states says since when this holder has seen instances in their states.
type stateTracker map[fleet.InstanceID]observedState

type observedState struct {
	state       fleet.State
	recordSince time.Time // the record's own time, only compared for equality
	firstSeen   time.Time
}

// note returns for how long this holder has seen the record as it is. Another
// holder's clock has no part in it.
func (s stateTracker) update(record fleet.Record, now time.Time) time.Duration {
	seen, known := s[record.ID]
	if !known || seen.state != record.State || !seen.recordSince.Equal(record.Since) {
		seen = observedState{record.State, record.Since, now}
		s[record.ID] = seen
	}
	return now.Sub(seen.firstSeen)
}

// forget drops what is held of an instance that left the fleet record.
func (c *Controller) forget(id fleet.InstanceID) {
	delete(c.absences, id)
	delete(c.states, id)
}
