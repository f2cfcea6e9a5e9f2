package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// Load is what an owner tells the planner of the fleet about its service.
type Load struct {
	// WaitingCPU is the need, in thousandths of a core, of tasks that could start now
	// if there were room.
	WaitingCPU int64 `json:"waiting"`
	// ComingCPU is the need of tasks that wait for earlier steps of begun jobs.
	ComingCPU int64 `json:"coming"`
	// WaitingWork is the work of all waiting and coming tasks, in core-milliseconds.
	WaitingWork int64 `json:"work"`
	// ArrivedWork is the work of all jobs taken in during the term, in
	// core-milliseconds; its growth is the demand.
	ArrivedWork int64 `json:"arrived"`
	ArrivedJobs int64 `json:"arrivedJobs"`
	// LeastExecutors is how many executors the lasting tasks need at least, since
	// only so many of a step may run on one.
	LeastExecutors int                                 `json:"least"`
	Executors      map[cluster.ExecutorID]ExecutorLoad `json:"executors"`
}

// ExecutorLoad is what runs or may run on one executor.
type ExecutorLoad struct {
	Runs    int   `json:"runs,omitempty"`
	Lasting int   `json:"lasting,omitempty"`
	UsedCPU int64 `json:"cpu,omitempty"`
	// LastingCPU is the part of UsedCPU that lasting tasks take.
	LastingCPU int64 `json:"lastingCPU,omitempty"`
	Cordoned   bool  `json:"cordoned,omitempty"` // gets no new work, as asked
}

// loadEvery bounds how often a load is stored.
const loadEvery = 100 * time.Millisecond

// load describes the service now.
func (s *Shard) load(now time.Time) Load {
	l := Load{ArrivedWork: s.arrivedWork, ArrivedJobs: s.arrivedJobs, Executors: map[cluster.ExecutorID]ExecutorLoad{}}
	for _, e := range s.executors {
		if e.dead || !e.listed && len(e.runs) == 0 {
			continue
		}
		x := ExecutorLoad{Runs: len(e.runs) + len(e.strays), UsedCPU: e.used.MilliCPU, Cordoned: e.cordoned}
		for _, r := range e.runs {
			if r.task.step.def.LongRunning {
				x.Lasting++
				x.LastingCPU += r.task.step.def.Room().MilliCPU
			}
		}
		l.Executors[e.ID] = x
	}
	for _, j := range s.jobs {
		if !j.ended() && !j.state.Final() && j.standing(now) != standingTooLate {
			l.addJob(j)
		}
	}
	return l
}

func (l *Load) addJob(j *jobState) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			l.LeastExecutors = max(l.LeastExecutors, st.leastExecutors())
			for _, t := range st.tasks {
				if t.done || t.current != nil {
					continue
				}
				need := st.def.Room().MilliCPU
				l.WaitingWork += need * st.def.Estimate.Milliseconds() / 1000
				if st.blocked == 0 {
					l.WaitingCPU += need
				} else if j.begun() {
					l.ComingCPU += need
				}
			}
		}
	}
}

// leastExecutors is how many executors a lasting step needs.
func (s *step) leastExecutors() int {
	if !s.def.LongRunning || s.def.MaxPerServer == 0 {
		return 0
	}
	return (s.def.Count + s.def.MaxPerServer - 1) / s.def.MaxPerServer
}

// workOf is the work of a job's steps in core-milliseconds.
func workOf(r Record) int64 {
	var work int64
	for _, st := range r.Definition.Steps {
		work += int64(st.Count) * st.Room().MilliCPU * st.Estimate.Milliseconds() / 1000
	}
	return work
}

// same reports whether nothing that a planner goes by has changed.
func (l Load) same(o Load) bool {
	if l.WaitingCPU != o.WaitingCPU || l.ComingCPU != o.ComingCPU || l.ArrivedWork != o.ArrivedWork || l.LeastExecutors != o.LeastExecutors || len(l.Executors) != len(o.Executors) {
		return false
	}
	for id, e := range l.Executors {
		if o.Executors[id] != e {
			return false
		}
	}
	return true
}
