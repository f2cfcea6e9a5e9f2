package layout

import (
	"strings"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// OwnersPrefix is the prefix of the holders of all duties.
const OwnersPrefix = "owners/"

// DutyKind is the kind of a duty.
type DutyKind string

// The kinds of duties.
const (
	// KindFleet is the kind of FleetDuty.
	KindFleet DutyKind = "fleet"
	// KindService is the kind of the duty to lead a service.
	KindService DutyKind = "service"
)

// Duty is something that one instance at a time does.
type Duty struct {
	Kind    DutyKind
	Service cluster.Service // empty for FleetDuty
}

// FleetDuty is the duty to plan the fleet.
var FleetDuty = Duty{Kind: KindFleet}

// ServiceDuty returns the duty to lead a service.
func ServiceDuty(s cluster.Service) Duty { return Duty{Kind: KindService, Service: s} }

// String returns the name of the duty in logs, which a service and the fleet may share.
func (d Duty) String() string {
	if d.Kind == KindService {
		return string(d.Service)
	}
	return string(d.Kind)
}

// servicePrefix distinguishes the key of a service from that of another duty.
const servicePrefix = "service:"

// OwnerKey returns the key of a duty's Holder. No two duties have the same one, whatever the services are called.
func OwnerKey(d Duty) string {
	if d.hasAmbiguousName() {
		return OwnersPrefix + servicePrefix + d.String()
	}
	return OwnersPrefix + d.String()
}

// FormerOwnerKey returns the key under which instances of earlier versions hold the duty, and whether it is another one
// than OwnerKey. They hold another duty under it as well, and don't state which.
func FormerOwnerKey(d Duty) (string, bool) { return OwnersPrefix + d.String(), d.hasAmbiguousName() }

// hasAmbiguousName reports whether the name of a service alone would be the key of another duty.
func (d Duty) hasAmbiguousName() bool {
	name := d.String()
	return d.Kind == KindService && (name == FleetDuty.String() || strings.HasPrefix(name, servicePrefix))
}

// Holder is the instance that holds a duty. Term distinguishes terms of the same instance.
type Holder struct {
	Instance fleet.InstanceID       `json:"instance"`
	Zone     fleet.AvailabilityZone `json:"zone"`
	Term     string                 `json:"term"`
	// Kind is the kind of the duty. Instances of earlier versions don't state it.
	Kind DutyKind `json:"kind,omitempty"`
}
