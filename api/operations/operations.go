// Package operations holds the messages between operators' tools and the operator
// listener of an entry instance.
package operations

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Paths of the operator listener.
const (
	PathHealth        = "/healthz"
	PathReady         = "/readyz"
	PathMetrics       = "/metrics"
	PathStatus        = "/v1/status"
	PathLogLevel      = "/v1/log/level"
	PathConfig        = "/v1/config"
	PathConfigChanges = "/v1/config/changes"
	PathConfigHistory = "/v1/config/history"
	PathConfigStatus  = "/v1/config/status"
	PathRollback      = "/v1/config/rollback"
	PathPools         = "/v1/pools"
	PathMaintenance   = "/v1/maintenance"
	PathInstances     = "/v1/instances"
	PathJobs          = "/v1/jobs"
	PathExplain       = "/v1/explain"
)

// QueryDryRun is the query parameter that checks a change without accepting it.
const QueryDryRun = "dryRun"

// Status is the status of one entry instance.
type Status struct {
	Instance fleet.InstanceID       `json:"instance"`
	Zone     fleet.AvailabilityZone `json:"zone"`
	Version  string                 `json:"version"`
	Ready    bool                   `json:"ready"`
	// NotReady lists the reasons why the instance is not ready.
	NotReady       []string        `json:"notReady,omitempty"`
	ConfigRevision object.Revision `json:"configRevision"`
	// ConfigAge is the time since the current revision was last known to be the newest.
	ConfigAge      object.Duration `json:"configAge"`
	StoreReachable bool            `json:"storeReachable"`
	// StoreError is the error of the last read of the configuration, if it failed.
	StoreError string `json:"storeError,omitempty"`
	// ConfigUnreadable counts the objects that a newer version of the program wrote and
	// this one cannot use.
	ConfigUnreadable int      `json:"configUnread,omitempty"`
	Executors        int      `json:"executors"`
	Members          []Member `json:"members,omitempty"`
	Duties           []Duty   `json:"duties,omitempty"`
}

// Member is another entry instance, as the responding one sees it.
type Member struct {
	Instance       fleet.InstanceID       `json:"instance"`
	Zone           fleet.AvailabilityZone `json:"zone"`
	Address        string                 `json:"address"`
	Reachable      bool                   `json:"reachable"`
	LastContact    time.Time              `json:"lastHeard,omitzero"`
	ConfigRevision object.Revision        `json:"configRevision"`
}

// Duty is a duty that this entry instance holds.
type Duty struct {
	Name  string    `json:"name"`
	Epoch int64     `json:"epoch"`
	Since time.Time `json:"since"`
}

// LogLevel is the current log level or the one to set: debug, info, warn or error.
type LogLevel struct {
	Level string `json:"level"`
}

// ConfigDocument is a configuration in the form that operators read, edit and write back.
type ConfigDocument struct {
	// Revision is the one on which an edit is based; zero means the newest.
	Revision object.Revision `json:"revision,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	object.Document
	// Delete lists the objects to delete, each as Kind/name.
	Delete []string `json:"delete,omitempty"`
}

// ApplyResult is the response to a change.
type ApplyResult struct {
	// Revision is the one that the change created; zero in a dry run or if nothing differs.
	Revision object.Revision `json:"revision,omitempty"`
	DryRun   bool            `json:"dryRun,omitempty"`
	Diff     []string        `json:"diff,omitempty"`
	Warnings []string        `json:"warnings,omitempty"`
}

// Rollback is a request for a new revision with the objects of an older one.
type Rollback struct {
	Revision object.Revision `json:"revision"`
	Reason   string          `json:"reason,omitempty"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision object.Revision `json:"revision"`
	At       time.Time       `json:"at"`
	Author   string          `json:"author,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Keys     []string        `json:"keys"`
}

// Rollout is the progress of the rollout of one revision.
type Rollout struct {
	Revision   object.Revision `json:"revision"`
	AcceptedAt time.Time       `json:"acceptedAt"`
	// InForce is the time from acceptance until the revision was in force on every live
	// entry instance, by their clocks; zero until then.
	InForce object.Duration `json:"inForce"`
	// Behind lists the reachable entry instances that hold an older revision.
	Behind []fleet.InstanceID `json:"behind,omitempty"`
	// Unreachable lists the entry instances whose revision is unknown.
	Unreachable []fleet.InstanceID `json:"unreachable,omitempty"`
}

// PoolStatus is the status of one pool.
type PoolStatus struct {
	Name      string   `json:"name"`
	Size      int      `json:"size"`
	Healthy   int      `json:"healthy"`
	Expected  int      `json:"expected"`  // instances in the pool's ledger, but at least its minimum size
	Available int      `json:"available"` // disruptions that the budget still allows
	Reasons   []string `json:"reasons,omitempty"`
}

// InstanceStatus is the status of one instance.
type InstanceStatus struct {
	ID     fleet.InstanceID       `json:"id"`
	Zone   fleet.AvailabilityZone `json:"zone"`
	Rack   string                 `json:"rack,omitempty"`
	Pool   string                 `json:"pool,omitempty"`
	State  fleet.State            `json:"state"`
	Reason string                 `json:"reason,omitempty"`
	Labels label.Set              `json:"labels,omitempty"`
	Since  time.Time              `json:"since,omitzero"`
}

// InstanceChange is a request to drain, undrain or relabel one instance.
type InstanceChange struct {
	Reason string    `json:"reason,omitempty"`
	Labels label.Set `json:"labels,omitempty"`
}

// MaintenanceStatus is the progress of one plan as seen by the duty of one availability
// zone. The numbers count instances.
type MaintenanceStatus struct {
	Plan             string                 `json:"plan"`
	Zone             fleet.AvailabilityZone `json:"zone"`
	Done             int                    `json:"done"`
	Total            int                    `json:"total"`
	UnderMaintenance int                    `json:"under"`
	Due              int                    `json:"due"`
	Forecast         time.Time              `json:"forecast,omitzero"`
	Paused           string                 `json:"paused,omitempty"` // why no further maintenance starts
}

// JobStatus is the status of one job.
type JobStatus struct {
	Name    string `json:"name"`
	Tenant  string `json:"tenant"`
	Tasks   int    `json:"tasks"`
	Running int    `json:"running"`
	Done    int    `json:"done"`
	Waiting int    `json:"waiting"`
	Reason  string `json:"reason,omitempty"`
}

// Problem is an RFC 9457 problem document.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   string `json:"code,omitempty"`
	// Verdict is set only in responses to callers' requests.
	Verdict string `json:"verdict,omitempty"`
	// Faults lists the faults of a document, one line each.
	Faults []string `json:"faults,omitempty"`
}

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"
