package owner_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// startsOf returns how many tasks of a step were started.
func startsOf(testFleet *standin.Fleet, step int) int {
	n := 0
	for task := range testFleet.Starts() {
		if strings.Split(task, ".")[2] == fmt.Sprint(step) {
			n++
		}
	}
	return n
}

// awaitStep waits until tasks of a step were started, and reports whether that was so in time.
func awaitStep(testFleet *standin.Fleet, step, tasks int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if startsOf(testFleet, step) >= tasks {
			return true
		}
	}
	return false
}

// Guards against an owner that tells its shard nothing of the confirmations of its term, or whose
// executors refuse prepared starts: the second step of a job starts while the store does not respond.
func TestNextStepStartsDuringAStoreOutage(t *testing.T) {
	const tasks = 4
	testFleet, err := standin.NewFleet([]standin.PoolSpec{{Service: peakService, Machines: 4, Prefix: "/peak/"}}, 500*time.Millisecond)
	assert.NilError(t, err)
	t.Cleanup(testFleet.Close)
	scope := tally.NewTestScope("", nil)
	leadWith(t.Context(), testFleet.StoreAddress, &cluster.Config{Version: 1, Tenancy: true}, scope)
	client := kv.New(testFleet.StoreAddress)
	submitTwoSteps(t, client, "00000000000000aa", tasks)
	assert.Assert(t, awaitStep(testFleet, 0, tasks, 10*time.Second))
	time.Sleep(200 * time.Millisecond) // the starts and the prepared ones are durable
	testFleet.Store.SetDown(true)
	started := awaitStep(testFleet, 1, tasks, 3*time.Second)
	testFleet.Store.SetDown(false)
	assert.Assert(t, started, "no task of the second step started during the outage")
	assert.Equal(t, testFleet.Overlaps(), 0)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		item, found := testFleet.Store.Get(layout.JobKey("00000000000000aa"))
		if found && strings.Contains(string(item.Value), string(job.Completed)) {
			break
		}
		assert.Assert(t, time.Now().Before(end), "the job is not completed after the outage: %s", item.Value)
	}
	assert.Equal(t, startsOf(testFleet, 1), tasks)
	assert.Equal(t, testFleet.Repeats(), 0)
	used := int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "prepared_starts" && c.Tags()["what"] == "used" {
			used = c.Value()
		}
	}
	assert.Equal(t, used, int64(tasks))
}

func submitTwoSteps(t *testing.T, client *kv.Client, id job.ID, tasks int) {
	t.Helper()
	step := job.Step{Count: tasks, Need: job.Resources{MilliCPU: 3000, MemoryMB: 300}, Estimate: 500 * time.Millisecond}
	next := step
	next.After = []int{0}
	record, err := layout.Encode(shard.Record{
		ID: id, Accepted: time.Now(), Queue: shard.QueuePolicy{Name: "peak", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Second},
		Definition: job.Definition{Payload: "p", Steps: []job.Step{step, next}},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = client.Txn(ctx, kv.Txn{Puts: []kv.Put{{Key: layout.RecordKey(peakService, id), Value: record}}})
	assert.NilError(t, err)
}
