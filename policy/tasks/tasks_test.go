package tasks

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listedNow(fleet.InstanceID) time.Time { return now }

func TestStartIsGivenOnceAndNeverReusesItsID(t *testing.T) {
	page := NewPage(3, 2, 0, now)
	started, first, err := Start(page, "parcels", 1, "w-1", "palermo", fleet.Resources{}, now)
	assert.NilError(t, err)
	_, _, err = Start(started, "parcels", 1, "w-2", "palermo", fleet.Resources{}, now)
	assert.ErrorContains(t, err, "not pending")

	failed, changes := Observe(started, "palermo", map[fleet.TaskID]Report{first: {Ended: EndedFailed}}, listedNow, now)
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, failed.Tasks[1].Avoid, []fleet.InstanceID{"w-1"})
	_, second, err := Start(failed, "parcels", 1, "w-2", "palermo", fleet.Resources{}, now)
	assert.NilError(t, err)
	assert.Assert(t, first != second)
}

func TestObserveFollowsReports(t *testing.T) {
	for _, tc := range []struct {
		ended EndReason
		want  fleet.TaskPhase
	}{
		{EndedSucceeded, fleet.TaskDone},
		{EndedFailed, fleet.TaskPending},
		{EndedCheckpointed, fleet.TaskPending},
		{EndedStopped, fleet.TaskCanceled},
		{"", fleet.TaskStarted},
	} {
		page, id, err := Start(NewPage(1, 1, 0, now), "j", 0, "w", "z", fleet.Resources{}, now)
		assert.NilError(t, err)
		next, _ := Observe(page, "z", map[fleet.TaskID]Report{id: {Ended: tc.ended}}, listedNow, now)
		assert.Equal(t, next.Tasks[0].Phase, tc.want, "%q", tc.ended)
		assert.Equal(t, next.Tasks[0].Checkpoint == id, tc.ended == EndedCheckpointed)
	}
}

func TestTaskOfAGoneWorkerWaitsForTheWorkersLease(t *testing.T) {
	page, _, err := Start(NewPage(1, 1, 0, now), "j", 0, "w", "z", fleet.Resources{}, now)
	assert.NilError(t, err)
	early, _ := Observe(page, "z", nil, listedNow, now.Add(workerLease))
	assert.Equal(t, early.Tasks[0].Phase, fleet.TaskStarted)
	late, changes := Observe(page, "z", nil, listedNow, now.Add(workerLease+time.Second))
	assert.Equal(t, late.Tasks[0].Phase, fleet.TaskPending)
	assert.Equal(t, changes[0].Ended, EndedLost)
	other, _ := Observe(page, "elsewhere", nil, listedNow, now.Add(time.Hour))
	assert.Equal(t, other.Tasks[0].Phase, fleet.TaskStarted, "another zone's task is left alone")
}

func TestUnreportedStartIsSentAgain(t *testing.T) {
	page, id, err := Start(NewPage(1, 1, 0, now), "j", 0, "w", "z", fleet.Resources{}, now)
	assert.NilError(t, err)
	later := now.Add(startTimeout + time.Millisecond)
	assert.Equal(t, len(UnreportedStarts(page, "z", nil, now)), 0)
	assert.Equal(t, len(UnreportedStarts(page, "z", nil, later)), 1)
	assert.Equal(t, len(UnreportedStarts(page, "z", map[fleet.TaskID]Report{id: {}}, later)), 0)
}

func TestCancelStopsWaitingTasksAtOnceAndListsRunningOnes(t *testing.T) {
	page, _, err := Start(NewPage(1, 3, 0, now), "j", 0, "w", "z", fleet.Resources{}, now)
	assert.NilError(t, err)
	next, running := Cancel(page, "z", now)
	assert.Equal(t, len(running), 1)
	assert.Equal(t, next.Tasks[0].Phase, fleet.TaskStarted)
	assert.Equal(t, next.Tasks[1].Phase, fleet.TaskCanceled)
}

func TestFitAddsTasksAndEndsTheQuarantineOfAChangedJob(t *testing.T) {
	page := NewPage(1, 2, 0, now)
	page.Quarantined = "failed everywhere"
	same, changed := Reconcile(page, 1, 5, 0, now)
	assert.Assert(t, !changed)
	assert.Equal(t, same.Quarantined, "failed everywhere")
	next, changed := Reconcile(page, 2, 5, 0, now)
	assert.Assert(t, changed)
	assert.Equal(t, len(next.Tasks), 5)
	assert.Equal(t, next.Quarantined, "")
}

// TestZonesShareTasksAndNoneIsLeft draws zones and checks that at once exactly one
// zone may start a task, and that in the end every zone may.
func TestZonesShareTasksAndNoneIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var zones []fleet.AvailabilityZone
		for i := range rapid.IntRange(1, 13).Draw(t, "zones") {
			zones = append(zones, fleet.AvailabilityZone(fmt.Sprintf("z-%d", i)))
		}
		job := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "job")
		urgent := rapid.Bool().Draw(t, "urgent")
		first, last := 0, 0
		for _, zone := range zones {
			if Eligible(job, 0, urgent, zone, zones, 0) {
				first++
			}
			if Eligible(job, 0, urgent, zone, zones, time.Hour) {
				last++
			}
		}
		assert.Equal(t, first, 1)
		assert.Equal(t, last, len(zones))
	})
}

func TestZonesShareTasksEvenly(t *testing.T) {
	zones := []fleet.AvailabilityZone{"a", "b", "c", "d"}
	const tasks = 4000
	count := map[fleet.AvailabilityZone]int{}
	for i := range tasks {
		count[order("job", i, zones)[0]]++
	}
	for _, zone := range zones {
		assert.Assert(t, count[zone] > tasks/5 && count[zone] < tasks*3/10, "%v", count)
	}
}
