package config

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

var (
	goldenTime = time.Date(2026, 3, 4, 5, 6, 7, 8_000_000, time.UTC)
	goldenYes  = true
)

// goldenDocument has an object of each kind, without zero fields.
var goldenDocument = object.Document{
	Services: []object.Service{{
		Name: "terreni", Pool: "workers", Selector: "service=terreni", Slots: 1, Connections: 2, QueueLimit: 3,
		MaxBodyBytes: 4, ReadinessPath: "/ready",
	}},
	Classes: []object.Class{{Name: "urgent", Priority: 1, Timeout: object.Duration(90 * time.Second), Repeatable: &goldenYes}},
	Tenants: []object.Tenant{{
		Name: "sportello", Weight: 1, MaxInFlight: 2, Quota: fleet.Resources{MilliCPU: 3, MemoryMiB: 4, Accelerators: 5},
	}},
	Pools: []object.Pool{{
		Name: "workers", Selector: "kind=worker",
		Budget:     object.Budget{MinHealthy: &object.Amount{Value: 1}, MaxUnavailable: &object.Amount{Value: 2, Percent: true}},
		ZoneBudget: object.Budget{MinHealthy: &object.Amount{Value: 3, Percent: true}, MaxUnavailable: &object.Amount{Value: 4}},
		Min:        5, Max: 6, MoveWeight: 7.5, BufferWeight: 8.5, FailureDomain: object.FailureDomainRack,
	}},
	MaintenancePlans: []object.MaintenancePlan{{
		Name: "monthly", Pools: []string{"workers"}, Period: object.Duration(time.Hour), Duration: object.Duration(time.Minute),
		MaxParallel: 1, Paused: true,
	}},
	Jobs: []object.Job{{
		Name: "nightly", Tenant: "sportello", Class: "urgent", Selector: "disk=ssd",
		Declared: fleet.Resources{MilliCPU: 1, MemoryMiB: 2, Accelerators: 3}, Tasks: 4, Urgent: true, Deadline: goldenTime,
		RunTime: object.Duration(time.Second), Canceled: true, Releases: 5,
	}},
}

var goldenChange = object.Change{
	ID: "change", Author: "author", Reason: "reason", At: goldenTime,
	Put: goldenDocument, Delete: []object.Key{{Kind: object.KindPool, Name: "old"}},
}

// TestLogEntryKeepsItsForm guards against renamed keys and fields of the log and of the
// objects in it: the configuration would be lost. The file was written by commit 81f8b51.
func TestLogEntryKeepsItsForm(t *testing.T) {
	data, err := os.ReadFile("testdata/log.txt")
	assert.NilError(t, err)
	key, text, _ := strings.Cut(strings.TrimSpace(string(data)), " ")
	assert.Equal(t, logKey(7), key)
	record, err := decodeRecord([]byte(text), 7)
	assert.NilError(t, err)
	change, unreadable := record.change()
	assert.Equal(t, len(unreadable), 0)
	assert.DeepEqual(t, change, goldenChange)
	again, err := newRecord(change, 7)
	assert.NilError(t, err)
	encoded, err := json.Marshal(again)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), text)
}

// TestSnapshotKeepsItsForm compares the plain JSON, since another compressor may write other
// bytes. It guards against the same faults as TestLogEntryKeepsItsForm.
func TestSnapshotKeepsItsForm(t *testing.T) {
	assert.Equal(t, snapshotKey, "config/snapshot")
	stored, err := os.ReadFile("testdata/snapshot.json.gz")
	assert.NilError(t, err)
	decoded, err := decodeSnapshot(stored)
	assert.NilError(t, err)
	assert.Equal(t, decoded.revision(), object.Revision(7))
	assert.Equal(t, decoded.config.ChangeID, "change")
	assert.Equal(t, decoded.config.AcceptedAt, goldenTime)
	assert.Equal(t, decoded.unreadable, 0)
	assert.DeepEqual(t, decoded.config.Document(), goldenDocument)
	assert.Equal(t, decoded.config.Jobs["nightly"].Revision, object.Revision(7))
	assert.Equal(t, len(decoded.recent), 1)
	assert.Equal(t, decoded.recent[0].Author, "author")
	assert.Equal(t, decoded.recent[0].Count, 7)
	assert.Equal(t, decoded.recent[0].Touched[0], object.Key{Kind: object.KindService, Name: "terreni"})
	encoded, err := encodeSnapshot(decoded)
	assert.NilError(t, err)
	want, err := gunzip(stored)
	assert.NilError(t, err)
	got, err := gunzip(encoded)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(want))
}
