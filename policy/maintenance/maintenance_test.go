package maintenance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

const week = 7 * 24 * time.Hour

var (
	now  = time.Date(2026, 9, 1, 0, 0, 0, 0, time.UTC)
	plan = object.MaintenancePlan{Name: "patch", Period: object.Duration(7 * week), Duration: object.Duration(30 * time.Minute)}
)

// members returns serving instances, four to a rack, that were never maintained.
func members(zone fleet.AvailabilityZone, count int) []Instance {
	var out []Instance
	for i := range count {
		out = append(out, Instance{
			ID: fleet.InstanceID(fmt.Sprintf("%s-%02d", zone, i)), Zone: zone, Rack: fmt.Sprintf("r%02d", i/4),
			Pool: "batch", State: fleet.StateServing, Since: now.Add(-week),
		})
	}
	return out
}

func decide(instances []Instance, change func(*Input)) Decision {
	in := Input{Now: now, Plan: plan, Zone: "a", Instances: instances, Failures: DefaultFailureLimits()}
	if change != nil {
		change(&in)
	}
	return Decide(in)
}

func started(d Decision) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, choice := range d.Choices {
		if choice.Start {
			ids = append(ids, choice.ID)
		}
	}
	return ids
}

func TestWavesGoRackByRack(t *testing.T) {
	instances := members("a", 12)
	d := decide(instances, func(in *Input) { in.Plan.Duration = object.Duration(10 * 24 * time.Hour) })
	assert.DeepEqual(t, started(d), []fleet.InstanceID{"a-00", "a-01", "a-02", "a-03", "a-04", "a-05"})
	for i := range 4 {
		instances[i].LastMaintained = now
	}
	instances[4].State, instances[4].InMaintenance = fleet.StateMaintenance, true
	d = decide(instances, nil)
	assert.Equal(t, d.Status.Done, 4)
	assert.Equal(t, d.Choices[0].ID, fleet.InstanceID("a-05"))
	assert.Equal(t, d.Choices[0].Reason, explain.ReasonConcurrencyReached)
}

func TestRackJoinsTheWaveOfItsFirstDueInstance(t *testing.T) {
	instances := members("a", 8)
	for i := range instances {
		instances[i].LastMaintained = now.Add(-5 * week)
	}
	instances[2].LastMaintained = now.Add(-6 * week)
	instances[3].LastMaintained = now.Add(-week)
	d := decide(instances, nil)
	assert.Equal(t, len(d.Choices), 3, "the rack without its most recently maintained instance")
}

func TestActiveZoneRotatesAmongZonesWithWork(t *testing.T) {
	instances := append(members("a", 4), members("b", 4)...)
	activeHours := map[fleet.AvailabilityZone]int{}
	for hour := range 240 {
		d := decide(instances, func(in *Input) { in.Now = now.Add(time.Duration(hour) * time.Hour) })
		activeHours[d.Status.ActiveZone]++
		if d.Status.ActiveZone == "b" {
			assert.Equal(t, d.Choices[0].Reason, explain.ReasonOtherZone)
		}
	}
	assert.Assert(t, activeHours["a"] > 60 && activeHours["b"] > 60, "%v", activeHours)
	for i := range instances[:4] {
		instances[i].LastMaintained = now
	}
	assert.Equal(t, decide(instances, nil).Status.ActiveZone, fleet.AvailabilityZone("b"))
}

func TestObstacles(t *testing.T) {
	fail := func(instances []Instance, which ...int) []Instance {
		for _, i := range which {
			instances[i].State, instances[i].Since = fleet.StateFailed, now.Add(-time.Minute)
		}
		return instances
	}
	nearDeadline, overdue := members("a", 1), fail(members("a", 40), 0, 20)
	nearDeadline[0].Deadline = now.Add(time.Hour)
	overdue[0].Overdue, overdue[20].Overdue = true, true
	for _, tc := range []struct {
		name      string
		instances []Instance
		change    func(*Input)
		want      explain.Reason
	}{
		{"no obstacle", members("a", 4), nil, explain.ReasonMaintenanceDue},
		{"one failure is not correlated", fail(members("a", 4), 3), nil, explain.ReasonMaintenanceDue},
		{"two failures in a rack", fail(members("a", 490), 2, 3), nil, explain.ReasonRackFailures},
		{"failures in several racks of the zone", fail(members("a", 40), 7, 15, 23, 31), nil, explain.ReasonZoneFailures},
		{"old failures", fail(members("a", 4), 2, 3), func(in *Input) { in.Now = now.Add(time.Hour) }, explain.ReasonMaintenanceDue},
		{"two instances did not return from maintenance", overdue, nil, explain.ReasonZoneFailures},
		{"a batch near its deadline", nearDeadline, nil, explain.ReasonBatchDeadline},
		{"the batch's deadline is over", nearDeadline, func(in *Input) { in.Now = now.Add(2 * time.Hour) }, explain.ReasonMaintenanceDue},
		{"a spent budget", members("a", 1), func(in *Input) { in.BudgetLeft = map[string]int{"batch": 0} }, explain.ReasonBudgetSpent},
		{"paused by the operator", members("a", 1), func(in *Input) { in.Plan.Paused = true }, explain.ReasonPaused},
	} {
		d := decide(tc.instances, tc.change)
		assert.Equal(t, d.Choices[0].Reason, tc.want, tc.name)
		wavesContinue := tc.want == explain.ReasonMaintenanceDue || tc.want == explain.ReasonRackFailures
		assert.Equal(t, d.Status.Paused == "", wavesContinue, tc.name)
	}
}

func TestWaveSkipsPoolsWithASpentBudget(t *testing.T) {
	instances := members("a", 8)
	for i := range 4 {
		instances[i].Pool = "spent"
	}
	d := decide(instances, func(in *Input) { in.BudgetLeft = map[string]int{"spent": 0} })
	assert.DeepEqual(t, started(d), []fleet.InstanceID{"a-04"})
}

func TestThresholdKeepsFalseAlarmsRare(t *testing.T) {
	limits := DefaultFailureLimits()
	assert.Equal(t, limits.Threshold(4), 2)
	assert.Equal(t, limits.Threshold(490), 3)
	assert.Equal(t, limits.Threshold(6400), 6)
	assert.Equal(t, FailureLimits{}.Threshold(10), 2)
}

func TestParallel(t *testing.T) {
	assert.Equal(t, Parallel(plan, 6400, 0), 7)
	assert.Equal(t, Parallel(plan, 6400, 7*week), 26)
	assert.Equal(t, Parallel(plan, 10, 0), 1)
	assert.Equal(t, Parallel(object.MaintenancePlan{}, 10, 0), 0)
	capped := plan
	capped.MaxParallel = 2
	assert.Equal(t, Parallel(capped, 6400, 0), 2)
}
