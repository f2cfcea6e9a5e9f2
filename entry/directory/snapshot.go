// Package directory keeps the endpoints of every service, merged from the
// platform's instance list, the configuration, the fleet record and executors'
// own notices, and publishes them as immutable snapshots.
package directory

import (
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	// Config is the configuration on which the snapshot rests.
	Config *object.Config
	// Services holds the endpoints of each configured service by its name.
	Services map[string]*Service
	// EntryInstances are the live entry instances that the platform lists.
	EntryInstances []fleet.Instance
}

// Service is a service with its executors.
type Service struct {
	Spec object.Service
	// Endpoints take new work, in order of their IDs.
	Endpoints []Endpoint
	// Noticed are out of routing by their own notice alone.
	Noticed []Endpoint
}

// Endpoint is one executor of a service.
type Endpoint struct {
	ID      fleet.InstanceID
	Address string // host:port
	Zone    fleet.AvailabilityZone
}

// Exclusion is the reason why a backend server takes no new work of a service.
type Exclusion string

// The reasons against an instance as an endpoint.
const (
	Included        Exclusion = ""
	NoMatch         Exclusion = "selector-does-not-match"
	OtherPool       Exclusion = "serves-in-another-pool"
	PlatformLeaving Exclusion = "leaving-by-platform-list"
	Drained         Exclusion = "drained-by-operators"
	OwnNotice       Exclusion = "own-notice"
)
