package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
)

// ReasonExecutorUnreachable is why a long-running task has no live run: its last run is on an
// executor that can't be reached, and the leases there have not certainly expired.
const ReasonExecutorUnreachable Reason = "executor-unreachable"

// LongRunningReasons lists the reasons for which a long-running task may have no live run.
var LongRunningReasons = append(slices.Clone(Reasons), ReasonExecutorUnreachable)

// maxLongRunningSamples bounds the long-running tasks that one report describes.
const maxLongRunningSamples = 8

// LongRunningReport describes the due long-running tasks that have no live run, whether or
// not other tasks of their jobs have one.
type LongRunningReport struct {
	Tasks    int
	Oldest   time.Duration // longest time that one of them has had no live run
	ByReason map[Reason]int
	// Samples describes those that have had no live run for longest, the longest first.
	Samples []LongRunningSample
}

// LongRunningSample describes a long-running task without a live run.
type LongRunningSample struct {
	Task    job.TaskID
	Reason  Reason
	Missing time.Duration // how long it has had no live run
	Run     int           // the highest run number decided; 0 if none
	// Executor is where that run may still be; empty if it is over. The fields below are
	// set only with it.
	Executor cluster.ExecutorID
	// Contacted is whether the executor has responded to this owner, and LastContact how
	// long ago it did last.
	Contacted   bool
	LastContact time.Duration
	// LeaseLeft is the time until all leases on the executor have certainly expired unless
	// they are renewed; negative after that.
	LeaseLeft time.Duration
}

// examineLongRunning adds the tasks of a long-running step to the report; fits is how many of
// its waiting tasks are schedulable, and reason why the first of them waits.
func (b *reportBuilder) examineLongRunning(st *step, fits int, reason Reason) {
	if !st.def.LongRunning || st.blockers > 0 {
		return
	}
	rest := reason
	if fits > 0 {
		rest = b.reasonOfRest(st)
	}
	for _, t := range st.tasks {
		switch {
		case t.done || t.hasLiveRun(b.now):
			t.missingSince = time.Time{}
		case t.current != nil:
			b.noteMissing(t, b.reasonOfRun(t.current))
		case b.now.Before(t.retryAt):
			b.noteMissing(t, ReasonLimited)
		case fits > 0:
			fits--
			b.noteMissing(t, reason)
		default:
			b.noteMissing(t, rest)
		}
	}
}

// reasonOfRest returns why the other waiting tasks of a step wait of which some are
// schedulable.
func (b *reportBuilder) reasonOfRest(st *step) Reason {
	limited := st.def.MaxPerServer > 0 || st.job.Queue.Advice != nil
	switch {
	case b.checksExhausted:
		return ReasonNotExamined
	case limited && st.def.Reservation().Fits(b.maxFree):
		return ReasonLimited
	default:
		return ReasonNoCapacity
	}
}

// reasonOfRun returns why a task whose present run is not live has no other one.
func (b *reportBuilder) reasonOfRun(r *run) Reason {
	storeUnavailable := b.shard.openBatchAge(b.now) >= storeUnavailableAfter
	expired := b.now.After(r.executor.leaseBound)
	switch {
	case storeUnavailable && (r.phase == decided || expired):
		return ReasonStoreUnavailable
	case r.unreachable(b.now):
		return ReasonExecutorUnreachable
	default:
		return ReasonUnconfirmed
	}
}

// noteMissing adds a task without a live run.
func (b *reportBuilder) noteMissing(t *task, reason Reason) {
	if t.missingSince.IsZero() {
		t.missingSince = t.lastLive(b.now)
	}
	r := &b.report.LongRunning
	r.Tasks++
	r.ByReason[reason]++
	missing := b.now.Sub(t.missingSince)
	r.Oldest = max(r.Oldest, missing)
	r.addSample(b.sampleOf(t, reason, missing))
}

// addSample keeps the samples with the longest times.
func (r *LongRunningReport) addSample(sample LongRunningSample) {
	at, _ := slices.BinarySearchFunc(r.Samples, sample, compareSamples)
	if at == maxLongRunningSamples {
		return
	}
	r.Samples = slices.Insert(r.Samples, at, sample)
	r.Samples = r.Samples[:min(len(r.Samples), maxLongRunningSamples)]
}

func compareSamples(a, b LongRunningSample) int {
	return cmp.Or(cmp.Compare(b.Missing, a.Missing), compareTasks(a.Task, b.Task))
}

func (b *reportBuilder) sampleOf(t *task, reason Reason, missing time.Duration) LongRunningSample {
	sample := LongRunningSample{Task: t.id, Reason: reason, Missing: missing, Run: t.lastRun}
	if t.current == nil {
		return sample
	}
	e := t.current.executor
	sample.Executor = e.ID
	sample.LeaseLeft = e.leaseBound.Sub(b.now)
	if contact := t.current.lastContact(); !contact.IsZero() {
		sample.Contacted, sample.LastContact = true, b.now.Sub(contact)
	}
	return sample
}

// lastLive returns since when a task that a report has just found without a live run may have
// had none: the last contact with its run, the acceptance of its job if it never had one, or
// else this report.
func (t *task) lastLive(now time.Time) time.Time {
	j := t.step.job
	switch {
	case t.current != nil && t.current.phase == confirmed && t.current.unreachable(now):
		return t.current.lastContact()
	case t.lastRun == 0 && len(t.step.def.After) == 0 && j.Definition.Schedule.Count == 0 && j.Accepted.Before(now):
		return j.Accepted
	default:
		return now
	}
}

// hasLiveRun reports whether the task's run was seen, is not being stopped, and is on an
// executor that can be reached.
func (t *task) hasLiveRun(now time.Time) bool {
	return t.seenRunning() && !t.current.unreachable(now)
}

// unreachable reports whether the last call to the run's executor failed, or the last contact
// is too old to show that the run still exists.
func (r *run) unreachable(now time.Time) bool {
	if r.executor.ended || r.executor.Address == "" || r.executor.failedCalls > 0 {
		return true
	}
	return r.phase == confirmed && now.Sub(r.lastContact()) >= maxResponseAge
}

// lastContact returns when the run's executor last responded to a poll, or confirmed the run;
// zero if this owner has had no contact with it.
func (r *run) lastContact() time.Time {
	if r.confirmedAt.After(r.executor.lastResponse) {
		return r.confirmedAt
	}
	return r.executor.lastResponse
}
