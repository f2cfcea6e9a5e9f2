package explain

// Job returns the subject of a job.
func Job(name string) Subject { return Subject{SubjectJob, name} }

// The actions on jobs, their tasks and workers.
const (
	ActionStartTask  Action = "start-task"
	ActionWait       Action = "wait"       // no worker can take a task
	ActionCheckpoint Action = "checkpoint" // a task is checkpointed and preempted
	ActionThrottle   Action = "throttle"   // a task gets less CPU
	ActionRestore    Action = "restore"    // a throttled task gets its full CPU again
	ActionQuarantine Action = "quarantine" // no more tasks of a job start
	ActionSetAside   Action = "set-aside"  // a worker gets no more tasks
	ActionCancelTask Action = "cancel-task"
	ActionRetryTask  Action = "retry-task"
)

// Reasons of decisions on placement.
const (
	ReasonFits              Reason = "fits"
	ReasonBorrowed          Reason = "fits-beyond-quota"
	ReasonNoCapacity        Reason = "no-worker-has-room"
	ReasonUnsatisfiable     Reason = "no-worker-of-the-zone-can-ever-run-it"
	ReasonPreempted         Reason = "makes-way"
	ReasonJobAlwaysFails    Reason = "job-fails-everywhere"
	ReasonWorkerAlwaysFails Reason = "worker-fails-everything"
	ReasonCanceled          Reason = "canceled-by-operator"
	ReasonTaskEnded         Reason = "task-ended-early"
)
