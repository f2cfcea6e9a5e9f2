// Package cluster holds the words of the machines that run tasks: machines,
// executors, pools, queues, and the operator's configuration of them.
package cluster

import (
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// ExecutorID names one life of a machine; a restarted executor has a new one.
type ExecutorID string

// MachineID names a machine over all its lives.
type MachineID string

// Service names a pool of machines and the queues that it serves.
type Service string

// Executor is an executor's report about itself.
type Executor struct {
	ID       ExecutorID
	Service  Service
	Address  string // host:port
	Zone     fleet.AvailabilityZone
	Draining bool
	// DrainRemaining is the least time until a draining executor leaves.
	DrainRemaining time.Duration
	// ColdRemaining is how much longer the executor is slow after its start.
	ColdRemaining time.Duration
	Capacity      job.Resources
	Labels        []string
	// Clock is the executor's steady clock at the time of the report, in milliseconds.
	ClockMs int64
}

// Rack returns the rack among the labels, or "".
func (e Executor) Rack() string { return rackOf(e.Labels) }

// rackOf picks the label that names a rack: its form is r<number>-<number>, or,
// failing that, the last label.
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

// MachineState says whether a machine can run an executor.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is the platform's view of a machine.
type Machine struct {
	ID       MachineID
	Pool     Service
	State    MachineState
	Zone     fleet.AvailabilityZone
	Labels   []string
	Capacity job.Resources
	Executor ExecutorID // its present life; empty while it has none
}

// Rack returns the rack among the labels, or "".
func (m Machine) Rack() string { return rackOf(m.Labels) }

// Queue is where callers hand in jobs.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Service        Service
	Priority       int // 0 comes first
	MaxAttempts    int
	Stretch        float64
	TargetDuration time.Duration
	Advice         *Advice // nil where any executor may run the queue's steps
}

// Objective is how long a job whose longest chain of work takes chain may take.
func (q Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.TargetDuration
}

// Advice says how long the advice service takes for a queue.
type Advice struct {
	Decision time.Duration // for a call
	Each     time.Duration // for each executor named in it
	Validity time.Duration // of a ticket
}

// Pool is a service as the operator configured it.
type Pool struct {
	Service        Service
	AdmissionCheck bool // its executors refuse what does not fit
	Spare          bool // its machines are off
}

// RequestLimits bound requests of callers.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration, whole.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  RequestLimits
}

// Route returns the queue of a request: the one of its host with the longest
// prefix that the path begins with.
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

// Wave asks for the maintenance of machines, a few at a time.
type Wave struct {
	Number   int64
	Machines []MachineID
	Duration time.Duration // within which all are to be done
	MaxDown  int           // at once
}

// WaveState is what the operator reads of a wave.
type WaveState string

// The states of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)
