package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/job"
)

func testStep(image string) *step {
	def := oneTask
	def.Image = image
	return &step{def: &def, job: &jobState{Record: Record{Queue: QueuePolicy{Name: "q"}}}}
}

// Forecasts must follow what was observed of an image, and its spread, not the estimate.
func TestRunTimesAreLearnedByImage(t *testing.T) {
	t.Parallel()
	s := New(testLimits, 7)
	st := testStep("slow")
	assert.Equal(t, s.runTime(st, false, 0, 0.9), withMargin(time.Second))
	assert.Equal(t, s.runTime(st, true, 0, 0.9), remoteSlowdown*withMargin(time.Second))
	now := time.Unix(1000, 0)
	for i := range 100 {
		ratio := 2.0
		if i%5 == 0 {
			ratio = 6
		}
		s.runTimes.observe(st.runTimeKind(false), ratio, now)
	}
	within := func(got, want time.Duration) {
		t.Helper()
		assert.Assert(t, got >= want && got <= want*11/10, "%s, want about %s", got, want)
	}
	within(s.runTime(st, false, 0, 0.5), 2*time.Second)
	within(s.runTime(st, false, 0, 0.9), 6*time.Second)
	within(s.runTime(st, false, 3*time.Second, 0.5), 6*time.Second) // it is one of the slow ones
	assert.Assert(t, s.runTime(st, false, 8*time.Second, 0.5) > 8*time.Second)
	assert.Equal(t, s.runTime(testStep("other"), false, 0, 0.9), withMargin(time.Second))
	for range 300 { // it has become faster
		s.runTimes.observe(st.runTimeKind(false), 0.5, now)
	}
	within(s.runTime(st, false, 0, 0.9), time.Second/2)
}

// Callers choose images and needs: what is learned must stay bounded in memory.
func TestLearnedRunTimesAreBounded(t *testing.T) {
	t.Parallel()
	s := New(testLimits, 7)
	for i := range 3 * maxRunTimeKinds {
		now := time.Unix(int64(i), 0)
		s.runTimes.observe(testStep(fmt.Sprintf("image-%d", i)).runTimeKind(false), 1, now)
	}
	assert.Equal(t, len(s.runTimes.kinds), maxRunTimeKinds)
	latest := testStep(fmt.Sprintf("image-%d", 3*maxRunTimeKinds-1)).runTimeKind(false)
	assert.Assert(t, s.runTimes.kinds[latest] != nil)
}

// A large task needs one executor's gap; the small ones must go where they destroy none.
func TestBestFitKeepsPlacesForLargeTasks(t *testing.T) {
	t.Parallel()
	u := unevenness{references: []job.Resources{{MilliCPU: 40_000, MemoryMB: 150_000}}}
	small := job.Resources{MilliCPU: 5000, MemoryMB: 10_000}
	cost := func(cpu, memory int64) float64 {
		return u.fragmentationCost(small, job.Resources{MilliCPU: cpu, MemoryMB: memory}, bigExecutor)
	}
	assert.Assert(t, cost(41_000, 200_000) > 1+cost(64_000, 256_000)) // the place would be lost
	assert.Assert(t, cost(41_000, 200_000) > 1+cost(30_000, 120_000))
	assert.Assert(t, cost(30_000, 20_000) < cost(10_000, 120_000)) // processors are left over
}
