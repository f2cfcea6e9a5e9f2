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

// Status is how one entry instance stands.
type Status struct {
	Instance fleet.InstanceID       `json:"instance"`
	Zone     fleet.AvailabilityZone `json:"zone"`
	Version  string                 `json:"version"`
	Ready    bool                   `json:"ready"`
	// NotReady says why, one reason each.
	NotReady       []string        `json:"notReady,omitempty"`
	ConfigRevision object.Revision `json:"configRevision"`
	// ConfigAge is the time since the revision held was last known to be the newest.
	ConfigAge      object.Duration `json:"configAge"`
	StoreReachable bool            `json:"storeReachable"`
	// StoreError is why the last read of the configuration failed.
	StoreError string `json:"storeError,omitempty"`
	// ConfigUnreadable counts objects of a newer version that this one cannot use.
	ConfigUnreadable int      `json:"configUnread,omitempty"`
	Executors        int      `json:"executors"`
	Members          []Member `json:"members,omitempty"`
	Duties           []Duty   `json:"duties,omitempty"`
}

// Member is another entry instance as this one sees it.
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

// LogLevel asks for a log level: debug, info, warn or error.
type LogLevel struct {
	Level string `json:"level"`
}

// ConfigDocument is a configuration as operators read it and write it back.
type ConfigDocument struct {
	// Revision is the one on which an edit is based; zero takes the newest.
	Revision object.Revision `json:"revision,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	object.Document
	// Delete names objects as Kind/name.
	Delete []string `json:"delete,omitempty"`
}

// ApplyResult is the answer to a change.
type ApplyResult struct {
	// Revision is the one that the change made; zero in a dry run or without a difference.
	Revision object.Revision `json:"revision,omitempty"`
	DryRun   bool            `json:"dryRun,omitempty"`
	Diff     []string        `json:"diff,omitempty"`
	Warnings []string        `json:"warnings,omitempty"`
}

// Rollback asks for a new revision that brings back an older one's objects.
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

// Rollout is how far one revision has come.
type Rollout struct {
	Revision   object.Revision `json:"revision"`
	AcceptedAt time.Time       `json:"acceptedAt"`
	// InForce is the time from acceptance until in force on every live entry
	// instance, by their clocks; zero while it is not.
	InForce object.Duration `json:"inForce"`
	// Behind lists the reachable entry instances that hold an older revision.
	Behind []fleet.InstanceID `json:"behind,omitempty"`
	// Unreachable lists the entry instances of which nothing is known.
	Unreachable []fleet.InstanceID `json:"unreachable,omitempty"`
}

// PoolStatus is how one pool stands.
type PoolStatus struct {
	Name      string   `json:"name"`
	Size      int      `json:"size"`
	Healthy   int      `json:"healthy"`
	Expected  int      `json:"expected"`  // by the record of its budget
	Available int      `json:"available"` // disruptions that the budget still allows
	Reasons   []string `json:"reasons,omitempty"`
}

// InstanceStatus is how one instance stands.
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

// InstanceChange drains, returns or relabels one instance.
type InstanceChange struct {
	Reason string    `json:"reason,omitempty"`
	Labels label.Set `json:"labels,omitempty"`
}

// MaintenanceStatus is the progress of one plan as one availability zone's duty
// sees it.
type MaintenanceStatus struct {
	Plan             string                 `json:"plan"`
	Zone             fleet.AvailabilityZone `json:"zone"`
	Done             int                    `json:"done"`
	Total            int                    `json:"total"`
	UnderMaintenance int                    `json:"under"` // under maintenance now
	Due              int                    `json:"due"`
	Forecast         time.Time              `json:"forecast,omitzero"`
	Paused           string                 `json:"paused,omitempty"` // why nothing new starts
}

// JobStatus is how one job stands.
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
	// Verdict is set on the request path.
	Verdict string `json:"verdict,omitempty"`
	// Faults lists what is wrong with a document, one line each.
	Faults []string `json:"faults,omitempty"`
}

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"
