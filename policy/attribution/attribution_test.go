package attribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const workersPerRack = 4

func worker(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("w-%d", i)) }

func result(w int, job string, failed bool, second int) Result {
	return Result{
		Worker: worker(w), Rack: fmt.Sprintf("r-%d", w/workersPerRack), Job: job, Failed: failed,
		At: start.Add(time.Duration(second) * time.Second),
	}
}

// addSuccesses adds successes of three jobs on every worker.
func addSuccesses(e *Evidence, workers int) {
	for w := range workers {
		for j := range 3 {
			e.Add(result(w, fmt.Sprintf("good-%d", j), false, w))
		}
	}
}

func TestWorkerThatFailsEverythingIsBlamedAndItsJobsAreNot(t *testing.T) {
	e := New()
	addSuccesses(e, 12)
	for i := range 4 {
		for j := range 3 {
			e.Add(result(20, fmt.Sprintf("good-%d", j), true, 20+i))
		}
	}
	now := start.Add(time.Minute)
	assert.Assert(t, e.Worker(worker(20), now).Blamed, "%+v", e.Worker(worker(20), now))
	assert.Assert(t, !e.Job("good-0", now).Blamed)
	assert.Assert(t, !e.Worker(worker(1), now).Blamed)
}

func TestAlwaysFailingJobIsBlamedAndItsWorkersAreNot(t *testing.T) {
	e := New()
	addSuccesses(e, 12)
	for w := range 6 {
		e.Add(result(w*2, "always-failing", true, 20+w))
	}
	now := start.Add(time.Minute)
	assert.Assert(t, e.Job("always-failing", now).Blamed, "%+v", e.Job("always-failing", now))
	for w := range 12 {
		assert.Assert(t, !e.Worker(worker(w), now).Blamed)
	}
}

func TestOneRackIsNotEnoughToBlameAJob(t *testing.T) {
	e := New()
	addSuccesses(e, 12)
	for i := range 8 {
		e.Add(result(i%workersPerRack, "one-rack", true, 20+i))
	}
	assert.Assert(t, !e.Job("one-rack", start.Add(time.Minute)).Blamed)
}

func TestCommonCauseBlamesNobody(t *testing.T) {
	e := New()
	for w := range 12 {
		for j := range 4 {
			e.Add(result(w, fmt.Sprintf("good-%d", j), true, w))
		}
	}
	now := start.Add(time.Minute)
	assert.Assert(t, !e.Worker(worker(3), now).Blamed)
	assert.Assert(t, !e.Job("good-1", now).Blamed)
}

func TestOldResultsStopCounting(t *testing.T) {
	e := New()
	e.Add(result(1, "a", true, 0))
	f := e.Worker(worker(1), start.Add(window+time.Second))
	assert.Equal(t, f.Failures, 0)
	assert.Equal(t, len(e.pairs)+len(e.workers)+len(e.jobs)+len(e.byWorker)+len(e.byJob), 0)
}

// TestBlameSeparatesBadWorkersFromAlwaysFailingJobs draws fleets with one bad worker and
// one always-failing job, and checks that exactly these two are blamed.
func TestBlameSeparatesBadWorkersFromAlwaysFailingJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(12, 30).Draw(t, "workers")
		jobs := rapid.IntRange(4, 8).Draw(t, "jobs")
		badWorker := rapid.IntRange(0, workers-1).Draw(t, "badWorker")
		alwaysFailing := fmt.Sprintf("j-%d", rapid.IntRange(0, jobs-1).Draw(t, "alwaysFailing"))
		e := New()
		for second := range 3 {
			for w := range workers {
				for j := range jobs {
					job := fmt.Sprintf("j-%d", j)
					e.Add(result(w, job, w == badWorker || job == alwaysFailing, second))
				}
			}
		}
		now := start.Add(time.Minute)
		for w := range workers {
			assert.Equal(t, e.Worker(worker(w), now).Blamed, w == badWorker, "worker %d", w)
		}
		for j := range jobs {
			job := fmt.Sprintf("j-%d", j)
			assert.Equal(t, e.Job(job, now).Blamed, job == alwaysFailing, job)
		}
	})
}
