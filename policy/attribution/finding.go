package attribution

import (
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Worker returns the finding about a worker at the given time.
func (e *Evidence) Worker(id fleet.InstanceID, now time.Time) Finding {
	e.expire(now)
	own, ok := e.workers[id]
	if !ok {
		return Finding{Reason: "no results"}
	}
	f := Finding{Failures: own.failed, Successes: own.succeeded}
	var attributed float64
	for job := range e.byWorker[id] {
		if failed := e.pairs[pair{id, job}].failed; failed > 0 {
			f.FailedCounterparts++
			attributed += float64(failed) * e.workerShare(id, job)
		}
	}
	f.Share = share(attributed, own.failed)
	e.evaluateWorker(&f, attributed, own)
	return f
}

func (e *Evidence) evaluateWorker(f *Finding, attributed float64, own *tally) {
	switch {
	case e.commonCause():
		f.Reason = "most workers fail, a common cause is more likely"
	case attributed < minFailures:
		f.Reason = fmt.Sprintf("%.1f failures are attributed to it, blame needs %.0f", attributed, minFailures)
	case f.FailedCounterparts < minDistinct:
		f.Reason = "only one job failed on it"
	case float64(own.succeeded) > maxWorkerSuccess*float64(own.total()):
		f.Reason = fmt.Sprintf("%d of %d tasks succeeded on it", own.succeeded, own.total())
	default:
		f.Blamed = true
		f.Reason = fmt.Sprintf("%d of %d tasks of %d jobs failed on it, and those jobs fail less on other workers",
			own.failed, own.total(), f.FailedCounterparts)
	}
}

// Job returns the finding about a job at the given time.
func (e *Evidence) Job(name string, now time.Time) Finding {
	e.expire(now)
	own, ok := e.jobs[name]
	if !ok {
		return Finding{Reason: "no results"}
	}
	f := Finding{Failures: own.failed, Successes: own.succeeded}
	racks := map[string]bool{}
	var attributed float64
	for worker, rack := range e.byJob[name] {
		if failed := e.pairs[pair{worker, name}].failed; failed > 0 {
			f.FailedCounterparts++
			racks[rack] = true
			attributed += float64(failed) * (1 - e.workerShare(worker, name))
		}
	}
	f.Share = share(attributed, own.failed)
	e.evaluateJob(&f, attributed, own, len(racks))
	return f
}

func (e *Evidence) evaluateJob(f *Finding, attributed float64, own *tally, racks int) {
	switch {
	case e.commonCause():
		f.Reason = "most workers fail, a common cause is more likely"
	case own.succeeded > 0:
		f.Reason = fmt.Sprintf("%d of its tasks succeeded", own.succeeded)
	case attributed < minFailures:
		f.Reason = fmt.Sprintf("%.1f failures are attributed to it, blame needs %.0f", attributed, minFailures)
	case f.FailedCounterparts < minDistinct || racks < minRacks:
		f.Reason = fmt.Sprintf("failed on %d workers in %d racks only", f.FailedCounterparts, racks)
	default:
		f.Blamed = true
		f.Reason = fmt.Sprintf("failed %d times on %d workers in %d racks, where other jobs fail less",
			own.failed, f.FailedCounterparts, racks)
	}
}

// workerShare returns the share of a failure that is attributed to the worker; the rest
// is attributed to the job. It compares how often each fails with other counterparts.
// The results of the pair itself are excluded, so that a failure is no evidence for its own
// attribution.
func (e *Evidence) workerShare(worker fleet.InstanceID, job string) float64 {
	both := e.pairs[pair{worker, job}]
	w := failureRate(e.workers[worker], both)
	j := failureRate(e.jobs[job], both)
	return w / (w + j)
}

func failureRate(all, excluded *tally) float64 {
	failed := float64(all.failed - excluded.failed)
	total := float64(all.total() - excluded.total())
	return (failed + priorFailures) / (total + priorTotal)
}

func share(attributed float64, failed int) float64 {
	if failed == 0 {
		return 0
	}
	return attributed / float64(failed)
}

// commonCause reports whether so many workers fail that a common cause is more likely
// than separate faults. Workers with results of only one job don't count as failing, so
// that one always-failing job isn't taken for a common cause.
func (e *Evidence) commonCause() bool {
	if len(e.workers) < commonCauseMinWorkers || len(e.jobs) < minDistinct {
		return false
	}
	failing := 0
	for id, t := range e.workers {
		if t.failed > t.succeeded && len(e.byWorker[id]) >= minDistinct {
			failing++
		}
	}
	return float64(failing) > commonCauseShare*float64(len(e.workers))
}
