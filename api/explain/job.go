package explain

// Job returns the subject of a job.
func Job(name string) Subject { return Subject{SubjectJob, name} }

// The actions on jobs, their tasks and workers.
const (
	ActionStartTask  Action = "start-task"
	ActionWait       Action = "wait"       // a task finds no worker
	ActionCheckpoint Action = "checkpoint" // a task makes way
	ActionThrottle   Action = "throttle"   // a task gives processors back
	ActionRestore    Action = "restore"    // a throttled task gets its processors again
	ActionQuarantine Action = "quarantine" // no task of a job starts any more
	ActionSetAside   Action = "set-aside"  // a worker takes no tasks
	ActionCancelTask Action = "cancel-task"
	ActionRetryTask  Action = "retry-task"
)

// Reasons of placement.
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
