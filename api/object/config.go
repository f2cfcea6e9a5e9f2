package object

import (
	"maps"
	"time"
)

// Document is a set of objects as operators write them in one file.
type Document struct {
	Services         []Service         `json:"services,omitempty"`
	Classes          []Class           `json:"classes,omitempty"`
	Tenants          []Tenant          `json:"tenants,omitempty"`
	Pools            []Pool            `json:"pools,omitempty"`
	MaintenancePlans []MaintenancePlan `json:"maintenancePlans,omitempty"`
	Jobs             []Job             `json:"jobs,omitempty"`
}

// BaseRevision is the revision of an object on which a change is based; a Revision of
// zero means that the object did not exist.
type BaseRevision struct {
	Key      Key      `json:"key"`
	Revision Revision `json:"revision"`
}

// Change is one operator's change. It is accepted or refused as a whole.
type Change struct {
	// ID distinguishes this change from a concurrent one for the same revision.
	ID     string    `json:"id"`
	Author string    `json:"author,omitempty"`
	Reason string    `json:"reason,omitempty"`
	At     time.Time `json:"at"`
	// Base is the revision of each touched object on which the operator based the change.
	Base   []BaseRevision `json:"base,omitempty"`
	Put    Document       `json:"put"`
	Delete []Key          `json:"delete,omitempty"`
}

// Versioned is an object with the revision that last wrote it.
type Versioned[T any] struct {
	Revision Revision `json:"revision"`
	Spec     T        `json:"spec"`
}

// Config is the complete configuration at one revision. It is immutable once shared.
type Config struct {
	Revision Revision `json:"revision"`
	// ChangeID and AcceptedAt are those of the change that created this revision.
	ChangeID         string                                `json:"changeID,omitempty"`
	AcceptedAt       time.Time                             `json:"acceptedAt,omitzero"`
	Services         map[string]Versioned[Service]         `json:"services,omitempty"`
	Classes          map[string]Versioned[Class]           `json:"classes,omitempty"`
	Tenants          map[string]Versioned[Tenant]          `json:"tenants,omitempty"`
	Pools            map[string]Versioned[Pool]            `json:"pools,omitempty"`
	MaintenancePlans map[string]Versioned[MaintenancePlan] `json:"maintenancePlans,omitempty"`
	Jobs             map[string]Versioned[Job]             `json:"jobs,omitempty"`
}

// Apply returns the configuration after change, at the next revision. It neither
// validates the change nor alters c.
func (c *Config) Apply(change Change) *Config {
	next := *c
	next.Revision = c.Revision + 1
	next.ChangeID = change.ID
	next.AcceptedAt = change.At
	rev := next.Revision
	next.Services = put(c.Services, change.Put.Services, rev, func(s Service) string { return s.Name })
	next.Classes = put(c.Classes, change.Put.Classes, rev, func(s Class) string { return s.Name })
	next.Tenants = put(c.Tenants, change.Put.Tenants, rev, func(s Tenant) string { return s.Name })
	next.Pools = put(c.Pools, change.Put.Pools, rev, func(s Pool) string { return s.Name })
	next.MaintenancePlans = put(c.MaintenancePlans, change.Put.MaintenancePlans, rev,
		func(s MaintenancePlan) string { return s.Name })
	next.Jobs = put(c.Jobs, change.Put.Jobs, rev, func(s Job) string { return s.Name })
	for _, key := range change.Delete {
		next.remove(key)
	}
	return &next
}

// put returns old with specs written at rev. If specs is empty, it returns old itself, so
// that configurations share the maps that did not change.
func put[T any](old map[string]Versioned[T], specs []T, rev Revision, name func(T) string) map[string]Versioned[T] {
	if len(specs) == 0 {
		return old
	}
	out := make(map[string]Versioned[T], len(old)+len(specs))
	maps.Copy(out, old)
	for _, spec := range specs {
		out[name(spec)] = Versioned[T]{Revision: rev, Spec: spec}
	}
	return out
}

func (c *Config) remove(key Key) {
	switch key.Kind {
	case KindService:
		c.Services = without(c.Services, key.Name)
	case KindClass:
		c.Classes = without(c.Classes, key.Name)
	case KindTenant:
		c.Tenants = without(c.Tenants, key.Name)
	case KindPool:
		c.Pools = without(c.Pools, key.Name)
	case KindMaintenancePlan:
		c.MaintenancePlans = without(c.MaintenancePlans, key.Name)
	case KindJob:
		c.Jobs = without(c.Jobs, key.Name)
	}
}

func without[T any](old map[string]Versioned[T], name string) map[string]Versioned[T] {
	out := maps.Clone(old)
	delete(out, name)
	return out
}

// RevisionOf returns the revision that last wrote the object, or zero if the object
// does not exist.
func (c *Config) RevisionOf(key Key) Revision {
	switch key.Kind {
	case KindService:
		return c.Services[key.Name].Revision
	case KindClass:
		return c.Classes[key.Name].Revision
	case KindTenant:
		return c.Tenants[key.Name].Revision
	case KindPool:
		return c.Pools[key.Name].Revision
	case KindMaintenancePlan:
		return c.MaintenancePlans[key.Name].Revision
	case KindJob:
		return c.Jobs[key.Name].Revision
	default:
		return 0
	}
}
