package layout

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/goldentest"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
	"github.com/tarragonreach/tarragonreach/policy/quota"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

var goldenTime = time.Date(2026, 3, 4, 5, 6, 7, 8_000_000, time.UTC)

const (
	goldenJob       job.ID = "0123456789abcdef"
	goldenTenantJob job.ID = "fedcba9876543210"
)

// goldenStep has no zero field.
var goldenStep = job.Step{
	Count: 1, Need: job.Resources{MilliCPU: 2, MemoryMB: 3, GPU: 4}, Estimate: 5, After: []int{6, 7},
	Checkpointing: true, Gang: true, SameRack: true, RequiredLabel: "label", Affinity: "rack", MaxPerServer: 8,
	Speculative: true, LongRunning: true, Image: "image", TargetLatency: 9, BestEffort: true, MaxUnavailable: 10,
}

// goldenEntries are the entries of testdata/store.txt: a key and its value in each line.
var goldenEntries = []struct {
	key   string
	value any
}{
	{JobKey(goldenJob), State{Service: "batch", Queue: "nightly", State: job.Completed, FinalAt: goldenTime}},
	{RecordKey("batch", goldenJob), shard.Record{
		ID: goldenJob,
		Queue: shard.QueuePolicy{
			Name: "nightly", Priority: 1, MaxAttempts: 2, Stretch: 3.5, TargetDuration: 4 * time.Second,
			Advice: &cluster.Advice{Decision: 5, Each: 6, Validity: 7},
		},
		Accepted: goldenTime,
		Definition: job.Definition{
			Payload: "payload", Steps: []job.Step{goldenStep},
			Schedule: job.Schedule{Count: 8, First: goldenTime.Add(time.Hour), Interval: 9 * time.Minute},
		},
	}},
	{JobKey(goldenTenantJob), State{Service: "batch", Queue: "nightly", State: job.Queued, Tenant: "north"}},
	{RecordKey("batch", goldenTenantJob), shard.Record{
		ID: goldenTenantJob, Queue: shard.QueuePolicy{Name: "nightly"}, Tenant: "north", Accepted: goldenTime,
		Definition: job.Definition{Steps: []job.Step{{Count: 1}}},
	}},
	{WithdrawalKey(goldenJob, "north, south/1", "nightly"), Withdrawal{At: goldenTime}},
	{CordonKey("batch", "e-1"), Cordon{Preempt: true}},
	{ProgressKey("batch", goldenJob), shard.Progress{
		Tasks: []shard.TaskProgress{{
			Occurrence: 1, Step: 2, Index: 3, Run: 4, Executor: "e-1", Address: "10.0.0.1:1",
			Done: true, Failures: 5, Checkpoint: "checkpoint", Crashes: 17, CrashEvidence: 18, Trial: true,
		}},
		Done: []int{6, 7},
	}},
	{ProgressKey("prepared", goldenJob), shard.Progress{
		Tasks: []shard.TaskProgress{{Step: 1, Index: 2, Run: 3, Executor: "e-1", Born: 4, Address: "10.0.0.1:1", Prepared: true}},
	}},
	{WaitingKey("batch"), Waiting{"nightly": 1, "urgent": 2}},
	{LoadKey("batch"), shard.Load{
		InTimeCPU: 1, LateCPU: 2, BlockedCPU: 3, LongRunningCPU: 4, WaitingCPU: 5, ArrivedWork: 6, ArrivedJobs: 7,
		MinExecutors: 8,
		Executors:    map[cluster.ExecutorID]shard.ExecutorLoad{"e-1": {Runs: 9, LongRunning: 10, UsedCPU: 11, Cordoned: true}},
	}},
	{WaveKey(12), WaveProgress{
		MaintenanceStarted: []cluster.MachineID{"m-1", "m-2"}, Reported: cluster.WaveRunning, StartedAt: goldenTime,
	}},
	{RecentCommandsKey, RecentCommands{AgesMs: map[cluster.MachineID]int64{"m-1": 13, "m-2": 14}}},
	{DemandHistoryKey, fleetplan.DemandHistory{
		PeakStarts: []fleetplan.PeakStart{{Service: "batch", At: goldenTime}},
		Services: map[cluster.Service]fleetplan.DemandProfile{"batch": {
			MeanRate: 1.5, MeanJobWork: 2.5, LastPeakRate: 3.5, PeakSince: goldenTime.Add(time.Hour),
			PeakSustainedRate: 4.5, PeakMaxRate: 5.5,
		}},
	}},
	{LastWriteKey("batch"), WriteMarker{Nonce: "nonce"}},
	{LastWriteKey("unreached"), WriteMarker{Nonce: "nonce", Unreached: shard.Unreached{"e-1": {Term: 15, AgeMs: 16}}}},
	{QuotaKey("north, south/1"), quota.Ledger{
		Tenant: "north, south/1", Limit: job.Resources{MilliCPU: 1, MemoryMB: 2, GPU: 3},
		Services: map[cluster.Service]quota.Allotment{"batch": {
			Portion: job.Resources{MilliCPU: 4, MemoryMB: 5, GPU: 6}, Demand: job.Resources{MilliCPU: 7, MemoryMB: 8, GPU: 9},
			Task: job.Resources{MilliCPU: 10, MemoryMB: 11, GPU: 12}, Turn: 13,
		}},
	}},
	{AdmissionKey("batch"), shard.Admission{
		Token: 18, Sequence: 19, AtMs: 20, CapacityMs: 21,
		Queues:  map[string]shard.QueueWait{"nightly": {Objectives: []int64{22, 23}, Sizes: []int64{24}, WaitMs: []int64{25, 26}, MemoryPerCore: 27}},
		LimitMs: map[cluster.TenantName]int64{"palermo": 28}, Excess: map[cluster.TenantName]int{"trapani": 29},
	}},
	{JobKey("rejected"), State{Service: "batch", Queue: "nightly", Tenant: "palermo", State: job.Cancelled, FinalAt: goldenTime, Rejected: &Rejection{At: goldenTime, RetryAt: goldenTime.Add(time.Hour)}}},
	{ExhaustedKey("batch"), Exhausted{AtMs: 30}},
	{OwnerKey(ServiceDuty("batch")), Holder{Instance: "entry-1", Zone: "palermo", Term: "term"}},
	{OwnerKey(FleetDuty), Holder{Instance: "entry-1", Zone: "palermo", Term: "term", Kind: KindFleet}},
}

