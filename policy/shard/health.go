package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// health judges an executor by how the runs on it end.
type health struct {
	failures     int       // failed ends in a row, one for each job
	lastFailed   job.ID    // the job that failed last
	suspectUntil time.Time // suspect until then
	onTrial      bool      // the next run decides
}

// failed notes a run that failed there. A job that can never be done fails
// everywhere, so that a job counts once.
func (h *health) failed(id job.ID, now time.Time) {
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

// succeeded clears all doubt.
func (h *health) succeeded() { *h = health{} }

func (h *health) suspect(now time.Time) bool { return now.Before(h.suspectUntil) }
