package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/goldentest"
	"github.com/tarragonreach/tarragonreach/api/label"
)

var (
	goldenTime  = time.Date(2026, 3, 4, 5, 6, 7, 8_000_000, time.UTC)
	goldenLater = goldenTime.Add(time.Hour)
)

// goldenEntries are the entries of testdata/store.txt: a key and its value in each line.
var goldenEntries = []struct {
	key   string
	value any
}{
	{PageKey("palermo", "w-1"), Page{Epoch: 1, Records: []Record{{
		ID: "w-1", Pool: "workers", Target: "spare", State: StateDraining, Reason: "reason",
		Labels: label.Set{"disk": "ssd", "rank": "high"}, Epoch: 2, Since: goldenTime, LastMaintained: goldenLater,
		DrainRequested: &DrainRequest{Reason: "drain reason", At: goldenLater.Add(time.Hour)}, Rack: "r1",
	}}}},
	{LedgerKey("workers"), Ledger{
		Zones:   []ZoneMembers{{Zone: "palermo", Members: 1, Epoch: 2}},
		Outages: []Outage{{ID: "w-1", Zone: "catania", Voluntary: true, Epoch: 3, RecordEpoch: 4, Expires: goldenTime}},
	}},
	{JobPageKey("nightly", 12), JobPage{Revision: 1, Quarantined: "quarantined", Tasks: []TaskRecord{{
		Index: 2, Phase: TaskStarted, Since: goldenTime, ID: "task", Worker: "w-1", Zone: "palermo",
		Need:   Resources{MilliCPU: 3, MemoryMiB: 4, Accelerators: 5},
		Starts: 6, Failures: 7, Avoid: []InstanceID{"w-2", "w-3"}, Checkpoint: "checkpoint",
	}}}},
	// Not stored: the platform's list of instances, in the same file.
	{"instance", Instance{
		ID: "w-1", Kind: KindWorker, Zone: "palermo", Rack: "r1", Address: "10.0.0.1:1", Labels: label.Set{"disk": "ssd"},
		Capacity: Resources{MilliCPU: 1, MemoryMiB: 2, Accelerators: 3}, Leaving: true,
	}},
}

// TestStoredEntriesKeepTheirForm guards against renamed keys and JSON fields, with which a new
// version would lose the fleet record of an older one. The file was written by commit 81f8b51.
func TestStoredEntriesKeepTheirForm(t *testing.T) {
	stored := goldentest.ReadEntries(t, "testdata/store.txt")
	assert.Equal(t, len(stored), len(goldenEntries))
	for _, entry := range goldenEntries {
		goldentest.RoundTrip(t, entry.key, []byte(stored[entry.key]), entry.value, json.Unmarshal, json.Marshal)
	}
}

// TestStoredTextsKeepTheirForm guards against renamed prefixes, states and labels.
func TestStoredTextsKeepTheirForm(t *testing.T) {
	assert.DeepEqual(t, []string{PagePrefix, ZonePrefix("palermo"), LedgerPrefix, JobPrefix},
		[]string{"fleet/", "fleet/palermo/", "budgets/", "jobs/"})
	assert.DeepEqual(t, []State{StateReleased, StateServing, StateDraining, StateMaintenance, StateFailed},
		[]State{"released", "serving", "draining", "maintenance", "failed"})
	assert.DeepEqual(t, []TaskPhase{TaskPending, TaskStarted, TaskDone, TaskCanceled},
		[]TaskPhase{"pending", "started", "done", "canceled"})
	assert.DeepEqual(t, []Kind{KindEntry, KindBackendServer, KindWorker}, []Kind{"entry", "backend-server", "worker"})
	assert.DeepEqual(t, []string{LabelService, LabelPool, LabelRack, LabelZone, LabelKind},
		[]string{"service", "pool", "rack", "zone", "kind"})
}
