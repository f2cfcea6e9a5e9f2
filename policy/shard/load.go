package shard

import (
	"reflect"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Load is what an owner reports to the fleet planner about its service. CPU amounts are in
// thousandths of a core. The need of a task is the share of an executor that it takes up by
// the resource of which it needs most, given as CPU; see occupiedCPU.
type Load struct {
	// InTimeCPU is the need of tasks that run, or could start now if there were enough
	// capacity, of jobs that can still meet their objective.
	InTimeCPU int64 `json:"inTime"`
	// LateCPU is the same for jobs that are late, but not too late to be of any use, and for
	// excess jobs.
	LateCPU int64 `json:"late"`
	// ExcessCPU is the part of LateCPU for excess jobs: those beyond the rates of their tenants.
	ExcessCPU int64 `json:"excess,omitempty"`
	// BlockedCPU is the need of tasks that wait for earlier steps, of started jobs that
	// can still meet their objective.
	BlockedCPU int64 `json:"coming"`
	// LongRunningCPU is the need of long-running tasks, running or not.
	LongRunningCPU int64 `json:"lasting"`
	// WaitingCPU is the part of these amounts for tasks that could start now but have no run.
	WaitingCPU int64 `json:"waiting"`
	// ArrivedWork is the work of all short jobs added during the term, except excess ones, in
	// core-milliseconds; its growth is the demand. ArrivedJobs is their number.
	ArrivedWork int64 `json:"arrived"`
	ArrivedJobs int64 `json:"arrivedJobs"`
	// ObservationGaps counts the times in which the owner could not see arrivals, or not
	// publish them, for longer than maxObservationGap. What arrived then counts at once
	// afterwards, which says nothing about the present rate.
	ObservationGaps int64 `json:"gaps,omitempty"`
	// MinExecutors is the minimum number of executors for the long-running tasks, given
	// how many tasks of a step may run on one.
	MinExecutors int                                 `json:"least"`
	Executors    map[cluster.ExecutorID]ExecutorLoad `json:"executors"`
}

// ExecutorLoad describes what runs or may run on one executor.
type ExecutorLoad struct {
	// Born tells the incarnation of the executor.
	Born        cluster.Birth `json:"born,omitempty"`
	Runs        int           `json:"runs,omitempty"`
	LongRunning int           `json:"lasting,omitempty"`
	UsedCPU     int64         `json:"cpu,omitempty"`
	Cordoned    bool          `json:"cordoned,omitempty"` // gets no new work, by the planner's cordon
	// CordonID is the ID of that cordon.
	CordonID string `json:"cordonID,omitempty"`
	// Unusable is set if the executor gets no new work for another reason than that cordon:
	// it does not respond, was listed as draining, or has runs that the owner does not know.
	Unusable bool `json:"unusable,omitempty"`
}

// maxObservationGap is the longest time between two observations of the arriving jobs from
// which their rate can be derived.
const maxObservationGap = 1 * time.Second

// NoteObservation records that arriving jobs are seen again after the given time without any
// contact with the store.
func (s *Shard) NoteObservation(after time.Duration) {
	if after > maxObservationGap {
		s.observationGaps++
	}
}

const (
	// loadInterval is the minimum time between two writes of the load, except urgent ones, while batches are
	// stored soon.
	loadInterval = 100 * time.Millisecond
	// loadStoringFactor is that time as a multiple of what storing a batch takes. Batches take long while the link
	// of the instance is full, and the load of a large service is among the longest values in them. It arrives
	// late then anyway.
	loadStoringFactor = 5
	// maxLoadInterval bounds that time: the planner must still see a peak begin.
	maxLoadInterval = 500 * time.Millisecond
	// storingGain is the weight of the latest batch in the smoothed time.
	storingGain = 0.2
)

// NoteStored records how long it took to store a batch.
func (s *Shard) NoteStored(took time.Duration) {
	s.storingTime += time.Duration(storingGain * float64(took-s.storingTime))
}

// minLoadInterval returns the minimum time between two writes of the load.
func (s *Shard) minLoadInterval() time.Duration {
	interval := min(max(loadInterval, loadStoringFactor*s.storingTime), maxLoadInterval)
	switch {
	case !s.loadUrgent:
		return interval
	case interval == loadInterval:
		return 0
	default:
		return interval / 2
	}
}

// load returns the present load of the service.
func (s *Shard) load(now time.Time) Load {
	l := Load{ArrivedWork: s.arrivedWork, ArrivedJobs: s.arrivedJobs, ObservationGaps: s.observationGaps, Executors: map[cluster.ExecutorID]ExecutorLoad{}}
	for _, e := range s.executors {
		runs := len(e.runs) + len(e.orphans) + e.formerRuns()
		if e.ended || !e.listed && runs == 0 {
			continue
		}
		e.reportedEmpty = e.reportedEmpty || e.cordoned() && runs == 0
		l.Executors[e.ID] = ExecutorLoad{
			Born: e.Born, Runs: runs, LongRunning: e.longRunning, UsedCPU: e.used.MilliCPU,
			Cordoned: e.cordoned(), CordonID: e.cordon.ID,
			Unusable: e.inherentReason() != "",
		}
	}
	capacity := s.meanCapacity()
	for _, j := range s.jobs {
		if u := j.urgency(now); !j.terminating() && !j.state.Final() && u != urgencyTooLate {
			l.addJob(j, u, capacity)
		}
	}
	return l
}

// occupiedCPU returns the CPU capacity that a task with the given need takes up on an
// executor of the given capacity: the capacity divided by how many such tasks fit. That
// includes the CPU capacity that is left over because the memory is used up, or because it
// is too little for another task.
func occupiedCPU(need, capacity job.Resources) int64 {
	fits := int64(fitCount(need, capacity))
	if capacity.MilliCPU == 0 || fits == 0 || fits == job.MaxTasks {
		return need.MilliCPU
	}
	return max(need.MilliCPU, capacity.MilliCPU/fits)
}

func (l *Load) addJob(j *jobState, u urgency, capacity job.Resources) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			l.MinExecutors = max(l.MinExecutors, s.minExecutors())
			need := occupiedCPU(s.def.Reservation(), capacity)
			for _, t := range s.tasks {
				if !t.done {
					l.addTask(t, u, need)
				}
			}
		}
	}
}

func (l *Load) addTask(t *task, u urgency, need int64) {
	blocked := t.step.blockers > 0
	if t.current == nil && !blocked {
		l.WaitingCPU += need
	}
	switch {
	case t.step.def.LongRunning:
		l.LongRunningCPU += need
	case blocked:
		if u == urgencyInTime && t.step.job.started() {
			l.BlockedCPU += need
		}
	case u == urgencyInTime:
		l.InTimeCPU += need
	case u == urgencyExcess:
		l.ExcessCPU += need
		l.LateCPU += need
	default:
		l.LateCPU += need
	}
}

// minExecutors returns the minimum number of executors for a long-running step.
func (s *step) minExecutors() int {
	if !s.def.LongRunning || s.def.MaxPerServer == 0 {
		return 0
	}
	return (s.def.Count + s.def.MaxPerServer - 1) / s.def.MaxPerServer
}

// workOf returns the work of a job's steps in core-milliseconds.
func workOf(r Record) int64 {
	var work int64
	for _, st := range r.Definition.Steps {
		work += int64(st.Count) * st.Reservation().MilliCPU * st.Estimate.Milliseconds() / 1000
	}
	return work
}

// equal reports whether the two loads are equal.
func (l Load) equal(other Load) bool { return reflect.DeepEqual(l, other) }
