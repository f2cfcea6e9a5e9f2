package fleet

import (
	"fmt"
	"time"
)

// JobPrefix is the prefix of the keys of all job pages.
const JobPrefix = "jobs/"

// TasksPerPage is how many tasks one job page holds.
const TasksPerPage = 100

// JobPageKey returns the key of a job's page, counted from 0.
func JobPageKey(job string, page int) string { return fmt.Sprintf("%s%s/%04d", JobPrefix, job, page) }

// JobPages returns the number of pages of a job with the given number of tasks.
func JobPages(tasks int) int { return (tasks + TasksPerPage - 1) / TasksPerPage }

// TaskPhase is the recorded phase of a task of a job.
type TaskPhase string

// The phases of a task.
const (
	TaskPending  TaskPhase = "pending"  // waits for a worker
	TaskStarted  TaskPhase = "started"  // assigned to a worker
	TaskDone     TaskPhase = "done"     // succeeded
	TaskCanceled TaskPhase = "canceled" // stopped on an operator's request
)

// TaskRecord is the record of one task of a job.
type TaskRecord struct {
	Index int       `json:"index"`
	Phase TaskPhase `json:"phase"`
	// Since is the time of the last change of phase.
	Since time.Time `json:"since"`
	// ID, Worker and Zone belong to the last start.
	ID     TaskID           `json:"id,omitempty"`
	Worker InstanceID       `json:"worker,omitempty"`
	Zone   AvailabilityZone `json:"zone,omitempty"`
	Need   Resources        `json:"need,omitzero"`
	// Starts counts all starts; Failures counts those that failed, but not those that
	// were lost or stopped.
	Starts   int `json:"starts,omitempty"`
	Failures int `json:"failures,omitempty"`
	// Avoid lists the last workers on which the task failed.
	Avoid []InstanceID `json:"avoid,omitempty"`
	// Checkpoint is the start from whose checkpoint the next start resumes.
	Checkpoint TaskID `json:"checkpoint,omitempty"`
}

// JobPage is the value of a jobs/<job>/<page> key.
type JobPage struct {
	// Revision is the configuration revision of the job for which the page was made.
	Revision int64 `json:"revision"`
	// Quarantined is the reason why no more tasks start; empty while tasks may start.
	Quarantined string       `json:"quarantined,omitempty"`
	Tasks       []TaskRecord `json:"tasks"`
}
