// Package fleet holds the types that describe instances, their state in the fleet and
// the records about them.
package fleet

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/label"
)

// InstanceID identifies one instance; it is never reused.
type InstanceID string

// TaskID identifies one start of one task. A second start with the same ID is a no-op,
// so that a retry after a lost response never runs a task twice.
type TaskID string

// AvailabilityZone names one availability zone.
type AvailabilityZone string

// Labels that the platform sets or that are derived from the fleet record.
const (
	LabelService = "service"
	LabelPool    = "pool"
	LabelRack    = "rack"
	LabelZone    = "zone"
	LabelKind    = "kind"
)

// Kind says what an instance is for.
type Kind string

// The kinds of instance.
const (
	KindEntry         Kind = "entry"
	KindBackendServer Kind = "backend-server"
	KindWorker        Kind = "worker"
)

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	MilliCPU     int64 `json:"milliCPU,omitempty"`     // thousandths of a core
	MemoryMiB    int64 `json:"memoryMiB,omitempty"`    // mebibytes
	Accelerators int64 `json:"accelerators,omitempty"` // whole devices
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most free in each dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMiB <= free.MemoryMiB && r.Accelerators <= free.Accelerators
}

// Instance is one instance as the platform lists it; that list may be out of date.
type Instance struct {
	ID       InstanceID       `json:"id"`
	Kind     Kind             `json:"kind"`
	Zone     AvailabilityZone `json:"zone"`
	Rack     string           `json:"rack,omitempty"`
	Address  string           `json:"address"` // host:port; for an entry instance its mesh address
	Labels   label.Set        `json:"labels,omitempty"`
	Capacity Resources        `json:"capacity,omitzero"`
	Leaving  bool             `json:"leaving,omitempty"`
}

// State is the state of an instance in its pool lifecycle.
type State string

// The states of an instance. An instance that moves to another pool goes through
// serving, draining, released and serving.
const (
	StateReleased    State = "released"    // in no pool
	StateServing     State = "serving"     // in its pool, takes work
	StateDraining    State = "draining"    // in its pool, takes no new work
	StateMaintenance State = "maintenance" // in its pool, drained and under maintenance
	StateFailed      State = "failed"      // in its pool, not healthy
)

// Record is the fleet's record of one instance. It has one Pool field, so an
// instance is in at most one pool by construction.
type Record struct {
	ID     InstanceID `json:"id"`
	Pool   string     `json:"pool,omitempty"`   // empty only in StateReleased
	Target string     `json:"target,omitempty"` // pool to serve next, after a drain or release
	State  State      `json:"state"`
	Reason string     `json:"reason,omitempty"`
	Labels label.Set  `json:"labels,omitempty"` // set by operators; they override the platform's
	Epoch  int64      `json:"epoch"`            // grows with each change of the record
	Since  time.Time  `json:"since"`
	// LastMaintained is the end of the last maintenance; zero if unknown.
	LastMaintained time.Time `json:"lastMaintained,omitzero"`
	// DrainRequested is set while an operator wants the instance out of its pool.
	DrainRequested *DrainRequest `json:"drainRequested,omitempty"`
	// Rack is the last rack in the platform's list, so that an instance that is
	// missing from the list still counts in its failure domain.
	Rack string `json:"rack,omitempty"`
}

// Page is the value of a fleet/<availabilityZone>/<page> key.
type Page struct {
	// Epoch is the highest duty epoch that wrote the page; a duty holder with a lower
	// epoch may no longer write it.
	Epoch   int64    `json:"epoch,omitempty"`
	Records []Record `json:"records"`
}
