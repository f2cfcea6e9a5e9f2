package operations

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/goldentest"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
)

var goldenTime = time.Date(2026, 3, 4, 5, 6, 7, 8_000_000, time.UTC)

// goldenMessages are the messages in testdata/messages.txt, one per line. Every field is
// set, so that the test covers its name.
var goldenMessages = []any{
	Status{
		Instance: "entry-1", Zone: "palermo", Version: "version", Ready: true, NotReady: []string{"reason"}, ConfigRevision: 1,
		ConfigAge: object.Duration(time.Second), StoreReachable: true, StoreError: "error", ConfigUnreadable: 2, Executors: 3,
		Members: []Member{{
			Instance: "entry-2", Zone: "catania", Address: "10.0.0.1:1", Reachable: true, LastContact: goldenTime, ConfigRevision: 4,
		}},
		Duties: []Duty{{Name: "fleet", Epoch: 5, Since: goldenTime}},
	},
	LogLevel{Level: "debug"},
	// The document's objects have a test of their own in entry/config.
	ConfigDocument{
		Revision: 1, Reason: "reason", Delete: []string{"Pool/old"},
		Document: object.Document{Tenants: []object.Tenant{{Name: "sportello", Weight: 2}}},
	},
	ApplyResult{Revision: 1, DryRun: true, Diff: []string{"diff"}, Warnings: []string{"warning"}},
	Rollback{Revision: 1, Reason: "reason"},
	HistoryEntry{Revision: 1, At: goldenTime, Author: "author", Reason: "reason", Keys: []string{"Pool/workers"}},
	Rollout{
		Revision: 1, AcceptedAt: goldenTime, InForce: object.Duration(time.Second),
		Behind: []fleet.InstanceID{"entry-1"}, Unreachable: []fleet.InstanceID{"entry-2"},
	},
	PoolStatus{Name: "workers", Size: 1, Healthy: 2, Expected: 3, Available: 4, Reasons: []string{"reason"}},
	InstanceStatus{
		ID: "w-1", Zone: "palermo", Rack: "r1", Pool: "workers", State: fleet.StateServing, Reason: "reason",
		Labels: label.Set{"disk": "ssd"}, Since: goldenTime,
	},
	InstanceChange{Reason: "reason", Labels: label.Set{"disk": "ssd"}},
	MaintenanceStatus{
		Plan: "monthly", Zone: "palermo", Done: 1, Total: 2, UnderMaintenance: 3, Due: 4, Forecast: goldenTime, Paused: "paused",
	},
	JobStatus{Name: "nightly", Tenant: "sportello", Tasks: 1, Running: 2, Done: 3, Waiting: 4, Reason: "reason"},
	Problem{Title: "title", Status: 400, Detail: "detail", Code: "code", Verdict: "ran", Faults: []string{"fault"}},
	Explanation{
		At: goldenTime, Instance: "entry-1", Subject: "pool/workers", Decision: "decision", Reason: "reason",
		Inputs: []string{"name=value"}, Refused: []string{"refused"},
	},
}

// TestMessagesKeepTheirForm guards against renamed fields, which operators' scripts and older
// tools would find empty. The file was written by commit 81f8b51.
func TestMessagesKeepTheirForm(t *testing.T) {
	data, err := os.ReadFile("testdata/messages.txt")
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	assert.Equal(t, len(lines), len(goldenMessages))
	for i, line := range lines {
		goldentest.RoundTrip(t, line, []byte(line), goldenMessages[i], json.Unmarshal, json.Marshal)
	}
}

// TestPathsKeepTheirForm guards against changed paths, which older tools would not reach.
func TestPathsKeepTheirForm(t *testing.T) {
	paths := []string{
		PathHealth, PathReady, PathMetrics, PathStatus, PathLogLevel, PathConfig, PathConfigChanges, PathConfigHistory,
		PathConfigStatus, PathRollback, PathPools, PathMaintenance, PathInstances, PathJobs, PathExplain, QueryDryRun, ProblemContentType,
	}
	assert.Equal(t, strings.Join(paths, " "), "/healthz /readyz /metrics /v1/status /v1/log/level /v1/config /v1/config/changes "+
		"/v1/config/history /v1/config/status /v1/config/rollback /v1/pools /v1/maintenance /v1/instances /v1/jobs /v1/explain dryRun "+
		"application/problem+json")
}
