// Package fleet holds the types that describe instances and where they stand.
package fleet

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/label"
)

// InstanceID names one instance; it is never reused.
type InstanceID string

// TaskID names one start of one task. A second start with the same ID is a no-op,
// so that a lost answer never doubles a task.
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

// Fits reports whether r is no more than free in each dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMiB <= free.MemoryMiB && r.Accelerators <= free.Accelerators
}

// Instance is what the platform's lagging list says of one instance.
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

// State is where an instance stands in its life in a pool.
type State string

// The states of an instance. A move goes serving, draining, released, serving.
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
	Pool   string     `json:"pool,omitempty"` // empty only in StateReleased
	Target string     `json:"target,omitempty"`
	State  State      `json:"state"`
	Reason string     `json:"reason,omitempty"`
	Labels label.Set  `json:"labels,omitempty"` // set by operators, over the platform's
	Epoch  int64      `json:"epoch"`            // grows with each change of the record
	Since  time.Time  `json:"since"`
	// LastMaintained is the end of the last maintenance; zero if unknown.
	LastMaintained time.Time `json:"lastMaintained,omitzero"`
	// DrainRequested is set while an operator wants the instance out of its pool.
	DrainRequested *DrainRequest `json:"drainRequested,omitempty"`
	// Rack is the last rack that the platform's list named, so that an instance
	// that is gone from the list still counts in its failure domain.
	Rack string `json:"rack,omitempty"`
}

// Page is the value of a fleet/<availabilityZone>/<page> key.
type Page struct {
	// Epoch is the highest duty epoch that wrote the page; a duty with a lower one
	// no longer writes it.
	Epoch   int64    `json:"epoch,omitempty"`
	Records []Record `json:"records"`
}
