// Package object holds the configuration objects that operators write, and parses,
// validates and compares them.
package object

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Kind is the kind of an object.
type Kind string

// The kinds of object.
const (
	KindService         Kind = "Service"
	KindClass           Kind = "Class"
	KindTenant          Kind = "Tenant"
	KindPool            Kind = "Pool"
	KindMaintenancePlan Kind = "MaintenancePlan"
	KindJob             Kind = "Job"
)

// Key identifies one object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Revision counts the accepted configuration changes, from 1. Zero means none.
type Revision int64

// Duration is a time.Duration written as "1m30s" in JSON.
type Duration time.Duration

// MarshalJSON writes the duration in Go's notation.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a Go duration such as "1m30s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s: want a string such as \"30s\": %w", data, err)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q: want a form such as \"30s\": %w", text, err)
	}
	*d = Duration(value)
	return nil
}

// Service is a service that callers reach under /s/{name}/. Its executors are the
// backend servers whose labels match Selector and, if Pool is set, that serve in that
// pool.
type Service struct {
	Name     string `json:"name"`
	Pool     string `json:"pool,omitempty"`
	Selector string `json:"selector,omitempty"` // default service=<name>
	// Slots is how many requests one executor runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections one executor accepts from all entry instances.
	Connections int `json:"connections"`
	// QueueLimit bounds the requests that wait at one entry instance.
	QueueLimit int `json:"queueLimit,omitempty"`
	// MaxBodyBytes bounds a request's body; zero means the default.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// ReadinessPath is probed on executors; empty means /readyz.
	ReadinessPath string `json:"readinessPath,omitempty"`
}

// Class defines how requests of one kind of work are handled.
type Class struct {
	Name string `json:"name"`
	// Priority orders classes; a higher one is served first.
	Priority int `json:"priority"`
	// Timeout applies if the caller sets none.
	Timeout Duration `json:"timeout"`
	// Repeatable is whether requests of the class are idempotent; nil means that this
	// depends on the HTTP method.
	Repeatable *bool `json:"repeatable,omitempty"`
}

// Tenant is an organisation or a team with its share and quota.
type Tenant struct {
	Name string `json:"name"`
	// Weight is the tenant's fair share of contended capacity relative to other tenants;
	// zero means 1.
	Weight int `json:"weight,omitempty"`
	// MaxInFlight caps the tenant's requests at one entry instance; zero means no cap.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// Quota is the capacity on workers that the tenant's jobs may hold without borrowing.
	Quota fleet.Resources `json:"quota,omitzero"`
}

// Amount is a count, or a percentage if Percent is true. In JSON it is 3 or "25%".
type Amount struct {
	Value   int
	Percent bool
}

// Budget bounds how many instances of a pool may be out of service. At most one of the
// two fields is set.
type Budget struct {
	MinHealthy     *Amount `json:"minHealthy,omitempty"`
	MaxUnavailable *Amount `json:"maxUnavailable,omitempty"`
}

// The failure domains whose loss a pool can be sized to survive.
const (
	FailureDomainRack = "rack"
	FailureDomainZone = "zone"
)

// Pool is a group of instances that serve the same purpose.
type Pool struct {
	Name     string `json:"name"`
	Selector string `json:"selector"`
	// Budget applies to the pool, ZoneBudget to its part in each availability zone.
	Budget     Budget `json:"budget"`
	ZoneBudget Budget `json:"zoneBudget,omitzero"`
	// Min and Max bound the pool's size; a Max of zero means no bound.
	Min int `json:"min,omitempty"`
	Max int `json:"max,omitempty"`
	// MoveWeight and BufferWeight are the costs of one move and of one idle instance for a day.
	MoveWeight   float64 `json:"moveWeight,omitempty"`
	BufferWeight float64 `json:"bufferWeight,omitempty"`
	// FailureDomain is the domain whose loss the pool is sized to survive: "rack" or
	// "zone". Empty means "zone".
	FailureDomain string `json:"failureDomain,omitempty"`
}

// MaintenancePlan defines which pools are maintained and how often.
type MaintenancePlan struct {
	Name string `json:"name"`
	// Pools names the pools; empty means all.
	Pools []string `json:"pools,omitempty"`
	// Period is the time within which every instance is maintained once.
	Period Duration `json:"period"`
	// Duration is how long one instance is expected to be out of service.
	Duration Duration `json:"duration"`
	// MaxParallel bounds the instances under maintenance at once; zero means that only the
	// budgets bound them.
	MaxParallel int  `json:"maxParallel,omitempty"`
	Paused      bool `json:"paused,omitempty"`
}

// Job is work that is placed on workers.
type Job struct {
	Name     string          `json:"name"`
	Tenant   string          `json:"tenant"`
	Class    string          `json:"class"`
	Selector string          `json:"selector,omitempty"` // matched against the workers' labels
	Declared fleet.Resources `json:"declared"`           // need of each task; often far from the actual use
	Tasks    int             `json:"tasks"`
	Urgent   bool            `json:"urgent,omitempty"`
	Deadline time.Time       `json:"deadline,omitzero"`
	RunTime  Duration        `json:"runTime,omitempty"` // declared; often far from the actual run time
	Canceled bool            `json:"canceled,omitempty"`
	// Releases counts how often an operator ended the job's quarantine.
	Releases int `json:"releases,omitempty"`
}
