package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// health derives from the results of an executor's runs whether it is suspect.
type health struct {
	failures     int       // failures in a row; consecutive ones of one job count once
	lastFailed   job.ID    // the job that failed last
	suspectUntil time.Time // end of the suspicion
	onTrial      bool      // the next result clears or renews the suspicion
}

// recordFailure records a failed run. Consecutive failures of one job count once, since a
// job may fail on every executor.
func (h *health) recordFailure(id job.ID, now time.Time) {
	if id == h.lastFailed {
		return
	}
	h.lastFailed = id
	h.failures++
	if h.failures < suspectFailures && !h.onTrial {
		return
	}
	h.suspectUntil = now.Add(suspectTime)
	h.onTrial = true
}

// recordSuccess clears the suspicion.
func (h *health) recordSuccess() { *h = health{} }

func (h *health) suspect(now time.Time) bool { return now.Before(h.suspectUntil) }
