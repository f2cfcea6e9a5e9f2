// Package directory determines the endpoints of every service from the platform's
// instance list, the configuration, the fleet record and executors' own notices, and
// publishes them as immutable snapshots.
package directory

import (
	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Snapshot is the configuration with the endpoints at one moment. It is immutable.
type Snapshot struct {
	// Config is the configuration from which the snapshot was built; nil until one is set.
	Config *object.Config
	// Services holds each configured service with its endpoints, by name.
	Services map[string]*Service
	// EntryInstances are the entry instances that the platform lists and that are not
	// leaving.
	EntryInstances []fleet.Instance
}

// Service is a service with its executors.
type Service struct {
	Spec object.Service
	// Endpoints are the executors that receive new requests, sorted by ID.
	Endpoints []Endpoint
	// Noticed are the executors that are excluded only by their own notice of leaving,
	// sorted by ID.
	Noticed []Endpoint
}

// Endpoint is one executor of a service.
type Endpoint struct {
	ID      fleet.InstanceID
	Address string // host:port
	Zone    fleet.AvailabilityZone
}

// Exclusion is the reason why a backend server receives no new requests of a service.
type Exclusion string

// The reasons why an instance is not an endpoint; Included means that it is one.
const (
	Included        Exclusion = ""
	NoMatch         Exclusion = "selector-does-not-match"
	OtherPool       Exclusion = "serves-in-another-pool"
	PlatformLeaving Exclusion = "leaving-by-platform-list"
	Drained         Exclusion = "drained-by-operators"
	OwnNotice       Exclusion = "own-notice"
)
