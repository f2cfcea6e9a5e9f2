package owner

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// logLongRunning logs the long-running tasks without a live run if one of them has had none
// for longWait.
func (o *Owner) logLongRunning(r shard.Report, delay time.Duration) {
	if r.LongRunning.Oldest < longWait {
		return
	}
	o.Logger.Warn("long-running tasks don't run", "tasks", r.LongRunning.Tasks, "oldest_ms", r.LongRunning.Oldest.Milliseconds(),
		"why", r.LongRunning.ByReason, "samples", longRunningSamplesOf(r.LongRunning),
		"executors", r.Executors.Listed, "unusable", r.Executors.Unusable,
		"late_ms", delay.Milliseconds(), "storing_ms", r.Storing.Milliseconds())
}

// longRunningEntry is the part of a log line about one long-running task without a live run.
type longRunningEntry struct {
	Task      string       `json:"task"`
	Reason    shard.Reason `json:"reason"`
	MissingMs int64        `json:"missing_ms"`
	Run       int          `json:"run,omitempty"`
	// The fields below describe the executor of a run that may still exist.
	Executor      cluster.ExecutorID `json:"executor,omitempty"`
	LastContactMs *int64             `json:"last_contact_ms,omitempty"` // nil without any contact in this term
	LeaseLeftMs   *int64             `json:"lease_left_ms,omitempty"`
}

func longRunningSamplesOf(r shard.LongRunningReport) []longRunningEntry {
	entries := make([]longRunningEntry, len(r.Samples))
	for i, s := range r.Samples {
		entries[i] = longRunningEntryOf(s)
	}
	return entries
}

func longRunningEntryOf(s shard.LongRunningSample) longRunningEntry {
	entry := longRunningEntry{Task: s.Task.String(), Reason: s.Reason, MissingMs: s.Missing.Milliseconds(), Run: s.Run, Executor: s.Executor}
	if s.Executor == "" {
		return entry
	}
	leaseLeft := s.LeaseLeft.Milliseconds()
	entry.LeaseLeftMs = &leaseLeft
	if s.Contacted {
		lastContact := s.LastContact.Milliseconds()
		entry.LastContactMs = &lastContact
	}
	return entry
}

// measureLongRunning sets the gauges of the long-running tasks without a live run.
func (o *Owner) measureLongRunning(r shard.LongRunningReport) {
	for _, reason := range shard.LongRunningReasons {
		scope := o.Scope.Tagged(map[string]string{"reason": string(reason)})
		scope.Gauge("long_running_missing").Update(float64(r.ByReason[reason]))
	}
	o.Scope.Gauge("long_running_missing_oldest_seconds").Update(r.Oldest.Seconds())
}
