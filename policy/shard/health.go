package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

const (
	// suspectFailures is how many failures in a row make an executor suspect.
	suspectFailures = 4
	// minTrialPause is the pause between the failure that makes an executor suspect and its
	// first trial run. Each failed trial doubles the pause.
	minTrialPause = 1 * time.Second
	// maxTrialPause bounds the pause between two trial runs.
	maxTrialPause = 2 * time.Second
	// retryOnSuspect is how long a task that failed waits for a healthy executor before it
	// may use up an attempt on a trial run.
	retryOnSuspect = 1 * time.Second
)

// health is a circuit breaker for one executor, driven by the results of its runs. An
// executor on which several jobs fail in a row becomes suspect: it gets one trial run at a
// time, and only for tasks that no healthy executor has capacity for. A successful run
// clears the suspicion.
//
// Trial runs bound the damage in both directions. A broken executor fails at most one task
// per pause, and if it was the jobs that failed, healthy executors stay out of use only
// briefly.
type health struct {
	failures   int    // failures in a row; consecutive ones of one job count once
	lastFailed job.ID // the job that failed last
	isSuspect  bool
	suspicions suspicions
	trialAt    time.Time     // when a suspect executor may get its next trial run
	trialPause time.Duration // the last pause before a trial run
}

// recordFailure records a failed run. Consecutive failures of one job count once, since a
// job may fail on every executor.
func (h *health) recordFailure(id job.ID, now time.Time) {
	if h.isSuspect {
		h.recordTrialFailure(now)
		return
	}
	if id == h.lastFailed {
		return
	}
	h.lastFailed = id
	h.failures++
	h.suspicions.noteFailure(id)
	if h.failures >= suspectFailures {
		h.isSuspect = true
		h.suspicions.begin(now)
		h.trialPause = minTrialPause
		h.trialAt = now.Add(h.trialPause)
	}
}

// recordTrialFailure postpones the next trial run. Failures during the pause are of runs that
// started before the executor became suspect; they add nothing.
func (h *health) recordTrialFailure(now time.Time) {
	if now.Before(h.trialAt) {
		return
	}
	h.trialPause = min(2*h.trialPause, maxTrialPause)
	h.trialAt = now.Add(h.trialPause)
}

// recordSuccess clears the suspicion.
func (h *health) recordSuccess() {
	h.suspicions.end()
	*h = health{suspicions: h.suspicions}
}

// suspect reports whether the executor gets trial runs only.
func (h *health) suspect() bool { return h.isSuspect }

// trialDue reports whether a suspect executor may get a trial run.
func (h *health) trialDue(now time.Time) bool { return h.isSuspect && !now.Before(h.trialAt) }

const (
	// failureMemory is how long a long-running step avoids an executor on which its starts or
	// runs failed.
	failureMemory = 5 * time.Second
	// repeatedFailures is how many failures, each within failureMemory of the previous one,
	// make the step avoid the executor: a single one may be the task's own fault.
	repeatedFailures = 2
)

// stepFailures counts the starts and runs of a long-running step that failed on one executor.
type stepFailures struct {
	count int
	at    time.Time // of the last one
}

// noteFailure records that a start or a run of a long-running task of the step failed on an
// executor. The failures of one job alone don't make an executor suspect.
func (s *step) noteFailure(executor cluster.Incarnation, now time.Time) {
	if !s.def.LongRunning {
		return
	}
	if s.failuresOn == nil {
		s.failuresOn = map[cluster.Incarnation]stepFailures{}
	}
	f := s.failuresOn[executor]
	if now.Sub(f.at) > failureMemory {
		f.count = 0
	}
	s.failuresOn[executor] = stepFailures{count: f.count + 1, at: now}
}

// failsOn reports whether starts or runs of the long-running step repeatedly failed on the
// executor within failureMemory.
func (s *step) failsOn(executor cluster.Incarnation, now time.Time) bool {
	f := s.failuresOn[executor]
	return f.count >= repeatedFailures && now.Sub(f.at) <= failureMemory
}
