// Package cluster holds the types of the machines that run tasks: machines, executors,
// pools, queues, and the operator's configuration of them.
package cluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// ExecutorID identifies an executor. An executor that crashes may start again under the same ID;
// Incarnation tells the two apart.
type ExecutorID string

// MachineID identifies a machine; it stays the same when its executor restarts.
type MachineID string

// Service is the name of a pool of machines and of the queues that they serve.
type Service string

// Executor is an executor's report about itself.
type Executor struct {
	ID       ExecutorID
	Born     Birth
	Service  Service
	Address  string // host:port
	Zone     fleet.AvailabilityZone
	Draining bool
	// DrainRemaining is the minimum time until a draining executor leaves.
	DrainRemaining time.Duration
	// ColdRemaining is how much longer the executor is slow after its start.
	ColdRemaining time.Duration
	Capacity      job.Resources
	Labels        []string
	// ClockMs is the executor's monotonic clock at the time of the report, in milliseconds.
	ClockMs int64
}

// Incarnation returns the incarnation that the report is about.
func (e Executor) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// Rack returns the rack among the labels, or "".
func (e Executor) Rack() string { return rackOf(e.Labels) }

// rackOf returns the label that names a rack: the first of the form r<number>-<number>.
// If there is none, it returns the last label, provided that there are at least two.
func rackOf(labels []string) string {
	for _, label := range labels {
		if strings.HasPrefix(label, "r") && strings.Contains(label, "-") {
			return label
		}
	}
	if len(labels) > 1 {
		return labels[len(labels)-1]
	}
	return ""
}

// MachineState is whether a machine can run an executor.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is a machine as the platform lists it.
type Machine struct {
	ID       MachineID
	Pool     Service
	State    MachineState
	Zone     fleet.AvailabilityZone
	Labels   []string
	Capacity job.Resources
	Executor ExecutorID // its current executor, in whatever incarnation; empty while it has none
	// Fault is why a part of its entry could not be used, empty if there is no such part. A machine
	// with a fault is not up.
	Fault string
}

// MachineList is a list of machines as the platform reports it.
type MachineList struct {
	Machines []Machine
	// Incomplete is why the list may lack machines, or executors of its machines; nil if it has all.
	// A machine or an executor that an incomplete list lacks may still exist.
	Incomplete error
	// Bytes is the length of the responses that the list was read from.
	Bytes int
}

// Faults returns what could not be used of the list, by a key that is the same in the next list while
// that stays so.
func (l MachineList) Faults() map[string]error {
	faults := map[string]error{}
	for _, m := range l.Machines {
		if m.Fault != "" {
			faults[string(m.ID)] = fmt.Errorf("machine %.64q: %s", m.ID, m.Fault)
		}
	}
	if l.Incomplete != nil {
		faults[""] = l.Incomplete
	}
	return faults
}

// Rack returns the rack among the labels, or "".
func (m Machine) Rack() string { return rackOf(m.Labels) }

// Queue is a queue to which callers submit jobs.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Service        Service
	Priority       int // 0 is the highest
	MaxAttempts    int
	Stretch        float64 // factor on a job's critical path; see Objective
	TargetDuration time.Duration
	Advice         *Advice // nil where any executor may run the queue's steps
	Public         bool    // callers need no API key
}

// maxObjective is the longest Objective, so that times it is added to can't overflow.
const maxObjective = 100 * 365 * 24 * time.Hour

// Objective returns the time within which a job with the given critical path should
// complete. It is at most 100 years.
func (q Queue) Objective(criticalPath time.Duration) time.Duration {
	stretched := q.Stretch * float64(criticalPath)
	if !(stretched+float64(q.TargetDuration) < float64(maxObjective)) { // also if it is not a number
		return maxObjective
	}
	return time.Duration(stretched) + q.TargetDuration
}

// Advice holds the times of the advice service, which decides which executors may run
// the steps of a queue's jobs.
type Advice struct {
	Decision time.Duration // time of one call
	Each     time.Duration // additional time for each executor in a call
	Validity time.Duration // how long a ticket is valid
}

// Pool is one pool of machines as the operator configured it.
type Pool struct {
	Service        Service
	AdmissionCheck bool // its executors refuse runs that exceed their free capacity
	Spare          bool // its machines are unassigned and switched off
}

// RequestLimits bounds the requests of callers.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one complete version of the operator's configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  RequestLimits
	// Tenancy is set if calls of queues that are not public need the API key of a tenant.
	Tenancy bool
	Tenants []Tenant
	// Skipped lists the entries, and the parts of entries, that are not in force, with the reason.
	Skipped []string

	keys  map[keyDigest]int  // positions in Tenants of the holders of the API keys
	names map[TenantName]int // positions in Tenants
}

// Route returns the queue of a request and whether there is one: the queue of the host
// with the longest prefix of the path.
func (c *Config) Route(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if !found || len(q.Prefix) > len(best.Prefix) {
			best, found = q, true
		}
	}
	return best, found
}

// Wave is a request for the maintenance of machines, a few at a time.
type Wave struct {
	Number   int64
	Machines []MachineID
	Duration time.Duration // within which all machines must be maintained
	MaxDown  int           // how many machines may be down at once
}

// WaveState is the state of a wave that the operator reads.
type WaveState string

// The states of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)
