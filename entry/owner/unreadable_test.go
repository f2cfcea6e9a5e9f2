package owner

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/entry/storehealth"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

// One job's stored progress is not readable: its service is led all the same, with its other
// jobs. Nothing of that job starts, since it is not known what runs of it, also when a later
// listing repeats its record.
func TestUnreadableProgressSkipsOnlyItsJob(t *testing.T) {
	const good, malformed, outOfRange = job.ID("00000000000000aa"), job.ID("00000000000000ab"), job.ID("00000000000000ac")
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	for _, id := range []job.ID{good, malformed, outOfRange} {
		store.Put(layout.RecordKey(testService, id), recordAt(t, id, 1).Events[0].Value)
	}
	store.Put(layout.ProgressKey(testService, malformed), []byte("{not JSON"))
	store.Put(layout.ProgressKey(testService, outOfRange), []byte(`{"tasks":[{"r":1,"i":-1}]}`))
	store.Put(layout.LastWriteKey(testService), []byte("not JSON either"))
	store.Put(executorPrefix+"i-1", []byte(`[]`))

	o := testOwner()
	o.Store = storehealth.New(kv.New(strings.TrimPrefix(server.URL, "http://")), func(bool, int) {})
	o.Config = func() *cluster.Config { return nil }
	assert.NilError(t, o.load(t.Context()))
	check := func() {
		t.Helper()
		assert.Assert(t, o.shard.HasJob(good))
		assert.Assert(t, !o.shard.HasJob(malformed) && !o.shard.HasJob(outOfRange))
	}
	check()
	items, _, err := o.Store.All(t.Context(), o.shardPrefix(), kv.Linearizable)
	assert.NilError(t, err)
	o.applyJobs(follow.Listing(items), nil, time.Now())
	check()
}
