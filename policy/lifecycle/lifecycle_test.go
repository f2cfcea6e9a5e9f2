package lifecycle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
)

var (
	now     = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)
	healthy = Observation{Listed: true, Healthy: true, Idle: true, InState: time.Minute}
	inPoolA = Intent{Pool: "a", Duration: 30 * time.Minute}
)

func absentFor(d time.Duration) Observation { return Observation{AbsentFor: d, InState: d} }

func TestNext(t *testing.T) {
	drainRequest := &fleet.DrainRequest{Reason: "noise"}
	leaving, busy, justStarted, unhealthy := healthy, healthy, healthy, healthy
	leaving.Leaving, busy.Idle, justStarted.InState, unhealthy.Healthy = true, false, time.Second, false
	overLimit := busy
	overLimit.InState = time.Hour
	toB := Intent{Pool: "b", Reason: explain.ReasonPoolBelowTarget}
	maintain := Intent{Pool: "a", Maintain: true}
	due := string(explain.ReasonMaintenanceDue)
	running := string(explain.ReasonMaintenanceRunning)
	for _, tc := range []struct {
		name     string
		record   fleet.Record
		observed Observation
		intent   Intent
		state    fleet.State
		pool     string
		reason   explain.Reason
	}{
		{"released is assigned", fleet.Record{State: fleet.StateReleased}, healthy, toB, "serving", "b", explain.ReasonPoolBelowTarget},
		{"released without a pool keeps the reason", fleet.Record{State: fleet.StateReleased}, healthy, Intent{Reason: explain.ReasonSurplus}, "released", "", explain.ReasonSurplus},
		{"released by the operator stays", fleet.Record{State: fleet.StateReleased, DrainRequested: drainRequest}, healthy, toB, "released", "", explain.ReasonOperatorDrain},
		{"released and unhealthy stays", fleet.Record{State: fleet.StateReleased}, unhealthy, toB, "released", "", explain.ReasonUnhealthy},
		{"serving stays", fleet.Record{State: fleet.StateServing, Pool: "a"}, healthy, inPoolA, "serving", "a", ""},
		{"serving is moved", fleet.Record{State: fleet.StateServing, Pool: "a"}, healthy, toB, "draining", "a", explain.ReasonPoolBelowTarget},
		{"serving is drained by the operator", fleet.Record{State: fleet.StateServing, Pool: "a", DrainRequested: drainRequest}, healthy, inPoolA, "draining", "a", explain.ReasonOperatorDrain},
		{"serving is maintained", fleet.Record{State: fleet.StateServing, Pool: "a"}, healthy, maintain, "draining", "a", explain.ReasonMaintenanceDue},
		{"serving and leaving is drained", fleet.Record{State: fleet.StateServing, Pool: "a"}, leaving, inPoolA, "draining", "a", explain.ReasonLeaving},
		{"a short absence is ignored, the list lags", fleet.Record{State: fleet.StateServing, Pool: "a"}, Observation{Healthy: true, AbsentFor: time.Second}, inPoolA, "serving", "a", ""},
		{"a long absence is a failure", fleet.Record{State: fleet.StateServing, Pool: "a"}, absentFor(time.Minute), inPoolA, "failed", "a", explain.ReasonAbsent},
		{"draining takes its minimum time", fleet.Record{State: fleet.StateDraining, Pool: "a", Reason: "x"}, justStarted, toB, "draining", "a", "x"},
		{"draining waits for work in progress", fleet.Record{State: fleet.StateDraining, Pool: "a", Reason: "x"}, busy, toB, "draining", "a", "x"},
		{"draining ends at its limit", fleet.Record{State: fleet.StateDraining, Pool: "a"}, overLimit, toB, "released", "", explain.ReasonDrained},
		{"drained is released", fleet.Record{State: fleet.StateDraining, Pool: "a"}, healthy, toB, "released", "", explain.ReasonDrained},
		{"an unwanted drain is cancelled", fleet.Record{State: fleet.StateDraining, Pool: "a"}, busy, inPoolA, "serving", "a", explain.ReasonUndrained},
		{"drained for maintenance is maintained", fleet.Record{State: fleet.StateDraining, Pool: "a", Reason: due}, healthy, inPoolA, "maintenance", "a", explain.ReasonMaintenanceDue},
		{"reboot is requested", fleet.Record{State: fleet.StateMaintenance, Pool: "a", Reason: due}, healthy, inPoolA, "maintenance", "a", explain.ReasonMaintenanceRunning},
		{"maintenance continues for its duration", fleet.Record{State: fleet.StateMaintenance, Pool: "a", Reason: running}, healthy, inPoolA, "maintenance", "a", explain.ReasonMaintenanceRunning},
		{"maintained is serving again", fleet.Record{State: fleet.StateMaintenance, Pool: "a", Reason: running}, Observation{Listed: true, Healthy: true, InState: time.Hour}, inPoolA, "serving", "a", explain.ReasonMaintenanceDone},
		{"maintenance that does not end fails", fleet.Record{State: fleet.StateMaintenance, Pool: "a", Reason: running}, absentFor(3 * time.Hour), inPoolA, "failed", "a", explain.ReasonMaintenanceOverdue},
		{"serving and unhealthy fails", fleet.Record{State: fleet.StateServing, Pool: "a"}, unhealthy, inPoolA, "failed", "a", explain.ReasonUnhealthy},
		{"serving, unhealthy and just missing from the list fails as absent", fleet.Record{State: fleet.StateServing, Pool: "a"}, Observation{AbsentFor: time.Second}, inPoolA, "failed", "a", explain.ReasonAbsent},
		{"failed recovers", fleet.Record{State: fleet.StateFailed, Pool: "a"}, healthy, inPoolA, "serving", "a", explain.ReasonRecovered},
		{"failed and unwanted is released", fleet.Record{State: fleet.StateFailed, Pool: "a"}, healthy, toB, "released", "", explain.ReasonRecovered},
	} {
		step := DefaultTimings().Next(tc.record, tc.observed, tc.intent, now)
		assert.Equal(t, step.Record.State, tc.state, tc.name)
		assert.Equal(t, step.Record.Pool, tc.pool, tc.name)
		assert.Equal(t, step.Reason, tc.reason, tc.name)
		wantVoluntary := tc.state == fleet.StateDraining && tc.record.State == fleet.StateServing && tc.reason != explain.ReasonLeaving
		assert.Equal(t, step.Voluntary, wantVoluntary, tc.name)
		assert.Equal(t, step.Changed(), step.Record.Epoch > tc.record.Epoch, tc.name)
	}
}

func TestOnlyInstancesOutOfUseAreForgotten(t *testing.T) {
	absent := absentFor(time.Hour)
	for state, want := range map[fleet.State]bool{
		fleet.StateReleased: true, fleet.StateFailed: true, fleet.StateServing: false, fleet.StateMaintenance: false,
	} {
		step := DefaultTimings().Next(fleet.Record{State: state, Pool: "a"}, absent, inPoolA, now)
		assert.Equal(t, step.Forget, want, state)
	}
}
