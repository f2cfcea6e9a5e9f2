package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// health judges an executor by how the runs on it end.
type health struct {
	failures int       // failed ends in a row, one for each job
	last     job.ID    // the job that failed last
	until    time.Time // suspect until then
	trial    bool      // the next run decides
}

// failed notes a run that failed there. A job that can never be done fails
// everywhere, so that a job counts once.
func (h *health) failed(id job.ID, now time.Time) {
	if id == h.last {
		return
	}
	h.last = id
	h.failures++
	if h.failures < suspectFailures && !h.trial {
		return
	}
	h.until = now.Add(suspectTime)
	h.trial = true
}

// succeeded clears all doubt.
func (h *health) succeeded() { *h = health{} }

func (h *health) suspect(now time.Time) bool { return now.Before(h.until) }
