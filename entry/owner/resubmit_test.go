package owner

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const testService = cluster.Service("svc")

func testOwner() *Owner {
	return &Owner{
		Options: Options{Service: testService, Logger: slog.New(slog.DiscardHandler)},
		shard:   shard.New(shard.Limits{RunLease: 5 * time.Second, MaxRunLease: 10 * time.Second}, 1),

		cordons: map[cluster.ExecutorID]shard.Cordon{}, finished: map[job.ID]kv.Revision{},
		skippedRecords: follow.NewSkipped(slog.New(slog.DiscardHandler), ""),
	}
}

// recordAt returns a change that adds the record of a job at a revision.
func recordAt(t *testing.T, id job.ID, revision kv.Revision) follow.Change {
	t.Helper()
	value, err := layout.Encode(shard.Record{ID: id, Accepted: time.Now(), Definition: job.Definition{Steps: []job.Step{{Count: 1}}}})
	assert.NilError(t, err)
	item := kv.Item{Key: layout.RecordKey(testService, id), Value: value, Revision: revision, Created: revision}
	return follow.Change{Events: []kv.Event{{Item: item}}}
}

// A job becomes final, its state is removed after the retention time, and its ID is
// submitted again: the new job is planned. An old event of the first job adds nothing.
func TestResubmittedJobIsPlannedAfterRemoval(t *testing.T) {
	const id = job.ID("00000000000000aa")
	const final, resubmitted = kv.Revision(9), kv.Revision(12)
	o := testOwner()
	o.applyJobs(recordAt(t, id, final-4), nil, time.Now())
	o.cancel(id)
	o.commitBatch(final, o.shard.Batch(time.Now(), kv.MaxTxnEntries))
	assert.Equal(t, o.shard.Jobs(), 0)
	o.applyJobs(recordAt(t, id, final-4), nil, time.Now())
	assert.Equal(t, o.shard.Jobs(), 0)
	o.applyJobs(recordAt(t, id, resubmitted), nil, time.Now())
	assert.Equal(t, o.shard.Jobs(), 1)
}

// A watch without events is followed by a listing of all records: records that are tracked
// already are not decoded again, since that would cost too much.
func TestTrackedRecordsAreNotDecodedAgain(t *testing.T) {
	o := testOwner()
	listing := recordAt(t, "00000000000000aa", 7)
	o.applyJobs(listing, nil, time.Now())
	listing.Events[0].Value = []byte("not to be read")
	listing.Reset = true
	var log bytes.Buffer
	o.Logger = slog.New(slog.NewTextHandler(&log, nil))
	o.applyJobs(listing, nil, time.Now())
	assert.Equal(t, log.String(), "")
	assert.Equal(t, o.shard.Jobs(), 1)
}
