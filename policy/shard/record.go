package shard

import (
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// Record is an accepted job as stored. The stored record never changes.
type Record struct {
	ID    job.ID      `json:"id"`
	Queue QueuePolicy `json:"queue"`
	// Tenant is whose job it is; empty for jobs without a tenant.
	Tenant     cluster.TenantName `json:"tenant,omitempty"`
	Accepted   time.Time          `json:"accepted"`
	Definition job.Definition     `json:"definition"`
}

// QueuePolicy holds the parameters of a queue. A stored record has those at the time of its
// acceptance; SetQueues replaces them in memory.
type QueuePolicy struct {
	Name           string          `json:"name"`
	Priority       int             `json:"priority,omitempty"`
	MaxAttempts    int             `json:"maxAttempts"`
	Stretch        float64         `json:"stretch"`
	TargetDuration time.Duration   `json:"target"`
	Advice         *cluster.Advice `json:"advice,omitempty"`
}

// QueuePolicyOf returns the policy of a configured queue.
func QueuePolicyOf(q cluster.Queue) QueuePolicy {
	return QueuePolicy{
		Name: q.Name, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, TargetDuration: q.TargetDuration, Advice: q.Advice,
	}
}

// Progress is the durable state of a job that is not final, for its next owner.
type Progress struct {
	// Tasks holds the tasks of unfinished occurrences that have had a run or are done.
	Tasks []TaskProgress `json:"tasks"`
	// Done holds the numbers of the finished occurrences, whose tasks are left out.
	Done []int `json:"done,omitempty"`
}

// TaskProgress is the durable state of one task.
type TaskProgress struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	Index      int `json:"i,omitempty"`
	Run        int `json:"r"` // the highest run number decided
	// Executor is where that run may be; empty once the run is over.
	Executor cluster.ExecutorID `json:"e,omitempty"`
	// Born tells the incarnation of that executor.
	Born cluster.Birth `json:"b,omitempty"`
	// Address is the address of that executor; a response from there, even by another
	// executor, shows whether the run still exists.
	Address    string `json:"a,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Crashes is how many executors crashed while the task was a suspect, and CrashEvidence the
	// evidence that it was the cause. Trial is set if the last run is isolated from other starts.
	Crashes       int  `json:"x,omitempty"`
	CrashEvidence int  `json:"xe,omitempty"`
	Trial         bool `json:"xt,omitempty"`
	// Prepared is set if the run was written ahead, and was not sent when this was written. It may
	// have been sent since, and its step may still be blocked.
	Prepared bool `json:"p,omitempty"`
}

// Check returns an error if a number in the progress is out of range.
func (p Progress) Check() error {
	for _, t := range p.Tasks {
		if t.Occurrence < 0 || t.Step < 0 || t.Index < 0 || t.Run < 0 || t.Failures < 0 || t.Crashes < 0 || t.CrashEvidence < 0 || t.Born < 0 {
			return fmt.Errorf("progress of task %d.%d.%d: negative number", t.Occurrence, t.Step, t.Index)
		}
		if t.Prepared && (t.Executor == "" || t.Run == 0 || t.Done) {
			return fmt.Errorf("progress of task %d.%d.%d: prepared start without a run to come", t.Occurrence, t.Step, t.Index)
		}
	}
	for _, occurrence := range p.Done {
		if occurrence < 0 {
			return fmt.Errorf("progress of occurrence %d: negative number", occurrence)
		}
	}
	return nil
}

func (j *jobState) progress() Progress {
	var p Progress
	for number, finished := range j.finished {
		if finished {
			p.Done = append(p.Done, number)
		}
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !t.hasProgress() {
					continue
				}
				if p.Tasks == nil {
					p.Tasks = make([]TaskProgress, 0, j.countProgress())
				}
				p.Tasks = append(p.Tasks, t.progress())
			}
		}
	}
	return p
}

// hasProgress reports whether the task has had a run, has a prepared one, or is done.
func (t *task) hasProgress() bool { return t.lastRun > 0 || t.done }

// countProgress returns how many tasks have progress, so that their list is allocated once.
func (j *jobState) countProgress() int {
	n := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.hasProgress() {
					n++
				}
			}
		}
	}
	return n
}

func (t *task) progress() TaskProgress {
	p := TaskProgress{
		Occurrence: t.id.Occurrence, Step: t.id.Step, Index: t.id.Index,
		Run: t.lastRun, Done: t.done, Failures: t.failures, Checkpoint: t.checkpoint,
		Crashes: t.crashes.crashes, CrashEvidence: t.crashes.evidence, Trial: t.crashes.trial,
	}
	switch {
	case t.current != nil:
		p.setExecutor(t.current.executor)
		p.Prepared = t.current.mayBeUnsent() && !t.done
	case t.prepared != nil && !t.done:
		p.setExecutor(t.prepared.executor)
		p.Prepared = true
	}
	return p
}

func (p *TaskProgress) setExecutor(e *executorState) {
	p.Executor, p.Born, p.Address = e.ID, e.Born, e.knownAddress()
}
