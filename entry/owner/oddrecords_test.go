package owner

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/bound"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// A record that no instance has accepted must not end the process, since each next owner would read it
// as well, nor take the place of another job. The other jobs of the listing are added.
func TestOddRecordsAddNoJobs(t *testing.T) {
	const id, sound = job.ID("00000000000000aa"), job.ID("00000000000000ab")
	for _, value := range []string{
		"", "null", "{}", "[]", "\xff", strings.Repeat("[", 100_000),
		`{"id":"00000000000000aa"}`,
		`{"id":"00000000000000aa","definition":{"Steps":[{"Count":-1}]}}`,
		`{"id":"00000000000000aa","definition":{"Steps":[{"Count":1000000000000}]}}`,
		`{"id":"00000000000000aa","definition":{"Steps":[{"Count":1,"After":[7]}]}}`,
		`{"id":"00000000000000aa","definition":{"Steps":[{"Count":1,"After":[0]}]}}`,
		`{"id":"00000000000000aa","definition":{"Steps":[{"Count":1,"After":[-1]}]}}`,
		`{"id":"00000000000000aa","definition":{"Steps":[{"Count":1,"need":{"cpu":-5}}]}}`,
		`{"id":"00000000000000aa","definition":{"Steps":[{"Count":1}],"schedule":{"count":1000000000000}}}`,
		`{"id":"00000000000000ac","definition":{"Steps":[{"Count":1}]}}`,
		`{"id":"","definition":{"Steps":[{"Count":1}]}}`,
	} {
		o := testOwner()
		now := time.Now()
		odd := kv.Event{Item: kv.Item{Key: layout.RecordKey(testService, id), Value: []byte(value), Revision: 5}}
		o.applyJobs(follow.Change{Reset: true, Events: []kv.Event{odd, recordAt(t, sound, 6).Events[0]}}, nil, now)
		assert.Equal(t, o.shard.Jobs(), 1, value)
		assert.Assert(t, o.shard.HasJob(sound), value)
		assert.Equal(t, o.skippedRecords.Present(), 1, value)
		o.shard.Batch(now, 29)
	}
}

// A job that an earlier version accepted, with numbers that are now refused when they arrive, must not be
// skipped after an update: it would stay queued for ever.
func TestJobsAcceptedByAnEarlierVersionRun(t *testing.T) {
	const id = job.ID("00000000000000aa")
	for _, definition := range []string{
		`{"steps":[{"count":2,"maxPerServer":-1}]}`,
		`{"steps":[{"count":2,"maxPerServer":-9223372036854775808,"longRunning":true,"mayMiss":-1}]}`,
		`{"steps":[{"count":2,"mayMiss":-9223372036854775808}]}`,
		`{"steps":[{"count":2,"estimate":-1000000,"targetLatency":-1000000}]}`,
		`{"steps":[{"count":2,"estimate":9223372036854775807,"targetLatency":9223372036854775807,"longRunning":true}]}`,
		`{"steps":[{"count":2},{"count":1,"after":[0],"need":{"cpu":9223372036854775807,"mem":9223372036854775807},"estimate":9223372036854775807}]}`,
		`{"steps":[{"count":1}],"schedule":{"count":2,"first":"2000-01-01T00:00:00Z","interval":-1000000}}`,
		`{"steps":[{"count":2}],"schedule":{"count":10000,"first":"1999-12-31T00:00:00Z","interval":9223372036854775807}}`,
		`{"steps":[{"count":2}],"schedule":{"count":10000,"first":"0001-01-01T00:00:00Z","interval":9223372036854}}`,
	} {
		synctest.Test(t, func(t *testing.T) {
			o, _, _ := reportingOwner()
			now := time.Now()
			o.shard.SetExecutors([]cluster.Executor{{ID: "i-1", Address: "i-1:80", Capacity: job.Resources{MilliCPU: 1000}}}, now)
			value := `{"id":"` + string(id) + `","accepted":"1999-12-30T00:00:00Z","definition":` + definition + `}`
			item := kv.Item{Key: layout.RecordKey(testService, id), Value: []byte(value), Revision: 5}
			o.applyJobs(follow.Change{Reset: true, Events: []kv.Event{{Item: item}}}, nil, now)
			assert.Equal(t, o.skippedRecords.Present(), 0, definition)
			reportFor(o, 200*time.Millisecond) // the executor is polled
			assert.Assert(t, len(startBatch(o)) >= 2, definition)
		})
	}
}

// A record's numbers are brought into range only if they are out of it, and then their sums are in range.
func TestNumbersOfRecordsAreInRange(t *testing.T) {
	sound := job.Definition{
		Steps: []job.Step{
			{Count: 10_000, Need: job.Resources{MilliCPU: 1000}, Estimate: time.Hour, MaxPerServer: 2, MaxUnavailable: 1},
			{Count: 1, Estimate: bound.MaxDuration - time.Hour, After: []int{0}, TargetLatency: time.Second},
		},
		Schedule: job.Schedule{Count: 3, First: time.Unix(1, 0), Interval: time.Hour},
	}
	assert.DeepEqual(t, inRange(sound), sound)
	var odd job.Definition
	for range 1000 {
		odd.Steps = append(odd.Steps, job.Step{Count: 10, Need: job.Resources{MilliCPU: math.MaxInt64}, Estimate: math.MaxInt64})
	}
	odd.Schedule = job.Schedule{Count: 10_000, First: time.Unix(1, 0), Interval: math.MaxInt64}
	read := inRange(odd)
	var duration time.Duration
	work := 0.0
	for _, s := range read.Steps {
		duration += s.Estimate
		work += float64(s.Count) * float64(s.Need.MilliCPU) * float64(s.Estimate.Milliseconds())
	}
	assert.Assert(t, duration >= 0 && duration <= bound.MaxDuration, "%s", duration)
	assert.Assert(t, work <= bound.MaxWork, "%g", work)
	assert.Assert(t, read.Schedule.Due(9999).Sub(read.Schedule.First) <= bound.MaxScheduleSpan)
}