// TestStoredEntriesKeepTheirForm guards against renamed keys and JSON fields, with which a
// new version would not find what an older one stored. The file was written by commit 81f8b51,
// but for the marker with unreached executors, the jobs with a tenant, the ledger, the admission,
// the exhausted service and the progress with a prepared start, which are newer.
func TestStoredEntriesKeepTheirForm(t *testing.T) {
	stored := goldentest.ReadEntries(t, "testdata/store.txt")
	assert.Equal(t, len(stored), len(goldenEntries))
	for _, entry := range goldenEntries {
		goldentest.RoundTrip(t, entry.key, []byte(stored[entry.key]), entry.value, json.Unmarshal, Encode)
	}
}

// TestStoredTextsKeepTheirForm guards against renamed prefixes, parts of keys and states.
func TestStoredTextsKeepTheirForm(t *testing.T) {
	task := job.TaskID{StepID: job.StepID{Job: goldenJob, Occurrence: 1, Step: 2}, Index: 3}
	assert.DeepEqual(t, []string{
		CancelKey("batch", goldenJob), ShardPrefix("batch"), ProgressPrefix("batch"),
		OwnersPrefix, JobsPrefix, LoadPrefix, AdmissionPrefix, WavesPrefix, task.String(),
	}, []string{
		"shard/batch/cancel/0123456789abcdef", "shard/batch/", "progress/batch/",
		"owners/", "jobs/", "load/", "admission/", "waves/", "0123456789abcdef.1.2.3",
	})
	assert.DeepEqual(t, []job.State{job.Queued, job.Running, job.Failed, job.Cancelled},
		[]job.State{"queued", "running", "failed", "cancelled"})
	assert.Equal(t, cluster.WaveCompleted, cluster.WaveState("completed"))
	for key, want := range map[string]ShardItem{
		"shard/batch/job/a": ItemRecord, "shard/batch/cancel/a": ItemCancel, "shard/batch/cordon/a": ItemCordon,
		"shard/batch/exhausted/a": ItemExhausted,
	} {
		kind, name := ParseShardKey("batch", key)
		assert.Equal(t, kind, want, key)
		assert.Equal(t, name, "a", key)
	}
}

// Names of tenants have any characters and lengths: each needs a key of its own that the store takes.
func TestKeysOfLedgersAreShortAndDistinct(t *testing.T) {
	long := strings.Repeat("ü", 300)
	names := []cluster.TenantName{"a", "a/b", "a%2Fb", "a b", "#", cluster.TenantName(long), cluster.TenantName(long + "x"), "../x"}
	keys := map[string]bool{}
	for _, name := range names {
		key := QuotaKey(name)
		assert.Assert(t, len(key) <= maxKeyBytes, key)
		assert.Equal(t, strings.Count(key, "/"), 1, key)
		keys[key] = true
	}
	assert.Equal(t, len(keys), len(names))
}
