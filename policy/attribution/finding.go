package attribution

import (
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// Worker returns what the evidence says of a worker at the given time.
func (e *Evidence) Worker(id fleet.InstanceID, now time.Time) Finding {
	e.expire(now)
	own, ok := e.workers[id]
	if !ok {
		return Finding{Reason: "no results"}
	}
	v := Finding{Failures: own.failed, Successes: own.succeeded}
	var attributed float64
	for job := range e.byWorker[id] {
		if failed := e.pairs[pair{id, job}].failed; failed > 0 {
			v.FailedCounterparts++
			attributed += float64(failed) * e.workerShare(id, job)
		}
	}
	v.Share = share(attributed, own.failed)
	e.judgeWorker(&v, attributed, own)
	return v
}

func (e *Evidence) judgeWorker(v *Finding, attributed float64, own *tally) {
	switch {
	case e.commonCause():
		v.Reason = "most workers fail, a common cause is likelier"
	case attributed < minFailures:
		v.Reason = fmt.Sprintf("%.1f failures are its own, %.0f make a case", attributed, minFailures)
	case v.FailedCounterparts < minDistinct:
		v.Reason = "only one job failed on it"
	case float64(own.succeeded) > maxWorkerSuccess*float64(own.total()):
		v.Reason = fmt.Sprintf("%d of %d tasks succeeded on it", own.succeeded, own.total())
	default:
		v.Blamed = true
		v.Reason = fmt.Sprintf("%d of %d tasks of %d jobs failed on it, and those jobs do better elsewhere",
			own.failed, own.total(), v.FailedCounterparts)
	}
}

// Job returns what the evidence says of a job at the given time.
func (e *Evidence) Job(name string, now time.Time) Finding {
	e.expire(now)
	own, ok := e.jobs[name]
	if !ok {
		return Finding{Reason: "no results"}
	}
	v := Finding{Failures: own.failed, Successes: own.succeeded}
	racks := map[string]bool{}
	var attributed float64
	for worker, rack := range e.byJob[name] {
		if failed := e.pairs[pair{worker, name}].failed; failed > 0 {
			v.FailedCounterparts++
			racks[rack] = true
			attributed += float64(failed) * (1 - e.workerShare(worker, name))
		}
	}
	v.Share = share(attributed, own.failed)
	e.judgeJob(&v, attributed, own, len(racks))
	return v
}

func (e *Evidence) judgeJob(v *Finding, attributed float64, own *tally, racks int) {
	switch {
	case e.commonCause():
		v.Reason = "most workers fail, a common cause is likelier"
	case own.succeeded > 0:
		v.Reason = fmt.Sprintf("%d of its tasks succeeded", own.succeeded)
	case attributed < minFailures:
		v.Reason = fmt.Sprintf("%.1f failures are its own, %.0f make a case", attributed, minFailures)
	case v.FailedCounterparts < minDistinct || racks < minRacks:
		v.Reason = fmt.Sprintf("failed on %d workers in %d racks only", v.FailedCounterparts, racks)
	default:
		v.Blamed = true
		v.Reason = fmt.Sprintf("failed %d times on %d workers in %d racks, where other jobs do better",
			own.failed, v.FailedCounterparts, racks)
	}
}

// workerShare splits one failure between a worker and a job by how often each
// fails with other counterparts. Leaving the pair itself out keeps a failure from
// being evidence for its own attribution.
func (e *Evidence) workerShare(worker fleet.InstanceID, job string) float64 {
	both := e.pairs[pair{worker, job}]
	w := failureRate(e.workers[worker], both)
	j := failureRate(e.jobs[job], both)
	return w / (w + j)
}

func failureRate(all, without *tally) float64 {
	failed := float64(all.failed - without.failed)
	total := float64(all.total() - without.total())
	return (failed + priorFailures) / (total + priorTotal)
}

func share(attributed float64, failed int) float64 {
	if failed == 0 {
		return 0
	}
	return attributed / float64(failed)
}

// commonCause reports whether so many workers fail that a common cause is likelier
// than many faults of their own. A single hopeless job does not count as one.
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
