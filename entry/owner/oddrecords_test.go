package owner

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
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
