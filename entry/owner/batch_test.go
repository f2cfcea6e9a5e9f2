package owner

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// backloggedOwner returns the owner of a service with a backlog and no executor.
func backloggedOwner(t *testing.T, jobs int, now time.Time) *Owner {
	t.Helper()
	o := testOwner()
	o.Logger = slog.New(slog.DiscardHandler)
	for i := range jobs {
		id := job.ID([]byte{'0' + byte(i/100), '0' + byte(i/10%10), '0' + byte(i%10)})
		definition := job.Definition{Steps: []job.Step{{Count: 8, Estimate: time.Second}}}
		o.shard.AddJob(shard.Record{ID: id, Accepted: now, Definition: definition}, nil, now)
	}
	for o.shard.Batch(now, 29) != nil {
		o.shard.Committed()
	}
	return o
}

// Without a pause after an empty batch, each response of an executor makes the owner plan its
// whole backlog again, even if the last plan has found nothing to start (replay
// agrisportello-sched-grown fresh-9769).
func TestExecutorResponsesDoNotReplanTheBacklogAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	o := backloggedOwner(t, 500, now)
	o.shard.SetExecutors(nil, now) // makes planning due, as a response does
	o.storeNextBatch(now)
	assert.Assert(t, !o.shard.Pending(now), "the first response is planned at once")
	o.shard.SetExecutors(nil, now)
	o.storeNextBatch(now)
	assert.Assert(t, o.shard.Pending(now), "a second response at the same time is not planned at once")
}

// With a thousand responses a second and a backlog that takes 2 ms to plan, at most an
// eighth of the time goes to empty batches. A full batch is followed by the next at once.
func TestEmptyBatchesLeaveTimeForResponses(t *testing.T) {
	const took = 2 * time.Millisecond
	spent, next := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < time.Second; at += time.Millisecond {
		if at >= next {
			spent += took
			next = at + took + pauseAfter(nil, took)
		}
	}
	assert.Assert(t, spent <= time.Second/8, "%v of a second", spent)
	assert.Equal(t, pauseAfter(nil, time.Second), maxEmptyBatchPause)
	assert.Equal(t, pauseAfter(&shard.Batch{Full: true}, took), time.Duration(0))
	assert.Equal(t, pauseAfter(&shard.Batch{}, took), batchInterval)
}
